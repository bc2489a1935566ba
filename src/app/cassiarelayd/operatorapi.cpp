#include "operatorapi.h"

#include "operatorviews.h"
#include "problemresponse.h"

namespace CassiaRelay::Daemon {

using nlohmann::json;

namespace {

constexpr std::string_view ADMIN_PATH = "/admin/v1/";
constexpr std::string_view REQUESTS_PATH = "requests/";
constexpr unsigned STATUS_NOT_FOUND = 404;
constexpr unsigned STATUS_SERVICE_UNAVAILABLE = 503;

Net::HttpResponse jsonResponse(const json &body)
{
    Net::HttpResponse response;
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
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
    if (path.compare(0, REQUESTS_PATH.size(), REQUESTS_PATH) == 0) {
        return recentRequest(RequestId(path.substr(REQUESTS_PATH.size())));
    }
    return jsonResponse(state(path));
}

json OperatorApi::state(const std::string &path) const
{
    const auto view = m_control.view();
    if (path == "status") {
        json status = m_control.status();
        status["activeRequests"] = m_services.activeRequests.load();
        status["draining"] = m_services.draining.load();
        return status;
    }
    if (path == "vms") {
        return vmsJson(*view, m_control.status().at("peers"));
    }
    if (path == "targets") {
        return targetsJson(*view);
    }
    if (path == "domains") {
        return domainsJson(*view);
    }
    if (path == "organisations") {
        return organisationsJson(*view);
    }
    if (path == "histograms") {
        return histogramsJson(m_services.metrics.histograms());
    }
    if (path == "configuration") {
        return configuration();
    }
    throw Error(ErrorKind::BadRequest,
                "no such path",
                "use status, vms, targets, domains, organisations, histograms, configuration or requests/ID below /admin/v1/");
}

json OperatorApi::configuration() const
{
    const Schema::Document *document = m_control.document(Schema::CONFIGURATION_KEY);
    if (document == nullptr) {
        throw Error(ErrorKind::Draining, "no fleet configuration is in force yet", "publish one, or wait until the platform answers");
    }
    return { { "revision", document->revision }, { "text", document->text } };
}

Net::HttpResponse OperatorApi::recentRequest(const RequestId &id) const
{
    const std::optional<RequestRecord> record = m_services.requestLog.find(id);
    if (record) {
        return jsonResponse(requestJson(*record));
    }
    Net::HttpResponse response = jsonResponse({
        { "detail", "no request '" + id.value() + "' here" },
        { "remedy", "ask the VM that the id begins with; a daemon keeps only its most recent requests" },
    });
    response.status = STATUS_NOT_FOUND;
    return response;
}

Net::HttpResponse OperatorApi::readiness() const
{
    const bool ready = m_control.isReady() && !m_services.draining;
    Net::HttpResponse response = jsonResponse({ { "ready", ready } });
    response.status = ready ? response.status : STATUS_SERVICE_UNAVAILABLE;
    return response;
}

} // namespace CassiaRelay::Daemon
