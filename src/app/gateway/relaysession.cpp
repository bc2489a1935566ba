#include "relaysession.h"

#include "callrequests.h"
#include "fieldlist.h"
#include "handovermessages.h"
#include "refusalresponse.h"

namespace CassiaRelay::GatewayDaemon {

namespace {

constexpr std::size_t MAX_QUEUED_BYTES = 256 * 1024; // if more is queued for a slow caller, the target's stream is paused
constexpr std::size_t MAX_TRACE_LINES = 32;
constexpr std::size_t MAX_TRACE_BYTES = 512; // of the inputs of one decision

Gateway::AttemptFailure toFailure(Net::CallFailure failure)
{
    switch (failure) {
    case Net::CallFailure::NotSent:
        return Gateway::AttemptFailure::NotSent;
    case Net::CallFailure::Withheld:
        return Gateway::AttemptFailure::Withheld;
    case Net::CallFailure::Refused:
        return Gateway::AttemptFailure::Refused;
    case Net::CallFailure::Unresponsive:
        return Gateway::AttemptFailure::Unresponsive;
    case Net::CallFailure::TimedOut:
        return Gateway::AttemptFailure::TimedOut;
    case Net::CallFailure::Malformed:
        return Gateway::AttemptFailure::InvalidResponse;
    case Net::CallFailure::ConnectionLost:
        break;
    }
    return Gateway::AttemptFailure::ConnectionLost;
}

std::string millisecondsSince(MonotonicTime start)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start).count());
}

Net::HttpResponse toResponse(const Gateway::ResponseHead &head)
{
    Net::HttpResponse response;
    response.status = head.status;
    response.contentType.clear();
    response.fields = head.fields;
    return response;
}

} // namespace

RelaySession::RelaySession(GatewayServices &services,
                           Net::HttpExchangePointer exchange,
                           std::vector<HttpField> callerFields,
                           Gateway::RelayRequest request)
    : m_services(services)
    , m_exchange(std::move(exchange))
    , m_callerFields(std::move(callerFields))
    , m_machine(std::move(request), services.relayContext)
    , m_timer(services.context)
{
    m_services.sessions.insert(this);
}

RelaySession::~RelaySession()
{
    m_services.sessions.erase(this);
}

void RelaySession::start()
{
    m_exchange->onClosed([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->perform(self->m_machine.onCallerGone(std::chrono::steady_clock::now()));
        }
    });
    m_exchange->onDrained([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_call && std::exchange(self->m_isPaused, false)) {
            self->m_call->resume();
        }
    });
    if (m_machine.request().handover) {
        m_services.metrics.counter("cassiarelay_requests_received_from_peers_total").add();
    }
    perform(m_machine.start(std::chrono::steady_clock::now()));
}

void RelaySession::shutDown()
{
    perform(m_machine.onShutdown(std::chrono::steady_clock::now()));
}

void RelaySession::perform(const Gateway::RelayActions &actions)
{
    const auto self = shared_from_this();
    try {
        for (const Gateway::RelayAction &action : actions) {
            std::visit([this](const auto &alternative) { perform(alternative); }, action);
        }
    } catch (const std::exception &error) {
        onInternalError(error.what());
    }
}

// The request may have run, so its caller gets no promise: the connection is closed.
void RelaySession::onInternalError(const std::string &reason)
{
    m_services.metrics.counter("cassiarelay_handler_failures_total").add();
    m_services.log.write(
        "handler failed", { { "request", m_machine.request().id.value() }, { "reason", reason } }, std::chrono::steady_clock::now());
    if (m_call) {
        m_call->cancel();
    }
    if (m_exchange) {
        m_exchange->abortAfterQueued();
    }
    finish("failed", 0, reason);
}

void RelaySession::perform(const Gateway::OrderPieces &action)
{
    const std::size_t stage = action.order.stage;
    // The completion is posted because the order may finish within submit(), before its id is known and it can be withdrawn.
    const auto onDone =
        [self = shared_from_this(), stage, withdrawals = m_withdrawals](const std::vector<Gateway::PieceCompletion> &completions) {
            boost::asio::post(self->m_services.context, [self, stage, withdrawals, completions] {
                if (withdrawals == self->m_withdrawals) {
                    self->onStageFinished(stage, completions);
                } else {
                    self->m_services.pieceBroker.free(Gateway::successfulResults(completions));
                }
            });
        };
    const Gateway::OrderId id = m_services.pieceBroker.submit(action.order, onDone);
    const std::optional<VmId> owner = m_services.pieceBroker.ownerOf(id);
    addTraceLine("stage ordered",
                 "stage=" + std::to_string(stage) + " pieces=" + std::to_string(action.order.pieces.size())
                     + " owner=" + (owner ? owner->value() : "self"));
    m_orders.push_back(id);
}

