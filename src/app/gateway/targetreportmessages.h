#pragma once

#include <gateway/gateway.h>
#include <schema/schema.h>

#include <vector>

namespace CassiaRelay::GatewayDaemon {

/** Times are sent as ages, because the clocks of two machines differ. */
Schema::TargetReports toMessage(const std::vector<Gateway::TargetReport> &reports, MonotonicTime now);
/** Returns no reports if the message does not hold the right number of figures, and never more than fit into a greeting. */
std::vector<Gateway::TargetReport> fromMessage(const Schema::TargetReports &message, MonotonicTime now);

} // namespace CassiaRelay::GatewayDaemon
