#include "retrybudget.h"

#include <algorithm>

namespace CassiaRelay::Routing {

namespace {

constexpr double MAX_TOKENS = 50;
constexpr double REFUSAL_RATE_SMOOTHING = 0.05;
constexpr double MAX_REFUSAL_RATE = 0.5;

} // namespace

void RetryBudget::onFirstAttempt(double ratio)
{
    m_tokens = std::min(MAX_TOKENS, m_tokens + ratio);
}

void RetryBudget::onFinished(AttemptOutcome outcome)
{
    const double refused = outcome == AttemptOutcome::Refused ? 1 : 0;
    m_refusalRate += REFUSAL_RATE_SMOOTHING * (refused - m_refusalRate);
}

bool RetryBudget::tryConsume()
{
    if (m_tokens < 1 || m_refusalRate > MAX_REFUSAL_RATE) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace CassiaRelay::Routing
