#pragma once

#include <gateway/gateway.h>
#include <schema/schema.h>

namespace CassiaRelay::GatewayDaemon {

Schema::PlacementOrder toMessage(const Gateway::PlacementOrder &order, const VmId &sender, MonotonicTime now);
/** Returns an order without prompt tokens, which only carries the reports that are added to it. */
Schema::PlacementOrder reportMessage(const Gateway::ServiceName &service, const VmId &sender);
Gateway::PlacementOrder fromMessage(const Schema::PlacementOrder &message, MonotonicTime now);
void addReports(Schema::PlacementOrder &message, const std::vector<Gateway::PlacementReport> &reports);
std::vector<Gateway::PlacementReport> reportsOf(const Schema::PlacementOrder &message);

} // namespace CassiaRelay::GatewayDaemon
