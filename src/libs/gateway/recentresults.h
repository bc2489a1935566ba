#pragma once

#include <common/common.h>

#include <cstdint>
#include <deque>
#include <unordered_set>

namespace CassiaRelay::Gateway {

/** Remembers the handles of the results that were freed last, so that each is freed at its target only once. */
class RecentResults
{
public:
    /** Adds a result. Returns false if it was added a moment ago. */
    bool insert(const std::string &handle)
    {
        const std::uint64_t hash = stableHash(handle);
        if (!m_hashes.insert(hash).second) {
            return false;
        }
        m_order.push_back(hash);
        if (m_order.size() > MAX_RESULTS) {
            m_hashes.erase(m_order.front());
            m_order.pop_front();
        }
        return true;
    }

private:
    static constexpr std::size_t MAX_RESULTS = 4096; ///< two seconds of a stage that makes 2,000 results per second

    std::unordered_set<std::uint64_t> m_hashes;
    std::deque<std::uint64_t> m_order;
};

} // namespace CassiaRelay::Gateway
