#include "refusalresponse.h"

#include <iomanip>
#include <sstream>

namespace CassiaRelay::GatewayDaemon {

namespace {

std::string secondsText(Duration duration)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << std::chrono::duration<double>(duration).count();
    return text.str();
}

} // namespace

Net::HttpResponse refusalResponse(const Gateway::RefuseRequest &refusal, const RequestId &request)
{
    Net::HttpResponse response;
    response.status = refusal.status;
    response.contentType = "application/problem+json";
    const nlohmann::json problem { { "status", refusal.status }, { "detail", refusal.reason }, { "instance", request.value() } };
    response.body = problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (refusal.retryAfter) {
        response.fields.push_back({ "Retry-After", secondsText(*refusal.retryAfter) });
    }
    return response;
}

} // namespace CassiaRelay::GatewayDaemon
