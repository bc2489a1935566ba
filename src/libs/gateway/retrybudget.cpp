#include "retrybudget.h"

#include <algorithm>

namespace CassiaRelay::Gateway {

namespace {

// Share of the allowance that is used; the rest makes up for windows that are not aligned between daemons.
constexpr double SAFETY_FACTOR = 0.8;

} // namespace

RetryBudget::RetryBudget(RetryLimits limits)
    : m_limits(limits)
{
}

void RetryBudget::setLimits(RetryLimits limits)
{
    m_limits = limits;
}

void RetryBudget::recordRequest(const ServiceName &service, MonotonicTime now)
{
    usage(service).requests.add(now);
}

bool RetryBudget::tryConsume(const ServiceName &service, int vmCount, MonotonicTime now)
{
    Usage &used = usage(service);
    const double own = m_limits.ratio * static_cast<double>(used.requests.count(now));
    const double allowed = SAFETY_FACTOR * (own + m_limits.extra / std::max(vmCount, 1));
    if (static_cast<double>(used.retries.count(now)) + 1 > allowed) {
        return false;
    }
    used.retries.add(now);
    return true;
}

RetryBudget::Usage &RetryBudget::usage(const ServiceName &service)
{
    return m_usage.try_emplace(service, m_limits.window).first->second;
}

} // namespace CassiaRelay::Gateway
