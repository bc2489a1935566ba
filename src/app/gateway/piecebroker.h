#pragma once

#include "eventlog.h"

#include <boost/asio/steady_timer.hpp>
#include <gateway/gateway.h>
#include <metrics/metrics.h>
#include <net/net.h>

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace CassiaRelay::GatewayDaemon {

/**
 * Has the pieces of stages made.
 *
 * One daemon gathers the pieces of each stage service, so that those of all daemons share calls. When it is gone, slow or leaving, the
 * next one takes over; a daemon that hears no other gathers for itself.
 */
class PieceBroker
{
public:
    using DoneHandler = std::function<void(const std::vector<Gateway::PieceCompletion> &)>;

    PieceBroker(boost::asio::io_context &context,
                Net::HttpClient &targetClient,
                Net::HttpClient &peerClient,
                const Gateway::PlatformPort &port,
                Gateway::TargetRegistry &targets,
                Gateway::Members &members,
                Metrics::Registry &metrics,
                EventLog &log);

    /** @param done called once, unless the order is withdrawn */
    Gateway::OrderId submit(const Gateway::PieceOrder &pieceOrder, DoneHandler onDone);
    void withdraw(Gateway::OrderId id);
    /** Results that nobody needs any more. */
    void free(const std::vector<Gateway::StageResult> &results);
    /** An order of another daemon. */
    void handleOrder(const Net::HttpExchangePointer &exchange);
    void apply(const Gateway::RouteTable &table);
    /** Moves orders away from daemons that are gone. */
    void onMembersChanged();
    /** The targets have changed: what waits may start. */
    void dispatchAll();
    /** Logs what waits. Call about once a second. */
    void logBacklog();
    void stop();

    /** Results that another daemon needs no more. */
    void handleFreedResults(const Net::HttpExchangePointer &exchange);

    static constexpr const char *ORDERS_PATH = "/cell/pieces";
    static constexpr const char *FREED_RESULTS_PATH = "/cell/frees";

private:
    struct PendingOrder {
        Gateway::PieceOrder pieceOrder;
        DoneHandler onDone;
        std::vector<Gateway::PieceCompletion> ends;
        std::size_t openPieces = 0;
        std::optional<VmId> owner; ///< nothing: this daemon gathers it
        std::shared_ptr<Net::HttpCall> call;
    };

    Gateway::OrderId add(const Gateway::PieceOrder &pieceOrder, DoneHandler onDone);
    void place(Gateway::OrderId id);
    void placeLocally(Gateway::OrderId id);
    void placeAtOwner(const Gateway::Member &owner, Gateway::OrderId id);
    void onOwnerResponse(Gateway::OrderId id, unsigned status, const std::string &body);
    void onOwnerFailed(Gateway::OrderId id, const std::string &reason);
    Gateway::StageScheduler &pool(const Gateway::ServiceName &service);
    void dispatch(const Gateway::ServiceName &service);
    void sendCall(const Gateway::ServiceName &service, Gateway::StageCall call);
    void onCallResponse(const Gateway::ServiceName &service,
                        const Gateway::StageCall &call,
                        const Gateway::TargetResponse &response,
                        const std::string &body);
    void onCallFailed(const Gateway::ServiceName &service,
                      const Gateway::StageCall &call,
                      Gateway::AttemptResult result,
                      const std::string &reason);
    void applyProgress(const std::vector<Gateway::OrderProgress> &progress);
    void finish(Gateway::OrderId id);
    void scheduleDispatch();
    void scheduleFree();
    void sendFreedResults();
    void sendFreedResultsToOwner(const Gateway::Member &owner,
                                 const Gateway::ServiceName &service,
                                 const std::vector<Gateway::StageResult> &results);
    void freeAtTargets(const std::vector<Gateway::StageResult> &results);
    void onFreed(const Gateway::ServiceName &service, const std::vector<Gateway::StageResult> &results);

    Net::HttpClient &m_targetClient;
    Net::HttpClient &m_peerClient;
    const Gateway::PlatformPort &m_port;
    Gateway::TargetRegistry &m_targets;
    Gateway::Members &m_members;
    EventLog &m_log;
    Metrics::Counter &m_callCounter;
    Metrics::Counter &m_pieceCounter;
    Metrics::Counter &m_failedCallCounter;
    Metrics::Counter &m_forwardedOrderCounter;
    Metrics::Histogram &m_callTime;
    std::map<Gateway::ServiceName, Gateway::StageScheduler> m_pools;
    std::unordered_map<Gateway::ServiceName, Gateway::PieceCapacity> m_capacities;
    std::map<Gateway::OrderId, PendingOrder> m_orders;
    std::map<Gateway::ServiceName, std::vector<Gateway::StageResult>> m_freedResults; ///< not told to the daemon that gathers the service
    boost::asio::steady_timer m_dispatchTimer;
    boost::asio::steady_timer m_freeTimer;
    bool m_isDispatchScheduled = false;
    bool m_isFreeScheduled = false;
    std::uint64_t m_nextOrderId = 1;
};

} // namespace CassiaRelay::GatewayDaemon
