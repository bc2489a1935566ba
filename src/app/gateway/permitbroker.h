#pragma once

#include "eventlog.h"

#include <gateway/gateway.h>
#include <metrics/metrics.h>
#include <net/net.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace CassiaRelay::GatewayDaemon {

/**
 * Gets permits to send requests to targets with a rate limit, and issues them to other daemons.
 *
 * The permits of a service are issued by the daemon that also owns its stage pieces. See Gateway::TargetRateLimits.
 */
class PermitBroker
{
public:
    /** @param outcome for the log */
    using DoneHandler = std::function<void(const std::string &outcome)>;

    PermitBroker(boost::asio::io_context &context,
                 Net::HttpClient &peerClient,
                 Gateway::TargetRegistry &targets,
                 Gateway::Members &members,
                 Metrics::Registry &metrics,
                 EventLog &log);

    /** Gets permits for the targets of a service; @p onDone is called later in any case. */
    void request(const Gateway::ServiceName &service, DoneHandler onDone);
    /** A response of the target has stated its rate limit, or none. */
    void onRateLimit(const Gateway::TargetRecord &target, const Gateway::RateLimitStatement &statement);
    /** Another daemon has reported a rate limit. */
    void onReport(const Gateway::RateLimitReport &report, const VmId &source);
    /** Handles the permit request of another daemon. */
    void handleRequest(const Net::HttpExchangePointer &exchange);
    /** Call when the set of known daemons has changed. */
    void onMembersChanged();

    static constexpr const char *PATH = "/cell/permits";

private:
    /** Requests for the permits of one service. */
    struct ServiceState {
        bool isWaiting = false; ///< for the response of the issuer
        std::vector<DoneHandler> onDone;
    };

    void sendRequest(const Gateway::ServiceName &service, const Gateway::Member &issuer);
    void onResponse(const Gateway::ServiceName &service, const VmId &issuer, unsigned status, const std::string &body);
    void finish(const Gateway::ServiceName &service, int received, const std::string &outcome);
    void logChange(const Gateway::RateLimitReport &report, const std::optional<double> &before, const std::string &source);

    boost::asio::io_context &m_context;
    Net::HttpClient &m_peerClient;
    Gateway::TargetRegistry &m_targets;
    Gateway::Members &m_members;
    EventLog &m_log;
    Metrics::Counter &m_requestCounter;
    Metrics::Counter &m_receivedCounter;
    Metrics::Counter &m_issuedCounter;
    std::map<Gateway::ServiceName, ServiceState> m_services;
};

} // namespace CassiaRelay::GatewayDaemon
