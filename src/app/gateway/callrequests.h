#pragma once

#include <gateway/gateway.h>
#include <net/net.h>

namespace CassiaRelay::GatewayDaemon {

/** Creates the HTTP call for a request of the platform protocol, with the connect timeout for targets. */
Net::HttpCallRequest toCallRequest(const Endpoint &endpoint, Gateway::PlatformRequest platformRequest);

/** Creates a POST call with a CBOR body to another daemon. */
Net::HttpCallRequest peerRequest(const Endpoint &endpoint, const char *path, std::string body);

} // namespace CassiaRelay::GatewayDaemon
