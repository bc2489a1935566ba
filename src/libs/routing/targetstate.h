#pragma once

#include "concurrencylimit.h"
#include "targettable.h"

namespace CassiaRelay::Routing {

/** How sure a daemon is that a target bears its full load. */
enum class WarmupState {
    Unknown, ///< treated as cold
    Cold,
    Warming,
    Warm,
};

/** What a daemon knows of one target; everything that the choice reads is kept here. */
class TargetState
{
public:
    /** Takes over what is published. A target that is new, restarted or back in service is not warm. */
    void update(const Target &target);
    /** The target is no longer published. */
    void markUnpublished();
    /** @return true when the target has been restarted since it was last seen */
    bool observeIncarnation(Incarnation incarnation);
    void acquireSlot();
    /** The work never started. */
    void releaseSlot();
    /** @param pace service time relative to the median of its pool and class */
    void onFinished(AttemptOutcome outcome, double relativeTime, MonotonicTime now);
    void setShare(int share);
    void markCold();

    bool needsPermit() const;
    /** True when the target has another slot for this daemon; time-outs of ejection are not considered. */
    bool hasFreeSlot() const;
    /** Relative to the other targets of the pool; smaller is sooner. */
    double expectedWait() const;

    Target published;
    bool isPublished = false;
    WarmupState warmupState = WarmupState::Unknown;
    int inFlight = 0; ///< with the permits that are asked for
    int reportedQueueLength = 0;
    int consecutiveFailures = 0;
    bool isProbationary = false; ///< after ejection: one piece of work at a time until one succeeds
    bool isReserved = false;     ///< kept free for a suspected request
    MonotonicTime blockedUntil;  ///< by an ejection or a refused permit
    bool isEjected = false;
    MonotonicTime lostAt; ///< last time that a connection was lost during an attempt

private:
    int maxConcurrency() const;
    void recordRelativeTime(double relativeTime);

    Incarnation m_incarnation;
    ConcurrencyLimit m_concurrencyLimit;
    std::optional<int> m_share;
    int m_warmupSuccesses = 0; ///< since it was not warm
    int m_consecutiveOutliers = 0;
    int m_baselineSamples = 0;
    double m_baselineTime = 1;
    double m_recentTime = 1;
};

} // namespace CassiaRelay::Routing