void RelaySession::onStageFinished(std::size_t stage, const std::vector<Gateway::PieceCompletion> &completions)
{
    addTraceLine("stage ended",
                 "stage=" + std::to_string(stage) + " results=" + std::to_string(Gateway::successfulResults(completions).size()));
    if (m_machine.isFinished()) {
        m_services.pieceBroker.free(Gateway::successfulResults(completions));
        return;
    }
    perform(m_machine.onStageFinished(stage, completions, std::chrono::steady_clock::now()));
}

void RelaySession::perform(const Gateway::WithdrawPieces &)
{
    ++m_withdrawals;
    for (const Gateway::OrderId &order : std::exchange(m_orders, {})) {
        m_services.pieceBroker.withdraw(order);
    }
}

void RelaySession::perform(const Gateway::FreeResults &action)
{
    m_services.pieceBroker.free(action.results);
}

void RelaySession::perform(const Gateway::RequestPermitsFor &action)
{
    addTraceLine("permits requested", "service=" + action.service.value());
    m_services.permitBroker.request(action.service, [self = shared_from_this()](const std::string &outcome) {
        self->addTraceLine("permits answered", outcome);
        self->perform(self->m_machine.onPermits(std::chrono::steady_clock::now()));
    });
}

void RelaySession::perform(const Gateway::RequestPlacement &action)
{
    m_services.placementBroker.request(action.order, [self = shared_from_this()](const std::optional<Gateway::PlacedTarget> &placed) {
        self->perform(self->m_machine.onPlacement(placed, std::chrono::steady_clock::now()));
    });
}

void RelaySession::perform(const Gateway::RecordStream &action)
{
    m_services.streamBroker.record(action.stream, action.origin);
}

void RelaySession::perform(const Gateway::FindOrigin &action)
{
    const Gateway::RelayRequest &request = m_machine.request();
    const ResumedStream resumed { action.stream, request.id, action.service, request.maxStreamAge() };
    m_services.streamBroker.find(resumed, [self = shared_from_this()](const Gateway::FoundOrigin &found) {
        self->perform(self->m_machine.onOrigin(found, std::chrono::steady_clock::now()));
    });
}

void RelaySession::perform(const Gateway::SendRequest &action)
{
    Net::HttpCallHandlers handlers = attemptHandlers(action.attempt);
    handlers.onHead = [self = shared_from_this(), attempt = action.attempt, target = action.target](const Net::HttpCallHead &head) {
        self->onResponseHead(attempt, target, head);
    };
    m_call = m_services.targetClient.send(targetRequest(action), std::move(handlers));
}

void RelaySession::perform(const Gateway::HandOverRequest &action)
{
    m_services.metrics.counter("cassiarelay_requests_handed_over_total").add();
    Net::HttpCallHandlers handlers = attemptHandlers(action.attempt);
    handlers.onHead = [self = shared_from_this(), attempt = action.attempt](const Net::HttpCallHead &head) {
        self->onReceiverHead(attempt, head);
    };
    m_call = m_services.peerClient.send(peerRequest(action), std::move(handlers));
}

Net::HttpCallHandlers RelaySession::attemptHandlers(Gateway::AttemptNumber attempt)
{
    const auto self = shared_from_this();
    Net::HttpCallHandlers handlers;
    handlers.onBody = [self, attempt](const std::string &part) {
        self->perform(self->m_machine.onBody(attempt, part, std::chrono::steady_clock::now()));
    };
    handlers.onFinished = [self, attempt] { self->perform(self->m_machine.onFinished(attempt, std::chrono::steady_clock::now())); };
    handlers.onFailed = [self, attempt](Net::CallFailure failure, const std::string &detail) {
        self->perform(self->m_machine.onFailed(attempt, toFailure(failure), detail, std::chrono::steady_clock::now()));
    };
    return handlers;
}

void RelaySession::perform(const Gateway::CancelAttempt &)
{
    if (m_call) {
        m_call->cancel();
        m_call.reset();
    }
}

void RelaySession::perform(const Gateway::ForwardResponse &action)
{
    Net::HttpResponse response = toResponse(action.head);
    response.body = action.body;
    m_exchange->respond(std::move(response));
    finish("answered", action.head.status, {});
}

