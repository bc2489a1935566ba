#include "operatorapi.h"

#include "problemresponse.h"

namespace CassiaRelay::Daemon {

using nlohmann::json;

namespace {

constexpr std::string_view ADMIN_PATH = "/admin/v1/";
constexpr unsigned STATUS_SERVICE_UNAVAILABLE = 503;

Net::HttpResponse jsonResponse(const json &body)
{
    Net::HttpResponse response;
    response.body = body.dump();
    return response;
}

} // namespace

OperatorApi::OperatorApi(RequestServices &services, ControlPlane &control, std::string token)
    : m_services(services)
    , m_control(control)
    , m_token(std::move(token))
{
}

void OperatorApi::handle(const Net::HttpExchangePointer &exchange)
{
    try {
        exchange->respond(answer(exchange->request()));
    } catch (const Error &error) {
        exchange->respond(problemResponse({ error.kind(), Outcome::NotRun, error.what(), std::nullopt }, {}));
    }
}

Net::HttpResponse OperatorApi::answer(const Net::HttpRequest &request) const
{
    const std::string path(request.target());
    if (path == "/healthz") {
        return jsonResponse({ { "status", "ok" } });
    }
    if (path == "/readyz") {
        return readiness();
    }
    if (path == "/metrics") {
        Net::HttpResponse response;
        response.contentType = "text/plain; version=0.0.4";
        response.body = m_services.metrics.text();
        return response;
    }
    if (path.compare(0, ADMIN_PATH.size(), ADMIN_PATH) == 0) {
        return admin(request, path.substr(ADMIN_PATH.size()));
    }
    throw Error(ErrorKind::BadRequest, "no such path", "use /healthz, /readyz, /metrics or /admin/v1/...");
}

Net::HttpResponse OperatorApi::admin(const Net::HttpRequest &request, const std::string &path) const
{
    const auto authorization = request.find(boost::beast::http::field::authorization);
    const std::string presented = authorization == request.end() ? std::string() : std::string(authorization->value());
    if (!constantTimeEquals(presented, "Bearer " + m_token)) {
        throw Error(ErrorKind::Unauthorized, "wrong operator token", "use the token from operators/token in the daemon's settings");
    }
    if (path == "status") {
        json status = m_control.status();
        status["activeRequests"] = m_services.activeRequests.load();
        status["draining"] = m_services.draining.load();
        return jsonResponse(status);
    }
    if (path == "targets") {
        return jsonResponse(targets());
    }
    throw Error(ErrorKind::BadRequest, "no such path", "use /admin/v1/status or /admin/v1/targets");
}

Net::HttpResponse OperatorApi::readiness() const
{
    const bool ready = m_control.isReady() && !m_services.draining;
    Net::HttpResponse response = jsonResponse({ { "ready", ready } });
    response.status = ready ? response.status : STATUS_SERVICE_UNAVAILABLE;
    return response;
}

json OperatorApi::targets() const
{
    json list = json::array();
    for (const auto &[id, target] : m_control.view()->targets->targets()) {
        list.push_back({
            { "target", id.value() },
            { "pool", target.pool.value() },
            { "failureDomain", target.failureDomain.value() },
            { "acceptsWork", target.acceptsWork() },
        });
    }
    return list;
}

} // namespace CassiaRelay::Daemon
