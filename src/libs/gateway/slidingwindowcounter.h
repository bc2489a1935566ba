#pragma once

#include <common/common.h>

#include <deque>

namespace CassiaRelay::Gateway {

/** Counts the events within a sliding time window. */
class SlidingWindowCounter
{
public:
    explicit SlidingWindowCounter(Duration length)
        : m_length(length)
    {
    }

    void add(MonotonicTime now)
    {
        removeExpired(now);
        m_times.push_back(now);
    }

    std::size_t count(MonotonicTime now)
    {
        removeExpired(now);
        return m_times.size();
    }

    /** Returns when the oldest event leaves the window, or @p now if the window is empty. */
    MonotonicTime nextExpiry(MonotonicTime now) const
    {
        return m_times.empty() ? now : m_times.front() + m_length;
    }

private:
    void removeExpired(MonotonicTime now)
    {
        while (!m_times.empty() && m_times.front() + m_length <= now) {
            m_times.pop_front();
        }
    }

    Duration m_length;
    std::deque<MonotonicTime> m_times;
};

} // namespace CassiaRelay::Gateway
