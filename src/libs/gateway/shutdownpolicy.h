#pragma once

#include "configuration.h"

namespace CassiaRelay::Gateway {

/**
 * Returns whether a daemon that is shutting down still accepts a request.
 *
 * Callers may still reach such a daemon when most daemons of their failure domain shut down at once. A request that may not be finished
 * before the process exits is refused while it has not run. Only in the first seconds, when callers have no other daemon yet, streams are
 * accepted if they will probably end in time.
 *
 * @param longest time that the request may take
 * @param elapsed time since the shutdown began
 * @param total time from the beginning of the shutdown until unfinished requests are ended
 */
bool canAcceptDuringShutdown(RouteKind kind, Duration longest, Duration elapsed, Duration total);

} // namespace CassiaRelay::Gateway
