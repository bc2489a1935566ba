#pragma once

#include <boost/asio/steady_timer.hpp>
#include <gateway/gateway.h>
#include <net/net.h>

#include <functional>

namespace CassiaRelay::GatewayDaemon {

/** Opens the connections by which a reachability tracker finds out which services can be reached. */
class TargetProber
{
public:
    using ChangeHandler = std::function<void()>;

    /** @param onChange called when a service has become unreachable or reachable */
    TargetProber(boost::asio::io_context &context,
                 Gateway::ReachabilityTracker &reachability,
                 Gateway::TargetRegistry &targets,
                 ChangeHandler onChange);

    void stop();

private:
    void scheduleRounds();
    void startRounds();
    void onProbed(const Gateway::ReachabilityProbe &probe, bool isConnected);

    boost::asio::io_context &m_context;
    Gateway::ReachabilityTracker &m_reachability;
    Gateway::TargetRegistry &m_targets;
    ChangeHandler m_onChange;
    boost::asio::steady_timer m_timer;
    bool m_isStopped = false;
};

} // namespace CassiaRelay::GatewayDaemon
