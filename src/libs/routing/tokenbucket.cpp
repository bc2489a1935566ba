#include "tokenbucket.h"

#include <algorithm>

namespace CassiaRelay::Routing {

using Seconds = std::chrono::duration<double>;

bool TokenBucket::take(double perSecond, MonotonicTime now)
{
    m_used = std::max(0.0, m_used - Seconds(now - m_refilledAt).count() * perSecond);
    m_refilledAt = now;
    if (m_used + 1 > std::max(1.0, perSecond)) {
        return false;
    }
    m_used += 1;
    return true;
}

Duration TokenBucket::timeToNext(double perSecond) const
{
    const double missing = std::max(0.0, m_used + 1 - std::max(1.0, perSecond));
    return std::chrono::duration_cast<Duration>(Seconds(missing / perSecond));
}

} // namespace CassiaRelay::Routing
