#include "requestdriver.h"

#include "problemresponse.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

namespace CassiaRelay::Daemon {

using nlohmann::json;

namespace {

constexpr std::size_t MAX_QUEUED_STREAM_BYTES = 64 * 1024;

MonotonicTime now()
{
    return std::chrono::steady_clock::now();
}

std::string eventText(const json &data, const std::string &name = {})
{
    return (name.empty() ? "" : "event: " + name + "\n") + "data: " + data.dump() + "\n\n";
}

} // namespace

RequestDriver::RequestDriver(RequestServices &services, Net::HttpExchangePointer exchange, Pipeline::CallerRequest request)
    : m_keptServices(services.shared_from_this())
    , m_services(services)
    , m_exchange(std::move(exchange))
    , m_firstWork(services.router.reserveWorkIds())
    , m_machine(std::move(request), m_firstWork)
    , m_strand(boost::asio::make_strand(services.context))
    , m_timer(m_strand)
{
    ++m_services.activeRequests;
}

RequestDriver::~RequestDriver()
{
    m_services.router.removeOwner(m_firstWork);
    --m_services.activeRequests;
}

void RequestDriver::start()
{
    const Pipeline::CallerRequest &request = m_machine.request();
    m_startedAt = now();
    m_services.requestLog.begin({ request.id, request.organisation, request.pipeline.name, request.pipeline.priorityClass }, m_startedAt);
    m_services.router.addOwner(m_firstWork, shared_from_this());
    // The exchange keeps the request until its response is whole: queued work has no call that would.
    m_exchange->onClosed(
        [self = shared_from_this()] { self->post([](RequestDriver &driver) { return driver.m_machine.onCallerGone(now()); }); });
    m_exchange->onDrained([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            boost::asio::post(self->m_strand, [self] { self->pauseOrResume(); });
        }
    });
    post([](RequestDriver &driver) { return driver.m_machine.start(now()); });
}

void RequestDriver::onDecision(const Routing::Decision &decision)
{
    post([decision](RequestDriver &driver) {
        return std::visit(
            Overloaded {
                [&driver](const Routing::Assign &assign) { return driver.onAssigned(assign); },
                [&driver](const Routing::Reject &reject) { return driver.m_machine.onRejected(reject.work, reject.refusal, now()); },
                [](const auto & /*other*/) { return Pipeline::Actions {}; },
            },
            decision);
    });
}

// An isolated daemon cannot know whether the target has been taken out meanwhile.
Pipeline::Actions RequestDriver::onAssigned(const Routing::Assign &assign)
{
    if (!m_services.control.isIsolated()) {
        return m_machine.onAssigned(assign.work, assign.target, now());
    }
    m_services.router.finished(assign.work, Routing::AttemptOutcome::Cancelled, Duration {});
    return m_machine.onRejected(
        assign.work, { ErrorKind::Isolated, Outcome::NotRun, "this VM is cut off", std::chrono::seconds(1) }, now());
}

template<typename Event>
void RequestDriver::post(Event event)
{
    boost::asio::post(m_strand, [self = shared_from_this(), event = std::move(event)] { self->perform(event(*self)); });
}

void RequestDriver::perform(const Pipeline::Actions &actions)
{
    for (const Pipeline::Action &action : actions) {
        std::visit([this](const auto &body) { perform(body); }, action);
    }
}

void RequestDriver::perform(const Pipeline::SubmitWork &action)
{
    const Pipeline::CallerRequest &request = m_machine.request();
    m_submittedAt = now();
    m_stage = { request.organisation, action.item.priorityClass, action.stage };
    if (action.item.attempt > 0) {
        m_services.requestMetrics.retries.add();
    }
    m_services.requestLog.stage(request.id, action.stage, m_submittedAt);
    m_services.router.submit(action.item);
}

void RequestDriver::perform(const Pipeline::WithdrawWork &action)
{
    m_services.router.withdraw(action.work);
}

void RequestDriver::perform(const Pipeline::ReleaseWork &action)
{
    m_services.requestMetrics.stage(m_stage).service.record(action.serviceTime);
    m_services.requestLog.attemptEnd(m_machine.request().id, m_target, action.outcome, now());
    m_services.router.finished(action.work, action.outcome, action.serviceTime);
}

