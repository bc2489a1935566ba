#pragma once

#include <gateway/gateway.h>
#include <schema/schema.h>

namespace CassiaRelay::GatewayDaemon {

/** Times are sent as ages, because the clocks of two machines differ. */
Schema::TargetRateLimit toMessage(const Gateway::RateLimitReport &report, MonotonicTime now);
Gateway::RateLimitReport fromMessage(const Schema::TargetRateLimit &message, MonotonicTime now);

Schema::TargetPermits toMessage(const Gateway::RequestPermits &permits);
Gateway::RequestPermits fromMessage(const Schema::TargetPermits &message);

} // namespace CassiaRelay::GatewayDaemon
