#pragma once

#include "membership.h"

#include <map>

namespace CassiaRelay::Fleet {

/** When this daemon last heard the platform and each member of its cell. */
class LivenessTracker
{
public:
    void setLimit(std::chrono::milliseconds limit);
    /** Silence counts from here at the earliest. */
    void start(MonotonicTime now);
    void onPlatformAnswer(MonotonicTime now);
    void onHeartbeat(const VmId &vm, MonotonicTime now);
    bool isReachable(const VmId &vm, MonotonicTime now) const;
    /**
     * True when neither the platform nor half of the members, this one included, was heard within the limit.
     * That also holds right after a pause of the process, until somebody is heard again.
     */
    bool isIsolated(const VmId &self, const Members &members, MonotonicTime now) const;

private:
    bool isRecent(MonotonicTime time, MonotonicTime now) const;

    std::chrono::milliseconds m_limit { 3000 };
    MonotonicTime m_platform;
    std::map<VmId, MonotonicTime> m_peers;
};

} // namespace CassiaRelay::Fleet
