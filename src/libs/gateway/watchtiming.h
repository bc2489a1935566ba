#pragma once

#include <common/common.h>

namespace CassiaRelay::Gateway {

/** How a daemon follows the store. */
struct WatchTiming {
    std::chrono::milliseconds wait;     ///< for which a call waits for changes
    std::chrono::milliseconds interval; ///< shortest time between the starts of two calls
};

/**
 * Returns the longest times with which a change is known in time, also when the connection has gone silent.
 * @param changeTime in which a change must be in force
 * @param recoveryTime from the end of the wait on a silent connection to the next call
 */
WatchTiming watchTiming(Duration changeTime, Duration recoveryTime);

} // namespace CassiaRelay::Gateway
