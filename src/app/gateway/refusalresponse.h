#pragma once

#include <gateway/gateway.h>
#include <net/net.h>

namespace CassiaRelay::GatewayDaemon {

/** The daemon's own answer to a request that it does not serve. */
Net::HttpResponse refusalResponse(const Gateway::RefuseRequest &refusal, const RequestId &request);

} // namespace CassiaRelay::GatewayDaemon
