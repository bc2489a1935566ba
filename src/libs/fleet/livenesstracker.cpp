#include "livenesstracker.h"

namespace CassiaRelay::Fleet {

void LivenessTracker::setLimit(std::chrono::milliseconds limit)
{
    m_limit = limit;
}

void LivenessTracker::start(MonotonicTime now)
{
    if (m_platform == MonotonicTime {}) {
        m_platform = now;
    }
}

void LivenessTracker::onPlatformAnswer(MonotonicTime now)
{
    m_platform = now;
}

void LivenessTracker::onHeartbeat(const VmId &vm, MonotonicTime now)
{
    m_peers[vm] = now;
}

bool LivenessTracker::isReachable(const VmId &vm, MonotonicTime now) const
{
    const auto found = m_peers.find(vm);
    return found != m_peers.end() && isRecent(found->second, now);
}

bool LivenessTracker::isIsolated(const VmId &self, const Members &members, MonotonicTime now) const
{
    if (isRecent(m_platform, now)) {
        return false;
    }
    std::size_t reachable = 0;
    for (const VmId &vm : members) {
        reachable += vm == self || isReachable(vm, now) ? 1 : 0;
    }
    return reachable * 2 < members.size() || members.empty();
}

bool LivenessTracker::isRecent(MonotonicTime time, MonotonicTime now) const
{
    return now - time <= m_limit;
}

} // namespace CassiaRelay::Fleet
