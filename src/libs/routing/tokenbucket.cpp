#include "tokenbucket.h"

#include <algorithm>

namespace CassiaRelay::Routing {

using Seconds = std::chrono::duration<double>;

bool TokenBucket::tryConsume(double perSecond, MonotonicTime now)
{
    m_usedTokens = std::max(0.0, m_usedTokens - Seconds(now - m_refilledAt).count() * perSecond);
    m_refilledAt = now;
    if (m_usedTokens + 1 > std::max(1.0, perSecond)) {
        return false;
    }
    m_usedTokens += 1;
    return true;
}

Duration TokenBucket::timeUntilAvailable(double perSecond) const
{
    const double missing = std::max(0.0, m_usedTokens + 1 - std::max(1.0, perSecond));
    return std::chrono::duration_cast<Duration>(Seconds(missing / perSecond));
}

} // namespace CassiaRelay::Routing
