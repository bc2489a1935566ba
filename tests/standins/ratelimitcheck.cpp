#include "ratelimitcheck.h"

#include <algorithm>

namespace CassiaRelay::StandIns {

namespace {

// The users' rule: 3 s after a target first named its limit, any 4 s hold at most one and a half times what it allows, and 5 requests.
constexpr std::chrono::seconds GRACE { 3 };
constexpr std::chrono::seconds WINDOW { 4 };
constexpr double FACTOR = 1.5;
constexpr double EXTRA = 5;
constexpr std::chrono::milliseconds NOTICE { 500 }; // time until a daemon that has passed an answer on is bound by it

} // namespace

void RateLimitCheck::setLimit(std::optional<double> perSecond, MonotonicTime now)
{
    if (perSecond) {
        if (!m_limit) {
            m_firstNamedAt = now;
            m_periods.clear();
        }
        m_periods.push_back({ now, *perSecond });
    }
    m_limit = perSecond;
}

std::optional<double> RateLimitCheck::limit() const
{
    return m_limit;
}

void RateLimitCheck::recordArrival(MonotonicTime now)
{
    m_arrivals.push_back(now);
    while (m_arrivals.front() + WINDOW <= now) {
        m_arrivals.pop_front();
    }
    if (!m_limit) {
        return;
    }
    ++m_arrivalsWhileLimited;
    const MonotonicTime boundFrom = m_firstNamedAt + GRACE;
    if (now < boundFrom) {
        return;
    }
    const std::size_t count = static_cast<std::size_t>(
        std::count_if(m_arrivals.begin(), m_arrivals.end(), [boundFrom](MonotonicTime arrival) { return arrival >= boundFrom; }));
    const double windowSeconds = std::chrono::duration<double>(WINDOW).count();
    m_peak = std::max(m_peak, count);
    m_overruns += static_cast<double>(count) > FACTOR * windowSeconds * highestLimit(now) + EXTRA ? 1 : 0;
}

nlohmann::json RateLimitCheck::stats() const
{
    return { { "limitOverruns", m_overruns }, { "limitPeak", m_peak }, { "arrivalsWhileLimited", m_arrivalsWhileLimited } };
}

// The highest limit that was in force at any moment of the window that ends now.
double RateLimitCheck::highestLimit(MonotonicTime now) const
{
    double highest = 0;
    for (std::size_t index = 0; index < m_periods.size(); ++index) {
        const bool hasEnded = index + 1 < m_periods.size() && m_periods[index + 1].startedAt + WINDOW + NOTICE <= now;
        highest = hasEnded ? highest : std::max(highest, m_periods[index].perSecond);
    }
    return highest;
}

} // namespace CassiaRelay::StandIns
