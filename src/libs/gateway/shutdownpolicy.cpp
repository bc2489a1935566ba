#include "shutdownpolicy.h"

#include <algorithm>

namespace CassiaRelay::Gateway {

namespace {

constexpr std::chrono::milliseconds EARLY { 3000 }; // load balancers notice that the daemon is not ready within this time
constexpr std::chrono::milliseconds EXPECTED_MAX_STREAM_TIME { 5000 }; // nearly all streams, including their stages, are shorter

} // namespace

bool canAcceptDuringShutdown(RouteKind kind, Duration longest, Duration elapsed, Duration total)
{
    const bool isEarlyStream = kind == RouteKind::Stream && elapsed <= EARLY;
    return elapsed + (isEarlyStream ? std::min<Duration>(EXPECTED_MAX_STREAM_TIME, longest) : longest) <= total;
}

} // namespace CassiaRelay::Gateway
