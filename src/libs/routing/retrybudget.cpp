#include "retrybudget.h"

#include <algorithm>

namespace CassiaRelay::Routing {

namespace {

constexpr double MAX_TOKENS = 50;
constexpr double SMOOTHING = 0.05;
constexpr double REFUSING_PART = 0.5;

} // namespace

void RetryBudget::onFirstAttempt(double ratio)
{
    m_tokens = std::min(MAX_TOKENS, m_tokens + ratio);
}

void RetryBudget::onFinished(AttemptOutcome outcome)
{
    const double refused = outcome == AttemptOutcome::Refused ? 1 : 0;
    m_refusedPart += SMOOTHING * (refused - m_refusedPart);
}

bool RetryBudget::take()
{
    if (m_tokens < 1 || m_refusedPart > REFUSING_PART) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace CassiaRelay::Routing
