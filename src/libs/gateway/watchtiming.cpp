#include "watchtiming.h"

#include <algorithm>

namespace CassiaRelay::Gateway {

namespace {

constexpr std::chrono::milliseconds APPLY_TIME { 100 };  // of the call that brings the change, and for applying it
constexpr std::chrono::milliseconds MIN_WAIT { 250 };    // a shorter wait would make most calls return nothing
constexpr std::chrono::milliseconds MAX_WAIT { 30'000 }; // that the store allows
constexpr int WAIT_PERCENT = 50;                         // of the change time; the rest is for a second call that fails
constexpr int INTERVAL_PERCENT = 40;                     // of the change time; a store that changes all the time is asked so often

} // namespace

WatchTiming watchTiming(Duration changeTime, Duration recoveryTime)
{
    const Duration longest = std::min(changeTime * WAIT_PERCENT / 100, changeTime - recoveryTime - APPLY_TIME);
    WatchTiming timing {};
    timing.wait = std::chrono::duration_cast<std::chrono::milliseconds>(std::clamp<Duration>(longest, MIN_WAIT, MAX_WAIT));
    timing.interval = std::min(timing.wait, std::chrono::duration_cast<std::chrono::milliseconds>(changeTime * INTERVAL_PERCENT / 100));
    return timing;
}

} // namespace CassiaRelay::Gateway
