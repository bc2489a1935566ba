#pragma once

#include "membership.h"

#include <map>

namespace CassiaRelay::Fleet {

/** Records when this daemon last heard from the platform and from each member of its cell. */
class LivenessTracker
{
public:
    void setLimit(std::chrono::milliseconds limit);
    /** Counts the platform as heard at this time, unless it has already answered. Further calls have no effect. */
    void start(MonotonicTime now);
    void onPlatformAnswer(MonotonicTime now);
    void onHeartbeat(const VmId &vm, MonotonicTime now);
    /** Returns whether the last heartbeat of the VM is within the limit. */
    bool isReachable(const VmId &vm, MonotonicTime now) const;
    /**
     * Returns true if neither the platform nor at least half of the members, including this one, were heard within the limit.
     * This is also the case right after the process was suspended, until it hears from others again.
     */
    bool isIsolated(const VmId &self, const Members &members, MonotonicTime now) const;

private:
    bool isRecent(MonotonicTime time, MonotonicTime now) const;

    std::chrono::milliseconds m_limit { 3000 };
    MonotonicTime m_platform;
    std::map<VmId, MonotonicTime> m_peers;
};

} // namespace CassiaRelay::Fleet
