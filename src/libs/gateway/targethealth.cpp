#include "targethealth.h"

#include <algorithm>

namespace CassiaRelay::Gateway {

namespace {

constexpr double WEIGHT_OF_NEWEST = 0.1;                    // about the last ten attempts count
constexpr double WEIGHT_OF_NEWEST_LATENCY = 0.2;            // about the last five answers count
constexpr std::chrono::milliseconds FIRST_PAUSE { 250 };    // a restarted process needs about as long to listen again
constexpr std::chrono::milliseconds LONGEST_PAUSE { 2000 }; // a crashed target is back, or out of the list, within seconds
constexpr int MAX_DOUBLINGS = 3;

} // namespace

void TargetHealth::note(AttemptResult result, MonotonicTime now)
{
    switch (result) {
    case AttemptResult::Cancelled:
        return;
    case AttemptResult::Succeeded:
        m_consecutive = 0;
        m_suspectUntil = now;
        m_failureShare *= 1 - WEIGHT_OF_NEWEST;
        return;
    case AttemptResult::Refused:
        return;
    case AttemptResult::Errored:
        m_failureShare += WEIGHT_OF_NEWEST * (1 - m_failureShare);
        return;
    case AttemptResult::Unreachable:
    case AttemptResult::Broken:
    case AttemptResult::Silent:
        m_failureShare += WEIGHT_OF_NEWEST * (1 - m_failureShare);
        suspect(now);
        return;
    }
}

void TargetHealth::noteLatency(Duration latency)
{
    if (m_latency == Duration::zero()) {
        m_latency = latency;
        return;
    }
    const double mean = static_cast<double>(m_latency.count());
    m_latency = Duration(static_cast<Duration::rep>(mean + WEIGHT_OF_NEWEST_LATENCY * (static_cast<double>(latency.count()) - mean)));
}

bool TargetHealth::isSuspect(MonotonicTime now) const
{
    return m_suspectUntil > now;
}

double TargetHealth::failureShare() const
{
    return m_failureShare;
}

Duration TargetHealth::latency() const
{
    return m_latency;
}

void TargetHealth::suspect(MonotonicTime now)
{
    const auto pause = std::min(FIRST_PAUSE * (1 << std::min(m_consecutive, MAX_DOUBLINGS)), LONGEST_PAUSE);
    ++m_consecutive;
    m_suspectUntil = std::max(m_suspectUntil, now + pause);
}

} // namespace CassiaRelay::Gateway
