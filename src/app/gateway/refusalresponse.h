#pragma once

#include <gateway/gateway.h>
#include <net/net.h>

namespace CassiaRelay::GatewayDaemon {

/** Creates the daemon's response to a request that it refuses. */
Net::HttpResponse refusalResponse(const Gateway::RefuseRequest &refusal, const RequestId &request);

} // namespace CassiaRelay::GatewayDaemon
