#include "targetprober.h"

#include <boost/asio/post.hpp>

namespace CassiaRelay::GatewayDaemon {

TargetProber::TargetProber(boost::asio::io_context &context,
                           Gateway::ReachabilityTracker &reachability,
                           Gateway::TargetRegistry &targets,
                           ChangeHandler onChange)
    : m_context(context)
    , m_reachability(reachability)
    , m_targets(targets)
    , m_onChange(std::move(onChange))
    , m_timer(context)
{
    // Posted, because the tracker calls it in the middle of a decision.
    m_reachability.setProbeHandler([this] { boost::asio::post(m_context, [this] { startRounds(); }); });
}

void TargetProber::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void TargetProber::startRounds()
{
    if (m_isStopped) {
        return;
    }
    for (const Gateway::ReachabilityProbe &probe : m_reachability.takeProbes(m_targets, std::chrono::steady_clock::now())) {
        Net::probeConnection(m_context, probe.endpoint, Gateway::ReachabilityTracker::PROBE_TIMEOUT, [this, probe](bool isConnected) {
            onProbed(probe, isConnected);
        });
    }
    m_onChange();
    scheduleRounds();
}

void TargetProber::onProbed(const Gateway::ReachabilityProbe &probe, bool isConnected)
{
    m_reachability.onProbed(probe, isConnected, std::chrono::steady_clock::now());
    m_onChange();
    scheduleRounds();
}

void TargetProber::scheduleRounds()
{
    const std::optional<MonotonicTime> next = m_reachability.nextRoundAt();
    if (!next || m_isStopped) {
        return;
    }
    m_timer.expires_at(*next);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            startRounds();
        }
    });
}

} // namespace CassiaRelay::GatewayDaemon