void RelaySession::perform(const Gateway::ForwardHead &action)
{
    Net::HttpResponse response = toResponse(action.head);
    const std::optional<Gateway::Handover> &handover = m_machine.request().handover;
    const std::optional<Gateway::StreamOrigin> origin = m_machine.origin();
    if (handover && handover->takesOrigin && origin) {
        response.fields.push_back({ ORIGIN_FIELD, originText(*origin) });
    }
    m_exchange->startStream(std::move(response));
}

void RelaySession::perform(const Gateway::ForwardEvents &action)
{
    m_exchange->writeStream(action.events);
    if (m_exchange->queuedBytes() > MAX_QUEUED_BYTES && m_call && !std::exchange(m_isPaused, true)) {
        m_call->pause();
    }
}

void RelaySession::perform(const Gateway::EndStream &)
{
    m_exchange->finishStream();
    finish("streamed", 200, {});
}

void RelaySession::perform(const Gateway::AbortStream &)
{
    m_exchange->abortAfterQueued();
    finish("broken off", 200, "the stream could not be completed");
}

void RelaySession::perform(const Gateway::RefuseRequest &action)
{
    if (action.declined) {
        m_exchange->respond(declineResponse(*action.declined));
        finish("declined", action.status, action.reason);
        return;
    }
    m_exchange->respond(refusalResponse(action, m_machine.request().id));
    finish("refused", action.status, action.reason);
}

void RelaySession::perform(const Gateway::DropRequest &)
{
    finish("caller gone", 0, {});
}

void RelaySession::perform(const Gateway::ArmTimer &action)
{
    m_timer.expires_at(action.at);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->perform(self->m_machine.onTimer(std::chrono::steady_clock::now()));
        }
    });
}

void RelaySession::perform(const Gateway::LogDecision &action)
{
    addTraceLine(action.decision, action.inputs);
}

Net::HttpCallRequest RelaySession::targetRequest(const Gateway::SendRequest &action) const
{
    const Gateway::RelayRequest &relayed = m_machine.request();
    const auto &message = m_exchange->request();
    Gateway::TargetRequestHead head;
    head.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(action.deadline - std::chrono::steady_clock::now());
    head.expectedTarget = action.target.id;
    if (relayed.organisation) {
        head.organisation = relayed.organisation->id;
    }
    if (action.hasStages) {
        head.inputs = action.inputs;
    }
    if (relayed.route->kind == Gateway::RouteKind::Stream) {
        head.enginePriority = action.enginePriority;
    }
    head.resumeAfter = action.resumeAfter;
    Gateway::PlatformRequest platformRequest { std::string(message.method_string()),
                                               std::string(message.target()),
                                               m_services.port.targetFields(m_callerFields, head),
                                               message.body() };
    Net::HttpCallRequest request = toCallRequest(action.target.endpoint, std::move(platformRequest));
    request.contentType.clear();
    request.requestIdField = m_services.port.requestIdField();
    request.deadline = action.deadline;
    request.reuseConnection = !action.onNewConnection;
    request.maxIdleConnections = action.maxIdleConnections;
    request.expectsId = true;
    // The connection may take a while, and changes of the store may arrive meanwhile.
    request.mayLeave = [&services = m_services, target = action.target] {
        return services.relayContext.targets.mayReceive(target) && !services.knowledge.isTooOld(std::chrono::steady_clock::now());
    };
    return request;
}

Net::HttpCallRequest RelaySession::peerRequest(const Gateway::HandOverRequest &action) const
{
    const auto &message = m_exchange->request();
    Gateway::PlatformRequest forwarded { std::string(message.method_string()),
                                         std::string(message.target()),
                                         m_services.port.peerFields(m_callerFields, action.receiver.vm),
                                         message.body() };
    removeCellFields(forwarded.fields);
    forwarded.fields.push_back(
        { HANDOVER_FIELD, handoverText(action, m_machine.request(), m_services.vm, std::chrono::steady_clock::now()) });
    Net::HttpCallRequest request = toCallRequest(action.receiver.endpoint, std::move(forwarded));
    request.contentType.clear();
    request.requestIdField = m_services.port.requestIdField();
    request.deadline = action.deadline;
    request.reuseConnection = !action.onNewConnection;
    return request;
}

