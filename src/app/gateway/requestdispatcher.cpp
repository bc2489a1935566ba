#include "requestdispatcher.h"

#include "fieldlist.h"
#include "refusalresponse.h"
#include "relaysession.h"

namespace CassiaRelay::GatewayDaemon {

namespace {

constexpr unsigned STATUS_BAD_REQUEST = 400;
constexpr unsigned STATUS_UNAUTHORIZED = 401;
constexpr unsigned STATUS_NOT_FOUND = 404;
constexpr std::chrono::milliseconds RETRY_AFTER_START { 500 };         // a daemon loads its configuration within this time after its start
constexpr std::chrono::milliseconds DEFAULT_REQUEST_TIMEOUT { 30000 }; // for callers that send no deadline

Gateway::RefuseRequest notRunRefusal(Gateway::GiveUpCause cause, Duration retryAfter)
{
    return Gateway::refusalFor(cause, Gateway::RunState::NotRun, retryAfter, {});
}

std::string pathOf(const std::string &target)
{
    return target.substr(0, target.find_first_of("?#"));
}

Fingerprint fingerprintOf(const std::string &target, const Gateway::Organisation *organisation, const std::string &body)
{
    const std::uint64_t caller = stableHash(organisation ? organisation->id.value() : std::string());
    return Fingerprint(stableHash(body, stableHash(target, caller)));
}

} // namespace

RequestDispatcher::RequestDispatcher(GatewayServices &services)
    : m_services(services)
{
}

void RequestDispatcher::handle(const Net::HttpExchangePointer &exchange)
{
    const auto &message = exchange->request();
    std::vector<HttpField> fields = toFieldList(message);
    const Gateway::CallerRequestHead head = m_services.port.readCallerHead(fields);
    const Gateway::RouteTablePointer &table = m_services.catalogue.table();
    if (!table) {
        refuse(exchange, head, notRunRefusal(Gateway::GiveUpCause::NoConfiguration, RETRY_AFTER_START));
        return;
    }
    if (head.id.value().empty()) {
        refuse(exchange, head, { STATUS_BAD_REQUEST, std::nullopt, "the request has no id; send " + m_services.port.requestIdField() });
        return;
    }
    const std::string target(message.target());
    const Gateway::Route *route = table->route(head.host, pathOf(target));
    if (!route) {
        refuse(exchange, head, { STATUS_NOT_FOUND, std::nullopt, "no route of this host begins the path" });
        return;
    }
    const Gateway::Organisation *organisation = head.key ? table->organisation(*head.key) : nullptr;
    if (!organisation && !route->isPublic && table->requiresApiKey()) {
        refuse(
            exchange, head, { STATUS_UNAUTHORIZED, std::nullopt, "the key is unknown; send a key of your organisation as bearer token" });
        return;
    }
    const std::optional<Shutdown> &shutdown = m_services.shutdown;
    if (shutdown && !Gateway::canAcceptDuringShutdown(*route, std::chrono::steady_clock::now() - shutdown->startedAt, shutdown->duration)) {
        refuse(exchange, head, notRunRefusal(Gateway::GiveUpCause::ShuttingDown, Gateway::RETRY_ELSEWHERE));
        return;
    }
    Gateway::RelayRequest request;
    request.id = head.id;
    request.table = table;
    request.route = route;
    request.organisation = route->isPublic ? nullptr : organisation;
    request.service = Gateway::RouteTable::pickService(*route, stableHash(head.id.value()));
    request.arrivedAt = exchange->arrivedAt();
    request.deadline = request.arrivedAt + head.requestTimeout.value_or(DEFAULT_REQUEST_TIMEOUT);
    request.timeoutAt = route->timeout.count() > 0 ? request.arrivedAt + route->timeout : request.deadline;
    request.prompt = head.prompt;
    request.pieceCounts = head.pieceCounts;
    request.inputKey = head.inputKey;
    request.resumeAfter = head.resumeAfter;
    request.resumedStream = head.resumedStream;
    request.fingerprint = fingerprintOf(target, organisation, message.body());
    std::make_shared<RelaySession>(m_services, exchange, std::move(fields), std::move(request))->start();
}

void RequestDispatcher::refuse(const Net::HttpExchangePointer &exchange,
                               const Gateway::CallerRequestHead &head,
                               Gateway::RefuseRequest refusal)
{
    m_services.metrics.counter("cassiarelay_requests_refused_at_entry_total", { { "status", std::to_string(refusal.status) } }).add();
    m_services.log.write(
        "refused at entry",
        { { "request", head.id.value() },
          { "status", std::to_string(refusal.status) },
          { "host", head.host },
          { "configuration", m_services.catalogue.table() ? std::to_string(m_services.catalogue.table()->version()) : "none" },
          { "reason", refusal.reason } },
        std::chrono::steady_clock::now());
    exchange->respond(refusalResponse(refusal, head.id));
}

} // namespace CassiaRelay::GatewayDaemon
