#pragma once

#include <common/common.h>

namespace CassiaRelay::Gateway {

/** How an attempt at a target went, for the choice of the next one. */
enum class AttemptResult {
    Succeeded,
    Refused,     ///< the target said that it did not run the request
    Errored,     ///< the target answered with a failure of its own
    Unreachable, ///< no connection
    Broken,      ///< the connection was lost, or what came is no answer
    Silent,      ///< no answer in time
    Cancelled,   ///< given up by the caller or the daemon; says nothing of the target
};

/** What one daemon has learned of one target from its own attempts. */
class TargetHealth
{
public:
    void addResult(AttemptResult result, MonotonicTime now);
    /** Time from sending until the first byte of the answer. */
    void addLatencySample(Duration latency);
    /** True while the target should only be used when there is no other. */
    bool isSuspect(MonotonicTime now) const;
    /** Share of recent attempts that failed, 0 to 1. */
    double failureRate() const;
    /** Recent mean; 0 before the first answer. */
    Duration latency() const;

private:
    void markSuspect(MonotonicTime now);

    int m_consecutiveFailures = 0;
    MonotonicTime m_suspectUntil;
    double m_failureRate = 0;
    Duration m_latency {};
};

} // namespace CassiaRelay::Gateway
