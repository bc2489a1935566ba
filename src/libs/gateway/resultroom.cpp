#include "resultroom.h"

#include <limits>

namespace CassiaRelay::Gateway {

void ResultRoom::setCapacity(std::size_t perTarget, Duration lifetime)
{
    m_perTarget = perTarget;
    m_lifetime = lifetime;
}

std::size_t ResultRoom::freeBytes(const TargetId &target) const
{
    if (!isLimited()) {
        return std::numeric_limits<std::size_t>::max();
    }
    const auto used = m_used.find(target);
    const std::size_t taken = used == m_used.end() ? 0 : used->second;
    return taken < m_perTarget ? m_perTarget - taken : 0;
}

bool ResultRoom::isLimited() const
{
    return m_perTarget > 0;
}

void ResultRoom::reserve(const TargetId &target, std::size_t bytes)
{
    m_used[target] += bytes;
}

void ResultRoom::cancel(const TargetId &target, std::size_t bytes)
{
    const auto used = m_used.find(target);
    if (used == m_used.end()) {
        return;
    }
    if (used->second <= bytes) {
        m_used.erase(used);
    } else {
        used->second -= bytes;
    }
}

void ResultRoom::hold(const StageResult &result, std::size_t bytes, MonotonicTime now)
{
    m_held[result.handle] = { result.target, bytes, now + m_lifetime };
}

void ResultRoom::release(const StageResult &result)
{
    const auto held = m_held.find(result.handle);
    if (held == m_held.end()) {
        return;
    }
    cancel(held->second.target, held->second.bytes);
    m_held.erase(held);
}

void ResultRoom::expire(MonotonicTime now)
{
    for (auto held = m_held.begin(); held != m_held.end();) {
        if (held->second.until > now) {
            ++held;
            continue;
        }
        cancel(held->second.target, held->second.bytes);
        held = m_held.erase(held);
    }
}

} // namespace CassiaRelay::Gateway
