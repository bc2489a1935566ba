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
    using DoneHandler = std::function<void(const std::vector<Gateway::PieceEnd> &)>;

    PieceBroker(boost::asio::io_context &context,
                Net::HttpClient &targetClient,
                Net::HttpClient &peerClient,
                const Gateway::PlatformPort &port,
                Gateway::TargetBook &targets,
                Gateway::Members &members,
                Metrics::Registry &metrics,
                EventLog &log);

    /** @param done called once, unless the order is withdrawn */
    Gateway::OrderId order(const Gateway::PieceOrder &work, DoneHandler done);
    void withdraw(Gateway::OrderId id);
    /** Results that nobody needs any more. */
    void free(const std::vector<Gateway::StageResult> &results);
    /** An order of another daemon. */
    void handle(const Net::HttpExchangePointer &exchange);
    void adopt(const Gateway::RouteTable &table);
    /** Moves orders away from daemons that are gone. */
    void onMembersChanged();
    /** The targets have changed: what waits may start. */
    void pumpAll();
    /** Logs what waits. Call about once a second. */
    void logBacklog();
    void stop();

    /** Results that another daemon needs no more. */
    void handleFrees(const Net::HttpExchangePointer &exchange);

    static constexpr const char *PATH = "/cell/pieces";
    static constexpr const char *FREES_PATH = "/cell/frees";

private:
    struct Order {
        Gateway::PieceOrder work;
        DoneHandler done;
        std::vector<Gateway::PieceEnd> ends;
        std::size_t open = 0;
        std::optional<VmId> owner; ///< nothing: this daemon gathers it
        std::shared_ptr<Net::HttpCall> call;
    };

    Gateway::OrderId add(const Gateway::PieceOrder &work, DoneHandler done);
    void place(Gateway::OrderId id);
    void placeHere(Gateway::OrderId id);
    void placeAt(const Gateway::Member &owner, Gateway::OrderId id);
    void onOwnerAnswered(Gateway::OrderId id, unsigned status, const std::string &body);
    void onOwnerFailed(Gateway::OrderId id, const std::string &reason);
    Gateway::StagePool &pool(const Gateway::ServiceName &service);
    void pump(const Gateway::ServiceName &service);
    void send(const Gateway::ServiceName &service, Gateway::StageCall call);
    void onCallAnswered(const Gateway::ServiceName &service,
                        const Gateway::StageCall &call,
                        const Gateway::TargetResponse &answer,
                        const std::string &body);
    void onCallFailed(const Gateway::ServiceName &service,
                      const Gateway::StageCall &call,
                      Gateway::AttemptResult result,
                      const std::string &reason);
    void report(const std::vector<Gateway::OrderProgress> &progress);
    void finish(Gateway::OrderId id);
    void wakeLater();
    void freeLater();
    void sendFrees();
    void sendFreesToOwner(const Gateway::Member &owner,
                          const Gateway::ServiceName &service,
                          const std::vector<Gateway::StageResult> &results);
    void freeHere(const std::vector<Gateway::StageResult> &results);
    void onFreed(const Gateway::ServiceName &service, const std::vector<Gateway::StageResult> &results);

    Net::HttpClient &m_targetClient;
    Net::HttpClient &m_peerClient;
    const Gateway::PlatformPort &m_port;
    Gateway::TargetBook &m_targets;
    Gateway::Members &m_members;
    EventLog &m_log;
    Metrics::Counter &m_calls;
    Metrics::Counter &m_pieces;
    Metrics::Counter &m_failedCalls;
    Metrics::Counter &m_ordersElsewhere;
    Metrics::Histogram &m_callTime;
    std::map<Gateway::ServiceName, Gateway::StagePool> m_pools;
    std::unordered_map<Gateway::ServiceName, Gateway::PieceCapacity> m_capacities;
    std::map<Gateway::OrderId, Order> m_orders;
    std::map<Gateway::ServiceName, std::vector<Gateway::StageResult>> m_frees; ///< not told to the daemon that gathers the service
    boost::asio::steady_timer m_wakeTimer;
    boost::asio::steady_timer m_freeTimer;
    bool m_isWaking = false;
    bool m_isFreeing = false;
    std::uint64_t m_nextOrder = 1;
};

} // namespace CassiaRelay::GatewayDaemon
