#pragma once

#include "eventlog.h"

#include <boost/asio/steady_timer.hpp>
#include <gateway/gateway.h>
#include <metrics/metrics.h>
#include <net/net.h>
#include <schema/schema.h>

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace CassiaRelay::GatewayDaemon {

/**
 * Asks the owner of a service for targets of streams, and selects them for other daemons where this one is the owner.
 *
 * The owner only advises. A request for which there is no answer in time is placed by its own daemon.
 */
class PlacementBroker
{
public:
    using DoneHandler = std::function<void(const std::optional<Gateway::PlacedTarget> &)>;

    PlacementBroker(boost::asio::io_context &context,
                    Net::HttpClient &peerClient,
                    const Gateway::TargetRegistry &targets,
                    Gateway::Members &members,
                    Gateway::PlacementReports &reports,
                    const Gateway::SchedulingOptions &options,
                    Metrics::Registry &metrics,
                    EventLog &log);

    /** Starts to send reports that no order has taken along. */
    void start();
    void stop();
    /** Gets a target; @p onDone is called later in any case. */
    void request(const Gateway::PlacementOrder &order, DoneHandler onDone);
    /** Handles the order of another daemon. */
    void handleOrder(const Net::HttpExchangePointer &exchange);
    /** Drops the requests of daemons that were lost, and those that must have ended. Call about once per second. */
    void removeExpired();
    /** Sets the gauges that are computed when they are read. */
    void updateGauges();

    static constexpr const char *PATH = "/cell/placements";

private:
    Gateway::FleetPlacement &placementOf(const Gateway::ServiceName &service);
    std::optional<Gateway::FleetPlacementResult> place(const VmId &sender, const Gateway::PlacementOrder &order, MonotonicTime now);
    void applyOwnReports(const Gateway::ServiceName &service, MonotonicTime now);
    void askOwner(const Gateway::Member &owner, const Gateway::PlacementOrder &order, const DoneHandler &onDone);
    void onAnswer(const Gateway::Member &owner,
                  const Gateway::ServiceName &service,
                  unsigned status,
                  const std::string &body,
                  const DoneHandler &onDone);
    void onFailed(const VmId &owner, const std::string &reason, const DoneHandler &onDone);
    void sendReports();
    void scheduleReports();

    boost::asio::io_context &m_context;
    Net::HttpClient &m_peerClient;
    const Gateway::TargetRegistry &m_targets;
    Gateway::Members &m_members;
    Gateway::PlacementReports &m_reports;
    Gateway::SchedulingOptions m_options;
    Metrics::Registry &m_metrics;
    EventLog &m_log;
    Metrics::Counter &m_orderCounter;
    Metrics::Counter &m_unansweredCounter;
    Metrics::Counter &m_placedCounter;
    Metrics::Counter &m_cachedCounter;
    Metrics::Counter &m_movedCounter;
    Metrics::Histogram &m_answerTime;
    std::map<Gateway::ServiceName, Gateway::FleetPlacement> m_placements; ///< of the services that this daemon owns, or owned
    std::unordered_map<VmId, Endpoint> m_owners;                          ///< that have been asked
    std::unordered_map<VmId, MonotonicTime> m_avoidedUntil;               ///< owners that did not answer, or are of an earlier version
    std::set<VmId> m_knownDaemons;                                        ///< at the last check
    RandomSource m_random;
    boost::asio::steady_timer m_timer;
    bool m_isStopped = false;
};

} // namespace CassiaRelay::GatewayDaemon
