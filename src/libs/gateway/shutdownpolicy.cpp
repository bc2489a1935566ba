#include "shutdownpolicy.h"

namespace CassiaRelay::Gateway {

namespace {

constexpr std::chrono::milliseconds TYPICAL_STREAM_TIME { 5000 }; // nearly all streams with their stages are shorter

} // namespace

bool canAcceptDuringShutdown(const Route &route, Duration elapsed, Duration total)
{
    const Duration needed = route.kind == RouteKind::Stream ? Duration(TYPICAL_STREAM_TIME) : Duration(route.timeout);
    return elapsed + needed <= total;
}

} // namespace CassiaRelay::Gateway
