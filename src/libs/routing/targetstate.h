#pragma once

#include "concurrencylimit.h"
#include "targettable.h"

namespace CassiaRelay::Routing {

/** Warm-up state of a target as known to this daemon; only a warm target can take its full load. */
enum class WarmupState {
    Unknown, ///< treated as cold
    Cold,
    Warming,
    Warm,
};

/** What this daemon knows about one target; holds everything that target selection reads. */
class TargetState
{
public:
    /** Applies the published entry. A target that is new or back in service is not warm. */
    void update(const Target &target);
    void markUnpublished();
    /** Marks a restarted target as cold. @return true if the target has been restarted since it was last seen */
    bool observeIncarnation(Incarnation incarnation);
    void acquireSlot();
    /** Frees the slot of a work item that was never started. */
    void releaseSlot();
    /** @param relativeTime service time relative to the median of its pool and class */
    void onFinished(AttemptOutcome outcome, double relativeTime, MonotonicTime now);
    void setShare(int share);
    void markCold();

    bool needsPermit() const;
    /** True if the target has another slot for this daemon; blockedUntil is not considered. */
    bool hasFreeSlot() const;
    /** A dimensionless value, meaningful only in comparison with other targets of the pool. */
    double expectedWait() const;

    Target published;
    bool isPublished = false;
    WarmupState warmupState = WarmupState::Unknown;
    int inFlight = 0; ///< including work items that wait for a permit
    int reportedQueueLength = 0;
    int consecutiveFailures = 0;
    bool isProbationary = false; ///< after an ejection: one work item at a time until one succeeds
    bool isReserved = false;     ///< kept free for a suspect request
    MonotonicTime blockedUntil;  ///< due to an ejection or a refused permit
    bool isEjected = false;
    MonotonicTime lostAt; ///< last time that a connection was lost during an attempt

private:
    int maxConcurrency() const;
    void recordRelativeTime(double relativeTime);

    Incarnation m_incarnation;
    ConcurrencyLimit m_concurrencyLimit;
    std::optional<int> m_share;
    int m_warmupSuccesses = 0; ///< consecutive, while not warm
    int m_consecutiveOutliers = 0;
    int m_baselineSamples = 0;
    double m_baselineTime = 1;
    double m_recentTime = 1;
};

} // namespace CassiaRelay::Routing
