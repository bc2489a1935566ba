#include "targethealth.h"

#include <algorithm>

namespace CassiaRelay::Gateway {

namespace {

constexpr double FAILURE_SMOOTHING_FACTOR = 0.1;             // averages about the last ten attempts
constexpr double LATENCY_SMOOTHING_FACTOR = 0.2;             // averages about the last five responses
constexpr std::chrono::milliseconds INITIAL_BACKOFF { 250 }; // a restarted process needs about this long to listen again
constexpr std::chrono::milliseconds MAX_BACKOFF { 2000 };    // a crashed target has restarted, or is no longer listed, within seconds
constexpr int MAX_BACKOFF_DOUBLINGS = 3;

} // namespace

void TargetHealth::recordResult(AttemptResult result, MonotonicTime now)
{
    switch (result) {
    case AttemptResult::Cancelled:
        return;
    case AttemptResult::Succeeded:
        m_consecutiveFailures = 0;
        m_suspectUntil = now;
        m_failureRate *= 1 - FAILURE_SMOOTHING_FACTOR;
        return;
    case AttemptResult::Refused:
        return;
    case AttemptResult::Errored:
        m_failureRate += FAILURE_SMOOTHING_FACTOR * (1 - m_failureRate);
        return;
    case AttemptResult::Unreachable:
    case AttemptResult::Broken:
    case AttemptResult::Silent:
        m_failureRate += FAILURE_SMOOTHING_FACTOR * (1 - m_failureRate);
        markSuspect(now);
        return;
    }
}

void TargetHealth::addLatencySample(Duration latency)
{
    if (m_latency == Duration::zero()) {
        m_latency = latency;
        return;
    }
    const double mean = static_cast<double>(m_latency.count());
    m_latency = Duration(static_cast<Duration::rep>(mean + LATENCY_SMOOTHING_FACTOR * (static_cast<double>(latency.count()) - mean)));
}

bool TargetHealth::isSuspect(MonotonicTime now) const
{
    return m_suspectUntil > now;
}

double TargetHealth::failureRate() const
{
    return m_failureRate;
}

Duration TargetHealth::latency() const
{
    return m_latency;
}

void TargetHealth::markSuspect(MonotonicTime now)
{
    const auto backoff = std::min(INITIAL_BACKOFF * (1 << std::min(m_consecutiveFailures, MAX_BACKOFF_DOUBLINGS)), MAX_BACKOFF);
    ++m_consecutiveFailures;
    m_suspectUntil = std::max(m_suspectUntil, now + backoff);
}

} // namespace CassiaRelay::Gateway
