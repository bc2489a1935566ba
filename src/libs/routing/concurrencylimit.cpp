#include "concurrencylimit.h"

#include <algorithm>

namespace CassiaRelay::Routing {

namespace {

constexpr double SLOWDOWN_TOLERANCE = 2;
constexpr double DECREASE_ON_SLOWDOWN = 0.9;
constexpr double DECREASE_ON_FAILURE = 0.7;
/** Minimum time between decreases: responses to work that was sent before a decrease don't reflect the new limit. */
constexpr std::chrono::milliseconds DECREASE_INTERVAL { 100 };

bool isFailure(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Refused || outcome == AttemptOutcome::TimedOut || outcome == AttemptOutcome::Failed;
}

} // namespace

void ConcurrencyLimit::onFinished(AttemptOutcome outcome, double slowdown, int maxLimit, MonotonicTime now)
{
    const double limit = std::min(m_limit.value_or(maxLimit), static_cast<double>(maxLimit));
    const bool isSlow = outcome == AttemptOutcome::Succeeded && slowdown > SLOWDOWN_TOLERANCE;
    if (!isSlow && outcome == AttemptOutcome::Succeeded && m_limit) {
        m_limit = limit + 1 / std::max(1.0, limit);
        return;
    }
    if ((!isSlow && !isFailure(outcome)) || now - m_decreasedAt < DECREASE_INTERVAL) {
        return;
    }
    m_limit = std::max(1.0, limit * (isSlow ? DECREASE_ON_SLOWDOWN : DECREASE_ON_FAILURE));
    m_decreasedAt = now;
}

int ConcurrencyLimit::value(int maxLimit) const
{
    return std::min(maxLimit, static_cast<int>(m_limit.value_or(maxLimit)));
}

} // namespace CassiaRelay::Routing
