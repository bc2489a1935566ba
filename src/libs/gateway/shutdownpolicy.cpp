#include "shutdownpolicy.h"

namespace CassiaRelay::Gateway {

namespace {

constexpr std::chrono::milliseconds EXPECTED_MAX_STREAM_TIME { 5000 }; // nearly all streams, including their stages, are shorter

} // namespace

bool canAcceptDuringShutdown(const Route &route, Duration elapsed, Duration total)
{
    const Duration needed = route.kind == RouteKind::Stream ? Duration(EXPECTED_MAX_STREAM_TIME) : Duration(route.timeout);
    return elapsed + needed <= total;
}

} // namespace CassiaRelay::Gateway
