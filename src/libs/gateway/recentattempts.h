#pragma once

#include <common/common.h>

#include <vector>

namespace CassiaRelay::Gateway {

/**
 * When the latest attempts of this daemon at one target began and ended.
 *
 * A load report that is some hundred milliseconds old includes those that ran then, and not those that began later.
 */
class RecentAttempts
{
public:
    void recordStart(MonotonicTime now);
    void recordEnd(MonotonicTime now);
    /** Returns how many attempts of this daemon ran at an earlier time, from those that run now. */
    int runningAt(MonotonicTime time, int runningNow) const;

private:
    std::vector<MonotonicTime> m_starts;
    std::vector<MonotonicTime> m_ends;
};

} // namespace CassiaRelay::Gateway