// What else the target says of itself in the response is applied by the daemon that sent the request to it.
void RelaySession::onReceiverHead(Gateway::AttemptNumber attempt, const Net::HttpCallHead &head)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    if (const std::optional<Gateway::DeclineReason> reason = declineReason(head)) {
        m_services.metrics.counter("cassiarelay_requests_declined_by_peers_total").add();
        perform(m_machine.onDeclined(attempt, *reason, now));
        return;
    }
    const auto leaving = head.fields.find(LEAVING_TARGET_FIELD);
    if (leaving != head.fields.end()) {
        applyLeaving(TargetId(std::string(leaving->value())));
    }
    Gateway::TargetResponse response = m_services.port.readTargetResponse(head.status, toFieldList(head.fields));
    response.head.hasOpenEnd = head.hasOpenEnd;
    try {
        response.head.origin = readOrigin(head);
    } catch (const std::exception &error) {
        m_services.log.write("invalid stream origin", { { "request", m_machine.request().id.value() }, { "reason", error.what() } }, now);
    }
    removeCellFields(response.head.fields);
    perform(m_machine.onHead(attempt, std::move(response.head), now));
}

// A target that is not listed yet gets nothing until it is, and tells it then.
void RelaySession::applyLeaving(const TargetId &target)
{
    Gateway::TargetRegistry &targets = m_services.relayContext.targets;
    const std::optional<Gateway::TargetRecord> record = targets.find(target);
    if (record) {
        targets.setLeaving(*record, std::chrono::steady_clock::now());
    }
}

void RelaySession::onResponseHead(Gateway::AttemptNumber attempt, const Gateway::TargetRecord &target, const Net::HttpCallHead &head)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    Gateway::TargetResponse response = m_services.port.readTargetResponse(head.status, toFieldList(head.fields));
    removeCellFields(response.head.fields);
    if (response.load) {
        m_services.relayContext.targets.setReportedLoad(target.id, *response.load, now);
    }
    if (response.coldFor) {
        m_services.relayContext.targets.setColdTime(target.id, *response.coldFor, now);
    }
    if (response.rateLimit) {
        m_services.permitBroker.onRateLimit(target, *response.rateLimit);
    }
    if (response.statement) {
        m_services.relayContext.targets.applyStatement(target, *response.statement, now);
    }
    if (response.statement && response.statement->isLeaving && m_machine.request().handover) {
        response.head.fields.push_back({ LEAVING_TARGET_FIELD, target.id.value() });
    }
    response.head.hasOpenEnd = head.hasOpenEnd;
    perform(m_machine.onHead(attempt, std::move(response.head), now));
}

void RelaySession::finish(std::string_view outcome, unsigned status, const std::string &reason)
{
    if (std::exchange(m_isDone, true)) {
        return;
    }
    const MonotonicTime now = std::chrono::steady_clock::now();
    const Gateway::RelayRequest &request = m_machine.request();
    m_timer.cancel();
    const bool isSuccess = (outcome == "answered" || outcome == "streamed") && status < 500;
    const Metrics::Labels labels { { "route", request.route->name.value() }, { "outcome", std::string(outcome) } };
    m_services.metrics.counter("cassiarelay_requests_total", labels).add();
    m_services.metrics.histogram("cassiarelay_request_seconds", { { "route", request.route->name.value() } })
        .record(now - request.arrivedAt);
    LogFields fields { { "request", request.id.value() },        { "outcome", std::string(outcome) },
                       { "status", std::to_string(status) },     { "ms", millisecondsSince(request.arrivedAt) },
                       { "route", request.route->name.value() }, { "configuration", std::to_string(request.table->version()) } };
    if (!reason.empty()) {
        fields.push_back({ "reason", reason });
    }
    m_trace.push_back(formatLine("ended", fields));
    if (isSuccess && !m_services.log.isDebug()) {
        m_services.log.writeTrace("ended", { m_trace.back() }, now);
    } else {
        m_services.log.writeTrace(isSuccess ? "ended" : "failed", m_trace, now);
    }
    m_exchange.reset();
    m_call.reset();
}

void RelaySession::addTraceLine(std::string_view decision, const std::string &inputs)
{
    if (m_trace.size() >= MAX_TRACE_LINES) {
        return;
    }
    const Gateway::RelayRequest &request = m_machine.request();
    m_trace.push_back(formatLine(decision, { { "request", request.id.value() }, { "at_ms", millisecondsSince(request.arrivedAt) } }) + " "
                      + inputs.substr(0, MAX_TRACE_BYTES));
}

} // namespace CassiaRelay::GatewayDaemon
