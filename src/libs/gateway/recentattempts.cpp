#include "recentattempts.h"

#include <algorithm>

namespace CassiaRelay::Gateway {

namespace {

constexpr std::size_t MAX_ATTEMPTS = 64; // more than one daemon starts at one target while a load report is valid

void record(std::vector<MonotonicTime> &times, MonotonicTime now)
{
    times.push_back(now);
    if (times.size() > MAX_ATTEMPTS) {
        times.erase(times.begin());
    }
}

int countAfter(const std::vector<MonotonicTime> &times, MonotonicTime time)
{
    return static_cast<int>(std::count_if(times.begin(), times.end(), [time](MonotonicTime recorded) { return recorded > time; }));
}

} // namespace

void RecentAttempts::recordStart(MonotonicTime now)
{
    record(m_starts, now);
}

void RecentAttempts::recordEnd(MonotonicTime now)
{
    record(m_ends, now);
}

int RecentAttempts::runningAt(MonotonicTime time, int runningNow) const
{
    return std::max(0, runningNow - countAfter(m_starts, time) + countAfter(m_ends, time));
}

} // namespace CassiaRelay::Gateway
