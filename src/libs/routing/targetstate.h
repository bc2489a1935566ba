#pragma once

#include "concurrencylimit.h"
#include "targettable.h"

namespace CassiaRelay::Routing {

/** How sure a daemon is that a target bears its full load. */
enum class Warmth {
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
    void adopt(const Target &target);
    /** The target is no longer published. */
    void withdraw();
    /** @return true when the target has been restarted since it was last seen */
    bool observeIncarnation(Incarnation incarnation);
    void onStarted();
    /** The work never started. */
    void onDropped();
    /** @param pace service time relative to the median of its pool and class */
    void onFinished(AttemptOutcome outcome, double pace, MonotonicTime now);
    void setShare(int share);
    void markCold();

    bool needsPermit() const;
    /** True when the target has another slot for this daemon; time-outs of ejection are not considered. */
    bool hasRoom() const;
    /** Relative to the other targets of the pool; smaller is sooner. */
    double expectedWait() const;

    Target published;
    bool isPublished = false;
    Warmth warmth = Warmth::Unknown;
    int inFlight = 0; ///< with the permits that are asked for
    int reportedQueue = 0;
    int failuresInRow = 0;
    bool isProbing = false;     ///< after ejection: one piece of work at a time until one succeeds
    bool isReserved = false;    ///< kept free for a suspected request
    MonotonicTime blockedUntil; ///< by an ejection or a refused permit
    bool isEjected = false;
    MonotonicTime lostAt; ///< last time that a connection was lost during an attempt

private:
    int bound() const;
    void observePace(double pace);

    Incarnation m_incarnation;
    ConcurrencyLimit m_limit;
    std::optional<int> m_share;
    int m_successes = 0; ///< since it was not warm
    int m_slowInRow = 0;
    int m_samples = 0;
    double m_pace = 1;
    double m_recentPace = 1;
};

} // namespace CassiaRelay::Routing
