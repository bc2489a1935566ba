#pragma once

#include <common/common.h>

namespace CassiaRelay::Gateway {

/** Outcome of an attempt at a target. */
enum class AttemptResult {
    Succeeded,
    Refused,     ///< the target reported that it did not run the request
    Errored,     ///< the target responded with an error of its own
    Unreachable, ///< no connection to the target
    Broken,      ///< the connection was lost, or the response was invalid
    Silent,      ///< no response in time
    Cancelled,   ///< cancelled by the caller or the daemon; says nothing about the target
};

/** Health of one target, derived from the attempts of one daemon. */
class TargetHealth
{
public:
    void recordResult(AttemptResult result, MonotonicTime now);
    /** Adds the time from sending a request to the first byte of the response. */
    void addLatencySample(Duration latency);
    /** Returns whether the target should be used only if no other is available. */
    bool isSuspect(MonotonicTime now) const;
    /** Returns the share of recent attempts that failed, from 0 to 1. */
    double failureRate() const;
    /** Returns the recent mean latency, or 0 before the first response. */
    Duration latency() const;

private:
    void markSuspect(MonotonicTime now);

    int m_consecutiveFailures = 0;
    MonotonicTime m_suspectUntil;
    double m_failureRate = 0;
    Duration m_latency {};
};

} // namespace CassiaRelay::Gateway
