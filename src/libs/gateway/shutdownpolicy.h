#pragma once

#include "configuration.h"

namespace CassiaRelay::Gateway {

/**
 * Returns whether a daemon that is shutting down still accepts a request.
 *
 * Callers may still reach such a daemon when most daemons of their failure domain shut down at once. A request that can't be finished
 * before the process exits is refused while it has not run.
 *
 * @param elapsed time since the shutdown began
 * @param total time from the beginning of the shutdown until the process exits
 */
bool canAcceptDuringShutdown(const Route &route, Duration elapsed, Duration total);

} // namespace CassiaRelay::Gateway
