#include "resultmemorytracker.h"

#include <algorithm>
#include <limits>

namespace CassiaRelay::Gateway {

void ResultMemoryTracker::setCapacity(std::size_t bytesPerTarget, Duration lifetime)
{
    m_bytesPerTarget = bytesPerTarget;
    m_lifetime = lifetime;
}

std::size_t ResultMemoryTracker::freeBytes(const TargetId &target) const
{
    if (!isLimited()) {
        return std::numeric_limits<std::size_t>::max();
    }
    const auto used = m_usedBytes.find(target);
    const std::size_t usedBytes = used == m_usedBytes.end() ? 0 : used->second;
    const std::size_t freeBytes = usedBytes < m_bytesPerTarget ? m_bytesPerTarget - usedBytes : 0;
    const auto limit = m_freeLimits.find(target);
    return limit == m_freeLimits.end() ? freeBytes : std::min(freeBytes, limit->second.bytes);
}

bool ResultMemoryTracker::isLimited() const
{
    return m_bytesPerTarget > 0;
}

void ResultMemoryTracker::reserve(const TargetId &target, std::size_t bytes)
{
    m_usedBytes[target] += bytes;
}

void ResultMemoryTracker::cancelReservation(const TargetId &target, std::size_t bytes)
{
    const auto used = m_usedBytes.find(target);
    if (used == m_usedBytes.end()) {
        return;
    }
    if (used->second <= bytes) {
        m_usedBytes.erase(used);
    } else {
        used->second -= bytes;
    }
}

void ResultMemoryTracker::commit(const StageResult &result, std::size_t bytes, MonotonicTime now)
{
    StoredResult &stored = m_stored[result.handle];
    m_expiries.erase({ stored.expiresAt, result.handle });
    stored = { result.target, bytes, now + m_lifetime };
    m_expiries.emplace(stored.expiresAt, result.handle);
}

std::size_t ResultMemoryTracker::release(const StageResult &result)
{
    const auto stored = m_stored.find(result.handle);
    if (stored == m_stored.end()) {
        return 0;
    }
    const std::size_t bytes = stored->second.bytes;
    m_freedBytes += bytes;
    cancelReservation(stored->second.target, bytes);
    m_expiries.erase({ stored->second.expiresAt, result.handle });
    m_stored.erase(stored);
    return bytes;
}

std::size_t ResultMemoryTracker::removeExpired(MonotonicTime now)
{
    std::size_t bytes = 0;
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        const auto stored = m_stored.find(m_expiries.begin()->second);
        bytes += stored->second.bytes;
        m_freedBytes += stored->second.bytes;
        cancelReservation(stored->second.target, stored->second.bytes);
        m_stored.erase(stored);
        m_expiries.erase(m_expiries.begin());
    }
    const auto isKept = [now](const StoredResult &result) { return result.expiresAt > now; };
    const auto firstExpired = std::partition(m_unknownResults.begin(), m_unknownResults.end(), isKept);
    std::for_each(
        firstExpired, m_unknownResults.end(), [this](const StoredResult &result) { cancelReservation(result.target, result.bytes); });
    m_unknownResults.erase(firstExpired, m_unknownResults.end());
    for (auto limit = m_freeLimits.begin(); limit != m_freeLimits.end();) {
        limit = limit->second.until > now ? std::next(limit) : m_freeLimits.erase(limit);
    }
    m_freedRate.add(static_cast<double>(std::exchange(m_freedBytes, 0)), now);
    return bytes;
}

void ResultMemoryTracker::limitUntil(const TargetId &target, std::size_t bytes, MonotonicTime until)
{
    if (bytes > 0) {
        m_freeLimits[target] = { bytes - 1, until };
    }
}

void ResultMemoryTracker::keepReservation(const TargetId &target, std::size_t bytes, MonotonicTime now)
{
    m_unknownResults.push_back({ target, bytes, now + m_lifetime });
}

double ResultMemoryTracker::bytesFreedPerSecond(MonotonicTime now) const
{
    return m_freedRate.ratePerSecond(now);
}

Duration ResultMemoryTracker::lifetime() const
{
    return m_lifetime;
}

std::size_t ResultMemoryTracker::bytesPerTarget() const
{
    return m_bytesPerTarget;
}

} // namespace CassiaRelay::Gateway
