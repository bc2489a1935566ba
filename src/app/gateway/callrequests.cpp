#include "callrequests.h"

namespace CassiaRelay::GatewayDaemon {

namespace {

constexpr std::chrono::milliseconds CONNECT_TIMEOUT { 300 }; // targets are milliseconds away; a lost opening packet takes a second

} // namespace

Net::HttpCallRequest toCallRequest(const Endpoint &endpoint, Gateway::PlatformRequest call)
{
    Net::HttpCallRequest request;
    request.address = endpoint.address;
    request.port = endpoint.port;
    request.method = std::move(call.method);
    request.path = std::move(call.path);
    request.fields = std::move(call.fields);
    request.body = std::move(call.body);
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
