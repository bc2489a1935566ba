#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>

namespace CassiaRelay::StandIns {

/** Keeps the most recently used prompt prefixes up to a limit. */
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t slots)
        : m_slots(slots)
    {
    }

    /** True when the prefix was cached; it is cached afterwards. */
    bool use(std::uint64_t prefix)
    {
        const auto found = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
        const bool hit = found != m_prefixes.end();
        if (hit) {
            m_prefixes.erase(found);
        }
        m_prefixes.push_front(prefix);
        if (m_prefixes.size() > m_slots) {
            m_prefixes.pop_back();
        }
        return hit;
    }

    void clear()
    {
        m_prefixes.clear();
    }

private:
    std::size_t m_slots;
    std::deque<std::uint64_t> m_prefixes;
};

} // namespace CassiaRelay::StandIns
