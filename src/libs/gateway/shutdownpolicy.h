#pragma once

#include "configuration.h"

namespace CassiaRelay::Gateway {

/**
 * Whether a daemon that is shutting down still takes a request.
 *
 * Answers callers that reach a leaving daemon late, because most daemons of their failure domain leave at once: what can't be finished
 * before the process ends is turned away while it has not run.
 *
 * @param elapsed since the shutdown began
 * @param total until the process ends
 */
bool canAcceptDuringShutdown(const Route &route, Duration elapsed, Duration total);

} // namespace CassiaRelay::Gateway
