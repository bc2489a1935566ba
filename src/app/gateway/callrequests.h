#pragma once

#include <gateway/gateway.h>
#include <net/net.h>

namespace CassiaRelay::GatewayDaemon {

/** A call in the form of the platform, with the connect time-out of targets. */
Net::HttpCallRequest toCallRequest(const Endpoint &endpoint, Gateway::PlatformRequest call);

/** A call to another daemon; the body is CBOR. */
Net::HttpCallRequest peerRequest(const Endpoint &endpoint, const char *path, std::string body);

} // namespace CassiaRelay::GatewayDaemon
