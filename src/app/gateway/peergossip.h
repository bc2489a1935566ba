#pragma once

#include "eventlog.h"
#include "permitbroker.h"
#include "piecebroker.h"

#include <boost/asio/steady_timer.hpp>
#include <gateway/gateway.h>
#include <metrics/metrics.h>
#include <net/net.h>

#include <functional>
#include <memory>
#include <set>

namespace CassiaRelay::GatewayDaemon {

/** Exchanges greetings with the other daemons, so that each knows which daemons are alive, which requests have crashed
 * targets, which targets have named a rate limit, the load and pace of targets, and how loaded the stage services are. */
class PeerGossip
{
public:
    using ChangeHandler = std::function<void()>;

    PeerGossip(boost::asio::io_context &context,
               Net::HttpClient &client,
               VmId self,
               Endpoint endpoint,
               FailureDomain failureDomain,
               double capacity,
               Gateway::Members &members,
               Gateway::CrashTracker &crashes,
               Gateway::TargetRegistry &targets,
               PermitBroker &permitBroker,
               PieceBroker &pieceBroker,
               Metrics::Registry &metrics,
               EventLog &log,
               ChangeHandler onChange);

    void start();
    void stop();
    /** Tells the other daemons that this one accepts no new piece orders from them. */
    void announceLeaving();
    /** Handles the greeting of another daemon and responds with the local one. */
    void handleGreeting(const Net::HttpExchangePointer &exchange);

    static constexpr const char *PATH = "/cell/greeting";

private:
    void sendGreetings();
    void sendGreeting(const Endpoint &endpoint);
    /** The daemon that a greeting is for. */
    struct Receiver {
        Endpoint endpoint;
        std::optional<std::uint64_t> bansHash; ///< that it has reported last
    };

    /** @param receiver the list of known daemons and the bans are left out if this daemon has the same ones */
    std::string localGreeting(const Receiver &receiver);
    /** Returns the sender. */
    Receiver onGreeting(std::string_view bytes);

    Net::HttpClient &m_client;
    VmId m_self;
    Endpoint m_endpoint;
    FailureDomain m_failureDomain;
    double m_capacity;
    Incarnation m_incarnation;
    Gateway::Members &m_members;
    Gateway::CrashTracker &m_crashes;
    Gateway::TargetRegistry &m_targets;
    PermitBroker &m_permitBroker;
    PieceBroker &m_pieceBroker;
    EventLog &m_log;
    Metrics::Counter &m_sentCounter;
    Metrics::Counter &m_byteCounter; ///< sent with greetings and responses to greetings
    ChangeHandler m_onChange;
    boost::asio::steady_timer m_timer;
    std::set<std::string> m_pendingGreetings; ///< addresses with an unanswered greeting
    bool m_isLeaving = false;
    bool m_isStopped = false;
};

} // namespace CassiaRelay::GatewayDaemon
