#include "reachabilitytracker.h"

namespace CassiaRelay::Gateway {

namespace {

constexpr std::size_t PROBES_PER_ROUND = 4;                       // some targets may be down; not all of four while the service is up
constexpr std::chrono::milliseconds BLOCKED_INTERVAL { 300 };     // between rounds while blocked; as often as daemons greet each other
constexpr std::chrono::milliseconds CONNECTED_INTERVAL { 500 };   // after a round with a connection; failures are due to single targets
constexpr std::chrono::milliseconds MAX_ROUND_TIME { 600 };       // twice the timeout; in a longer round, this process did not run
constexpr std::chrono::milliseconds RESPONSE_LIFETIME { 1000 };   // kept connections that have answered within this time still work
constexpr std::chrono::milliseconds BLOCKED_TRY_INTERVAL { 500 }; // tries show whether kept connections work; each may take seconds to fail

} // namespace

void ReachabilityTracker::setProbeHandler(ProbeHandler onProbesWanted)
{
    m_onProbesWanted = std::move(onProbesWanted);
}

void ReachabilityTracker::recordFailure(const ServiceName &service, MonotonicTime now)
{
    State &state = m_services[service];
    if (state.openProbes == 0 && state.nextRoundAt <= now) {
        wantRound(state);
    }
}

void ReachabilityTracker::recordResponse(const ServiceName &service, MonotonicTime now)
{
    m_services[service].respondedAt = now;
}

std::vector<ReachabilityProbe> ReachabilityTracker::takeProbes(TargetRegistry &targets, MonotonicTime now)
{
    std::vector<ReachabilityProbe> probes;
    for (auto &[service, state] : m_services) {
        const bool isDue = state.isRoundWanted || (state.blockedSince && state.nextRoundAt <= now);
        if (!isDue || state.openProbes > 0) {
            continue;
        }
        state.isRoundWanted = false;
        const std::vector<TargetRecord> sample = targets.sample(service, PROBES_PER_ROUND);
        if (sample.empty()) {
            unblock(service, state, now);
            continue;
        }
        state.openProbes = sample.size();
        state.failedProbes = 0;
        state.hasConnected = false;
        state.roundStartedAt = now;
        for (const TargetRecord &target : sample) {
            probes.push_back({ service, target.id, target.endpoint });
        }
    }
    return probes;
}

void ReachabilityTracker::onProbed(const ReachabilityProbe &probe, bool isConnected, MonotonicTime now)
{
    State &state = m_services[probe.service];
    state.openProbes -= std::min<std::size_t>(state.openProbes, 1);
    if (isConnected) {
        state.hasConnected = true;
        unblock(probe.service, state, now);
        return;
    }
    ++state.failedProbes;
    if (state.openProbes > 0 || state.hasConnected) {
        return;
    }
    // After a pause of this process, probes that have connected may be reported as failed.
    if (now - state.roundStartedAt > MAX_ROUND_TIME) {
        wantRound(state);
        return;
    }
    block(probe.service, state, now);
}

std::optional<MonotonicTime> ReachabilityTracker::nextRoundAt() const
{
    std::optional<MonotonicTime> next;
    for (const auto &[service, state] : m_services) {
        if (state.blockedSince && state.openProbes == 0) {
            next = std::min(next.value_or(state.nextRoundAt), state.nextRoundAt);
        }
    }
    return next;
}

bool ReachabilityTracker::isBlocked(const ServiceName &service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.blockedSince;
}

std::set<ServiceName> ReachabilityTracker::blockedServices() const
{
    std::set<ServiceName> blocked;
    for (const auto &[service, state] : m_services) {
        if (state.blockedSince) {
            blocked.insert(service);
        }
    }
    return blocked;
}

bool ReachabilityTracker::mayTryBlocked(const ServiceName &service, MonotonicTime now)
{
    State &state = m_services[service];
    const bool isAnswering = state.blockedSince && state.respondedAt > *state.blockedSince && state.respondedAt + RESPONSE_LIFETIME > now;
    if (!isAnswering && state.triedAt + BLOCKED_TRY_INTERVAL > now) {
        return false;
    }
    state.triedAt = now;
    return true;
}

std::vector<ReachabilityChange> ReachabilityTracker::takeChanges()
{
    return std::exchange(m_changes, {});
}

void ReachabilityTracker::wantRound(State &state)
{
    state.isRoundWanted = true;
    if (m_onProbesWanted) {
        m_onProbesWanted();
    }
}

// The way to one service is often that to all, so the others are probed before requests for them fail.
void ReachabilityTracker::block(const ServiceName &service, State &state, MonotonicTime now)
{
    state.nextRoundAt = now + BLOCKED_INTERVAL;
    if (state.blockedSince) {
        return;
    }
    state.blockedSince = now;
    m_changes.push_back({ service, true, state.failedProbes, {} });
    for (auto &[other, otherState] : m_services) {
        if (!otherState.blockedSince && otherState.openProbes == 0) {
            wantRound(otherState);
        }
    }
}

void ReachabilityTracker::unblock(const ServiceName &service, State &state, MonotonicTime now)
{
    state.nextRoundAt = now + CONNECTED_INTERVAL;
    if (!state.blockedSince) {
        return;
    }
    m_changes.push_back({ service, false, state.failedProbes + 1, now - *state.blockedSince });
    state.blockedSince.reset();
}

} // namespace CassiaRelay::Gateway
