#include "requestdispatcher.h"

#include "fieldlist.h"
#include "handovermessages.h"
#include "refusalresponse.h"
#include "relaysession.h"

namespace CassiaRelay::GatewayDaemon {

namespace {

constexpr unsigned STATUS_BAD_REQUEST = 400;
constexpr unsigned STATUS_UNAUTHORIZED = 401;
constexpr unsigned STATUS_NOT_FOUND = 404;
constexpr std::chrono::milliseconds DEFAULT_REQUEST_TIMEOUT { 30000 }; // for callers that send no deadline

Gateway::RefuseRequest notRunRefusal(Gateway::GiveUpCause cause, Duration retryAfter)
{
    return Gateway::refusalFor(cause, Gateway::RunState::NotRun, retryAfter, {});
}

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
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
    handle(exchange, toFieldList(exchange->request()), std::nullopt);
}

bool RequestDispatcher::isHandedOver(const Net::HttpRequest &request)
{
    return request.find(HANDOVER_FIELD) != request.end();
}

void RequestDispatcher::handleHandedOver(const Net::HttpExchangePointer &exchange)
{
    std::vector<HttpField> fields = toFieldList(exchange->request());
    Schema::HandedOverRequest from;
    try {
        from = parseHandover(std::string(exchange->request()[HANDOVER_FIELD]));
    } catch (const std::exception &error) {
        decline(exchange, {}, {}, error.what());
        return;
    }
    removeCellFields(fields);
    handle(exchange, std::move(fields), from);
}

void RequestDispatcher::handle(const Net::HttpExchangePointer &exchange,
                               std::vector<HttpField> fields,
                               const std::optional<Schema::HandedOverRequest> &from)
{
    const auto &message = exchange->request();
    const Gateway::CallerRequestHead head = m_services.port.readCallerHead(fields);
    const Gateway::RouteTablePointer &table = m_services.catalogue.table();
    if (from && (!table || table->version() < from->configuration)) {
        decline(exchange, head.id, VmId(from->vm), "the configuration here is older");
        return;
    }
    if (!table) {
        refuse(exchange,
               head,
               notRunRefusal(Gateway::GiveUpCause::NoConfiguration,
                             Gateway::retryWithoutConfiguration(m_services.catalogue.isStoreAvailable(), head.id)));
        return;
    }
    if (m_services.knowledge.isTooOld(std::chrono::steady_clock::now())) {
        if (from) {
            decline(exchange, head.id, VmId(from->vm), "what is known here of the store is too old");
        } else {
            refuse(exchange, head, notRunRefusal(Gateway::GiveUpCause::OutOfDate, Gateway::RETRY_ELSEWHERE));
        }
        return;
    }
    if (!head.invalidField.empty()) {
        refuse(exchange,
               head,
               { STATUS_BAD_REQUEST,
                 std::nullopt,
                 head.invalidField + " is too long or not printable ASCII; send up to 256 such characters" });
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
    Gateway::RelayRequest request;
    request.id = head.id;
    request.table = table;
    request.route = route;
    request.organisation = route->isPublic ? nullptr : organisation;
    request.service = Gateway::RouteTable::pickService(*route, stableHash(head.id.value()));
    request.arrivedAt = exchange->arrivedAt();
    request.deadline = request.arrivedAt + head.requestTimeout.value_or(DEFAULT_REQUEST_TIMEOUT);
    if (from) {
        request.handover = toHandover(*from);
        request.arrivedAt = exchange->arrivedAt() - std::chrono::milliseconds(from->ageMs);
        request.deadline = exchange->arrivedAt() + std::chrono::milliseconds(from->leftMs);
        const std::optional<Gateway::StreamOrigin> &origin = request.handover->origin;
        if (origin && !route->sendsTo(origin->service)) {
            decline(exchange, head.id, VmId(from->vm), "the route no longer leads to the service of the stream");
            return;
        }
    }
    request.timeoutAt = route->timeout.count() > 0 ? request.arrivedAt + route->timeout : request.deadline;
    const std::optional<Shutdown> &shutdown = m_services.shutdown;
    const MonotonicTime now = std::chrono::steady_clock::now();
    if (shutdown && !Gateway::canAcceptDuringShutdown(route->kind, request.endsAt() - now, now - shutdown->startedAt, shutdown->duration)) {
        if (from) {
            decline(exchange, head.id, VmId(from->vm), "this daemon is shutting down");
        } else {
            refuse(exchange, head, notRunRefusal(Gateway::GiveUpCause::ShuttingDown, Gateway::RETRY_ELSEWHERE));
        }
        return;
    }
    request.prompt = head.prompt;
    request.pieceCounts = head.pieceCounts;
    request.inputKey = head.inputKey;
    request.resumeAfter = from && from->resumeAfter ? from->resumeAfter : head.resumeAfter;
    request.resumedStream = head.resumedStream;
    if (from && from->resumeAfter && !head.resumedStream) {
        // The stream began under the id of this request, at the daemon that hands it over.
        request.resumedStream = head.id;
    }
    request.fingerprint = fingerprintOf(target, organisation, message.body());
    std::make_shared<RelaySession>(m_services, exchange, std::move(fields), std::move(request))->start();
}

void RequestDispatcher::decline(const Net::HttpExchangePointer &exchange,
                                const RequestId &request,
                                const VmId &sender,
                                const std::string &reason)
{
    m_services.log.write(
        "declined", { { "request", request.value() }, { "vm", sender.value() }, { "reason", reason } }, std::chrono::steady_clock::now());
    exchange->respond(declineResponse(Gateway::DeclineReason::Unavailable));
}

void RequestDispatcher::refuse(const Net::HttpExchangePointer &exchange,
                               const Gateway::CallerRequestHead &head,
                               Gateway::RefuseRequest refusal)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    m_services.metrics.counter("cassiarelay_requests_refused_at_entry_total", { { "status", std::to_string(refusal.status) } }).add();
    m_services.log.write(
        "refused at entry",
        { { "request", head.id.value() },
          { "status", std::to_string(refusal.status) },
          { "host", head.host },
          { "configuration", m_services.catalogue.table() ? std::to_string(m_services.catalogue.table()->version()) : "none" },
          { "store_age_ms", std::to_string(toMilliseconds(m_services.knowledge.age(now).value_or(Duration::zero()))) },
          { "reason", refusal.reason } },
        now);
    exchange->respond(refusalResponse(refusal, head.id));
}

} // namespace CassiaRelay::GatewayDaemon
