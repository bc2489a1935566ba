#include "callerapi.h"

#include "problemresponse.h"

#include <charconv>

namespace CassiaRelay::Daemon {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view PIPELINES_PATH = "/v1/pipelines/";
constexpr std::string_view BEARER = "Bearer ";
constexpr std::string_view EVENT_STREAM = "text/event-stream";
constexpr milliseconds LONGEST_TIMEOUT { 600000 };

std::string_view toView(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

std::string_view field(const Net::HttpRequest &request, const char *name)
{
    const auto found = request.find(name);
    return found == request.end() ? std::string_view() : toView(found->value());
}

PipelineName pipelineName(const Net::HttpRequest &request)
{
    const std::string_view path = toView(request.target());
    if (path.substr(0, PIPELINES_PATH.size()) != PIPELINES_PATH) {
        throw Error(ErrorKind::UnknownPipeline, "no such path", "send POST /v1/pipelines/NAME");
    }
    if (request.method() != http::verb::post) {
        throw Error(ErrorKind::BadRequest, "pipelines are called with POST", "send POST /v1/pipelines/NAME");
    }
    return PipelineName(std::string(path.substr(PIPELINES_PATH.size())));
}

const Settings::OrganisationSettings &organisation(const Net::HttpRequest &request, const Settings::FleetSettings &settings)
{
    const std::string_view authorization = field(request, "Authorization");
    if (authorization.substr(0, BEARER.size()) != BEARER) {
        throw Error(ErrorKind::Unauthorized, "no bearer token");
    }
    const Settings::OrganisationSettings *found = settings.organisationByToken(authorization.substr(BEARER.size()));
    if (found == nullptr) {
        throw Error(ErrorKind::Unauthorized, "no organisation has this token");
    }
    return *found;
}

milliseconds timeout(const Net::HttpRequest &request, milliseconds pipelineDeadline)
{
    const std::string_view text = field(request, "Request-Timeout-Ms");
    if (text.empty()) {
        return pipelineDeadline;
    }
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 1 || value > LONGEST_TIMEOUT.count()) {
        throw Error(ErrorKind::BadRequest, "Request-Timeout-Ms is not a number from 1 to " + std::to_string(LONGEST_TIMEOUT.count()));
    }
    return milliseconds(value);
}

nlohmann::json parseBody(const Net::HttpRequest &request)
{
    std::optional<nlohmann::json> body = Net::parseJson(request.body());
    if (!body || !body->is_object()) {
        throw Error(ErrorKind::BadRequest, "the body is not a JSON object, or is nested too deeply");
    }
    return *std::move(body);
}

// A daemon that turns a request away before it asks its cell cannot know whether a copy with the same key has run elsewhere.
Outcome outcomeOf(ErrorKind kind, const Net::HttpRequest &request)
{
    const bool isKeyed = !field(request, "Idempotency-Key").empty();
    const bool mayHaveRun = kind == ErrorKind::Isolated || kind == ErrorKind::Draining;
    return isKeyed && mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
}

} // namespace

CallerApi::CallerApi(RequestServices &services, std::string requestIdPrefix)
    : m_services(services)
    , m_requestIdPrefix(std::move(requestIdPrefix))
{
}

void CallerApi::handle(const Net::HttpExchangePointer &exchange)
{
    const RequestId id = nextRequestId();
    m_services.requestMetrics.requests.add();
    try {
        const auto view = m_services.control.view();
        if (m_services.control.isIsolated()) {
            throw Error(ErrorKind::Isolated, "this VM is cut off");
        }
        if (m_services.draining || !m_services.control.isReady()) {
            throw Error(ErrorKind::Draining, m_services.draining ? "this VM is shutting down" : "this VM is starting");
        }
        std::make_shared<RequestDriver>(m_services, exchange, parse(exchange->request(), *view, id))->start();
    } catch (const Error &error) {
        m_services.requestMetrics.refusals(error.kind()).add();
        const Refusal refusal { error.kind(), outcomeOf(error.kind(), exchange->request()), error.what(), std::nullopt };
        exchange->respond(problemResponse(refusal, id.value()));
    }
}

Pipeline::CallerRequest CallerApi::parse(const Net::HttpRequest &request, const FleetView &view, const RequestId &id) const
{
    const PipelineName name = pipelineName(request);
    Pipeline::CallerRequest parsed;
    parsed.id = id;
    parsed.organisation = organisation(request, *view.settings).name;
    const Settings::PipelineSettings *pipeline = view.settings->pipeline(name);
    if (pipeline == nullptr) {
        throw Error(ErrorKind::UnknownPipeline, "there is no pipeline '" + name.value() + "'");
    }
    parsed.pipeline = *pipeline;
    parsed.body = parseBody(request);
    parsed.fingerprint = Fingerprint(stableHash(request.body(), stableHash(parsed.organisation.value())));
    const std::string_view key = field(request, "Idempotency-Key");
    if (!key.empty()) {
        parsed.idempotencyKey = std::string(key);
    }
    if (pipeline->needsIdempotencyKey() && !parsed.idempotencyKey) {
        throw Error(ErrorKind::IdempotencyKeyMissing, "pipeline '" + name.value() + "' has a stage that runs at most once");
    }
    parsed.stream = field(request, "Accept").find(EVENT_STREAM) != std::string_view::npos;
    parsed.deadline = std::chrono::steady_clock::now() + timeout(request, pipeline->deadline);
    return parsed;
}

RequestId CallerApi::nextRequestId()
{
    return RequestId(m_requestIdPrefix + std::to_string(m_nextRequest.fetch_add(1, std::memory_order_relaxed)));
}

} // namespace CassiaRelay::Daemon
