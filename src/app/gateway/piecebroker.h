#pragma once

#include "eventlog.h"
#include "permitbroker.h"
#include "spilloverreport.h"

#include <boost/asio/steady_timer.hpp>
#include <gateway/gateway.h>
#include <metrics/metrics.h>
#include <net/net.h>
#include <schema/schema.h>

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace CassiaRelay::GatewayDaemon {

/**
 * Runs the pieces of stages on targets.
 *
 * Each stage service is owned by one daemon, which schedules the pieces of all daemons so that they are batched into common calls. If
 * the owner is lost, slow or leaving, the next daemon takes over. A daemon that hears from no other schedules its own pieces.
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
                Gateway::ReachabilityTracker &reachability,
                PermitBroker &permitBroker,
                const Gateway::SchedulingOptions &options,
                Metrics::Registry &metrics,
                EventLog &log);

    /** @param onDone called once, unless the order is withdrawn */
    Gateway::OrderId submit(const Gateway::PieceOrder &pieceOrder, DoneHandler onDone);
    void withdraw(Gateway::OrderId id);
    /** The daemon that schedules the pieces of an open order; no value if it is this daemon or the order has ended. */
    std::optional<VmId> ownerOf(Gateway::OrderId id) const;
    /** Frees results that are no longer needed. */
    void free(const std::vector<Gateway::StageResult> &results);
    /** Handles a piece order of another daemon. */
    void handleOrder(const Net::HttpExchangePointer &exchange);
    void apply(const Gateway::RouteTable &table);
    /** @param loads receives the load reports of the owners, with fleet admission; must outlive this object */
    void setServiceLoadBoard(Gateway::ServiceLoadBoard &loads);
    /** Returns the load of the stage services that this daemon owns; empty without fleet admission. */
    std::vector<Schema::ServiceLoad> ownLoads();
    /** Handles the load reports of another daemon. */
    void onLoads(const std::vector<Schema::ServiceLoad> &loads);
    /** Places the orders of lost owners again: at the next owner, or locally if that is this daemon. */
    void onMembersChanged();
    /** Gives up the orders for services that this daemon does not reach, if another one does: they are placed there. */
    void returnBlockedOrders();
    /** Dispatches the waiting pieces of all services after targets have changed. */
    void dispatchAll();
    /** Frees the results at targets that had reached their rate limit before. Call about once per second. */
    void sendDeferredFrees();
    /** Logs the waiting pieces of each service. Call about once per second. */
    void logBacklog();
    void stop();

    /** Handles the request of another daemon to free results that it no longer needs. */
    void handleFreedResults(const Net::HttpExchangePointer &exchange);
    /** Handles the message of another daemon that results were fetched: they are needed again only if a call fails. */
    void handleFetchedInputs(const Net::HttpExchangePointer &exchange);

    static constexpr const char *ORDERS_PATH = "/cell/pieces";
    static constexpr const char *FREED_RESULTS_PATH = "/cell/frees";
    static constexpr const char *FETCHED_INPUTS_PATH = "/cell/fetched";

private:
    struct PendingOrder {
        Gateway::PieceOrder pieceOrder;
        DoneHandler onDone;
        std::function<void()> onReturned; ///< only of orders of other daemons: this one does not carry it out
        std::vector<Gateway::PieceCompletion> completions;
        std::size_t openPieces = 0;
        std::optional<VmId> owner; ///< not set if this daemon schedules the pieces
        std::shared_ptr<Net::HttpCall> call;
        MonotonicTime sentAt; ///< to the owner
    };

    /** Instruments of the orders of one service and rank. */
    struct AdmissionCounters {
        Metrics::Counter &rejected;
        Metrics::Counter &reservationsMade;
        Metrics::Counter &reservationsUsed;
    };

    void recordAdmission(const Gateway::PieceOrder &pieceOrder, const Gateway::AdmissionOutcome &outcome);
    AdmissionCounters &admissionCounters(const Gateway::ServiceName &service, int rank);
    Gateway::OrderId add(const Gateway::PieceOrder &pieceOrder, DoneHandler onDone);
    void place(Gateway::OrderId id);
    void placeLocally(Gateway::OrderId id);
    void returnOrder(Gateway::OrderId id);
    void placeAtOwner(const Gateway::Member &owner, Gateway::OrderId id);
    void onOwnerResponse(Gateway::OrderId id, unsigned status, const std::string &body);
    void onOwnerFailed(Gateway::OrderId id, const std::string &reason);
    Gateway::StageScheduler &schedulerFor(const Gateway::ServiceName &service);
    void dispatch(const Gateway::ServiceName &service);
    void sendCall(const Gateway::ServiceName &service, Gateway::StageCall call);
    /** Gives the call an id of its own. */
    void nameCall(Net::HttpCallRequest &request);
    void onCallResponse(const Gateway::ServiceName &service,
                        const Gateway::StageCall &call,
                        const Gateway::TargetResponse &response,
                        const std::string &body);
    void onCallFailed(const Gateway::ServiceName &service,
                      const Gateway::StageCall &call,
                      Gateway::AttemptResult result,
                      const std::string &reason);
    void applyProgress(const std::vector<Gateway::OrderProgress> &progress);
    static bool awaitsPiece(const PendingOrder &order, int piece);
    void finish(Gateway::OrderId id);
    void dropResults(PendingOrder &order);
    void recordOutcome(const PendingOrder &order, std::optional<Gateway::PieceFailure> failure);
    void logRejection(const Gateway::PieceOrder &pieceOrder, MonotonicTime now);
    void reportShares(MonotonicTime now);
    void freeOwn(const std::vector<Gateway::StageResult> &results);
    void reportFetchedInputs();
    void freeFetched(const Gateway::ServiceName &service, const std::vector<Gateway::StageResult> &results);
    void handleResults(const Net::HttpExchangePointer &exchange,
                       const std::function<void(const Gateway::ServiceName &, const std::vector<Gateway::StageResult> &)> &handle);
    void sendResults(const Gateway::Member &owner,
                     const char *path,
                     const Gateway::ServiceName &service,
                     const std::vector<Gateway::StageResult> &results,
                     const std::function<void()> &onFailed);
    void scheduleDispatch();
    void scheduleFree();
    void sendFreedResults();
    void sendFreedResultsToOwner(const Gateway::Member &owner,
                                 const Gateway::ServiceName &service,
                                 const std::vector<Gateway::StageResult> &results);
    void freeAtTargets(const std::vector<Gateway::StageResult> &results);
    void sendFree(const Gateway::TargetRecord &target, const std::vector<Gateway::StageResult> &results);
    void onNotFreed(const TargetId &target, const std::string &reason);
    void onFreed(const Gateway::ServiceName &service, const std::vector<Gateway::StageResult> &results);

    Net::HttpClient &m_targetClient;
    Net::HttpClient &m_peerClient;
    const Gateway::PlatformPort &m_port;
    Gateway::TargetRegistry &m_targets;
    Gateway::Members &m_members;
    Gateway::ReachabilityTracker &m_reachability;
    PermitBroker &m_permitBroker;
    Gateway::SchedulingOptions m_options;
    Metrics::Registry &m_metrics;
    EventLog &m_log;
    Gateway::ServiceLoadBoard *m_serviceLoads = nullptr; ///< set with fleet admission only
    std::vector<Schema::ServiceLoad> m_ownLoads;
    MonotonicTime m_ownLoadsAt;
    std::map<std::pair<Gateway::ServiceName, int>, AdmissionCounters> m_admissionCounters;
    std::uint64_t m_callSeed;
    std::uint64_t m_callCount = 0;
    Metrics::Counter &m_callCounter;
    Metrics::Counter &m_pieceCounter;
    Metrics::Counter &m_earlyFreeCounter;
    Metrics::Counter &m_failedCallCounter;
    Metrics::Counter &m_forwardedOrderCounter;
    Metrics::Histogram &m_callTime;
    Metrics::Histogram &m_ownerResponseTime;
    SpilloverReport m_spilloverReport;
    Metrics::Histogram &m_loadReportAge;
    std::map<Gateway::ServiceName, Gateway::StageScheduler> m_schedulers;
    std::unordered_map<Gateway::ServiceName, Gateway::PieceCapacity> m_capacities;
    std::map<Gateway::OrderId, PendingOrder> m_orders;
    std::map<Gateway::ServiceName, std::vector<Gateway::StageResult>> m_freedResults; ///< not yet reported to the owner of the service
    std::map<TargetId, std::vector<Gateway::StageResult>>
        m_deferredFrees; ///< at targets with a rate limit, or that want nothing for a while
    boost::asio::steady_timer m_dispatchTimer;
    boost::asio::steady_timer m_freeTimer;
    Gateway::RecentResults m_recentFrees; ///< results that were freed a moment ago, and are freed only once
    bool m_isDispatchScheduled = false;
    bool m_isFreeScheduled = false;
    MonotonicTime m_freedAt; ///< when freed results were sent last
    std::uint64_t m_nextOrderId = 1;
    Gateway::OrganisationOutcomes m_outcomes;
};

} // namespace CassiaRelay::GatewayDaemon