void RequestDriver::perform(const Pipeline::SendAttempt &action)
{
    m_target = action.target;
    m_services.requestMetrics.stage(m_stage).wait.record(now() - m_submittedAt);
    m_services.requestLog.attempt(m_machine.request().id, action.target, now());
    const auto view = m_services.control.view();
    const Routing::Target *target = view->targets->find(action.target);
    if (target == nullptr) {
        perform(m_machine.onFailed(action.attempt, { Routing::AttemptOutcome::Refused, "the target is no longer published" }, now()));
        return;
    }
    const Net::TargetCallRequest request { action, target->address, target->port, action.repeatable, action.sendBefore };
    const Pipeline::AttemptId attempt = action.attempt;
    Net::TargetCallHandlers handlers;
    handlers.onText = [self = shared_from_this(), attempt](std::uint64_t offset, const std::string &text) {
        self->post([attempt, offset, text](RequestDriver &driver) { return driver.m_machine.onText(attempt, offset, text, now()); });
    };
    handlers.onSucceeded = [self = shared_from_this(), attempt](json result) {
        self->post([attempt, result = std::move(result)](RequestDriver &driver) {
            driver.m_calls.erase(attempt);
            return driver.m_machine.onSucceeded(attempt, result, now());
        });
    };
    handlers.onFailed = [self = shared_from_this(), attempt](const Pipeline::AttemptFailure &failure) {
        self->post([attempt, failure](RequestDriver &driver) {
            driver.m_calls.erase(attempt);
            return driver.m_machine.onFailed(attempt, failure, now());
        });
    };
    m_calls[attempt] = RunningCall { request, m_services.targets.send(request, std::move(handlers)) };
}

void RequestDriver::perform(const Pipeline::CancelAttempt &action)
{
    const auto found = m_calls.find(action.attempt);
    if (found == m_calls.end()) {
        return;
    }
    found->second.call->cancel();
    m_services.targets.cancelAtTarget(found->second.request);
    m_calls.erase(found);
}

void RequestDriver::perform(const Pipeline::AcquireGrant &action)
{
    m_claim = m_services.control.claimGrant(
        action.key, action.fingerprint, action.deadline, [self = shared_from_this()](const Fleet::GrantDecision &decision) {
            self->post([decision](RequestDriver &driver) { return driver.m_machine.onGrant(decision, now()); });
        });
}

void RequestDriver::perform(const Pipeline::FinishGrant &action)
{
    if (m_claim) {
        m_services.control.finishGrant(*m_claim, action.end, action.result);
        m_claim.reset();
    }
}

void RequestDriver::perform(const Pipeline::DeliverText &action)
{
    if (!m_machine.request().stream) {
        return;
    }
    startStreamOnce();
    m_deliveredBytes += action.text.size();
    m_exchange->writeStream(eventText({ { "text", action.text } }));
    pauseOrResume();
}

void RequestDriver::perform(const Pipeline::Answer &action)
{
    m_timer.cancel();
    m_services.requestMetrics.answers.add();
    recordEnd(std::nullopt);
    const Pipeline::CallerRequest &request = m_machine.request();
    if (request.stream) {
        startStreamOnce();
        m_exchange->writeStream(eventText({ { "results", action.results } }));
        m_exchange->writeStream(eventText({ { "byteCount", m_deliveredBytes }, { "requestId", request.id.value() } }, "done"));
        m_exchange->finishStream();
        return;
    }
    Net::HttpResponse response;
    response.fields = { { "X-Request-Id", request.id.value() } };
    response.body =
        json {
            { "requestId", request.id.value() }, { "pipeline", request.pipeline.name.value() },
            { "results", action.results },       { "text", action.text },
            { "byteCount", action.text.size() },
        }
            .dump();
    m_exchange->respond(std::move(response));
}

void RequestDriver::perform(const Pipeline::Refuse &action)
{
    m_timer.cancel();
    m_services.requestMetrics.refusals(action.refusal.kind).add();
    recordEnd(action.refusal.kind);
    const std::string requestId = m_machine.request().id.value();
    if (!m_streamStarted) {
        m_exchange->respond(problemResponse(action.refusal, requestId));
        return;
    }
    // The header has gone: an error event tells why, and the cut body tells that the answer is not whole.
    m_exchange->writeStream(eventText(json::parse(problemText(action.refusal, requestId)), "error"));
    m_exchange->abortAfterQueued();
}

// The timer keeps the driver alive while its work waits for a target; the answer or refusal cancels it.
void RequestDriver::perform(const Pipeline::ArmTimer &action)
{
    m_timer.expires_at(action.at);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        self->perform(self->m_machine.onTimer(now()));
    });
}

void RequestDriver::recordEnd(std::optional<ErrorKind> refusal)
{
    const Pipeline::CallerRequest &request = m_machine.request();
    m_services.requestLog.end(request.id, refusal, now());
    m_services.requestMetrics.request(request.organisation, request.pipeline.priorityClass).record(now() - m_startedAt);
}

void RequestDriver::startStreamOnce()
{
    if (std::exchange(m_streamStarted, true)) {
        return;
    }
    Net::HttpResponse head;
    head.contentType = "text/event-stream";
    head.fields = { { "X-Request-Id", m_machine.request().id.value() }, { "Cache-Control", "no-store" } };
    m_exchange->startStream(std::move(head));
}

// A caller that reads slowly slows its target down, so that a stream holds bounded memory.
void RequestDriver::pauseOrResume()
{
    const bool full = m_exchange->queuedBytes() > MAX_QUEUED_STREAM_BYTES;
    for (const auto &[attempt, running] : m_calls) {
        if (full) {
            running.call->pause();
        } else {
            running.call->resume();
        }
    }
}

} // namespace CassiaRelay::Daemon
