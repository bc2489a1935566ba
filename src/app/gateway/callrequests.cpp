#include "callrequests.h"

namespace CassiaRelay::GatewayDaemon {

namespace {

constexpr std::chrono::milliseconds CONNECT_TIMEOUT { 300 }; // latency is a few milliseconds; a lost SYN is resent only after 1 s

} // namespace

Net::HttpCallRequest toCallRequest(const Endpoint &endpoint, Gateway::PlatformRequest platformRequest)
{
    Net::HttpCallRequest request;
    request.address = endpoint.address;
    request.port = endpoint.port;
    request.method = std::move(platformRequest.method);
    request.path = std::move(platformRequest.path);
    request.fields = std::move(platformRequest.fields);
    request.body = std::move(platformRequest.body);
    request.connectTimeout = CONNECT_TIMEOUT;
    return request;
}

Net::HttpCallRequest peerRequest(const Endpoint &endpoint, const char *path, std::string body)
{
    Net::HttpCallRequest request = toCallRequest(endpoint, { "POST", path, {}, std::move(body) });
    request.contentType = "application/cbor";
    return request;
}

} // namespace CassiaRelay::GatewayDaemon
