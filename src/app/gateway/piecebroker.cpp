#include "piecebroker.h"

#include "callrequests.h"
#include "fieldlist.h"
#include "piecemessages.h"

#include <algorithm>

namespace CassiaRelay::GatewayDaemon {

namespace {

constexpr unsigned STATUS_OK = 200;
constexpr unsigned STATUS_BAD_REQUEST = 400;
constexpr unsigned STATUS_MISDIRECTED = 421;
constexpr unsigned STATUS_UNAVAILABLE = 503;
constexpr std::chrono::milliseconds DISPATCH_INTERVAL { 25 }; // about a tenth of the duration of a stage call
constexpr std::chrono::milliseconds FREE_BATCH_DELAY { 10 };  // batches several requests; 30 ms kept result memory occupied for too long
constexpr std::chrono::milliseconds FREE_TIMEOUT { 1000 };
constexpr std::size_t MAX_CALL_RESPONSE_BYTES = 1024 * 1024; // a handle of some 50 bytes for each of at most some hundred pieces
constexpr std::size_t MAX_DEFERRED_FREES = 1000;             // by target; its other results lapse
// Bounds the work for reports at an owner that answers hundreds of orders per second; less than a tenth of a stage call.
constexpr std::chrono::milliseconds LOAD_REPORT_INTERVAL { 20 };
constexpr int MAX_RANK_LABEL = 7;                                  // of metrics; higher ranks share it
constexpr std::chrono::milliseconds OWNER_RESPONSE_MARGIN { 100 }; // time after the hard deadline for the owner's response to arrive

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string_view toString(Gateway::AttemptResult result)
{
    switch (result) {
    case Gateway::AttemptResult::Succeeded:
        return "succeeded";
    case Gateway::AttemptResult::Refused:
        return "refused";
    case Gateway::AttemptResult::Errored:
        return "errored";
    case Gateway::AttemptResult::Unreachable:
        return "unreachable";
    case Gateway::AttemptResult::Broken:
        return "broken";
    case Gateway::AttemptResult::Silent:
        return "silent";
    case Gateway::AttemptResult::Cancelled:
        return "cancelled";
    }
    return "";
}

Gateway::AttemptResult toResult(Net::CallFailure failure)
{
    switch (failure) {
    case Net::CallFailure::NotSent:
    case Net::CallFailure::Refused:
        return Gateway::AttemptResult::Unreachable;
    case Net::CallFailure::Withheld:
        return Gateway::AttemptResult::Refused;
    case Net::CallFailure::TimedOut:
        return Gateway::AttemptResult::Silent;
    case Net::CallFailure::ConnectionLost:
    case Net::CallFailure::Unresponsive:
    case Net::CallFailure::Malformed:
        break;
    }
    return Gateway::AttemptResult::Broken;
}

} // namespace

PieceBroker::PieceBroker(boost::asio::io_context &context,
                         Net::HttpClient &targetClient,
                         Net::HttpClient &peerClient,
                         const Gateway::PlatformPort &port,
                         Gateway::TargetRegistry &targets,
                         Gateway::Members &members,
                         Gateway::ReachabilityTracker &reachability,
                         PermitBroker &permitBroker,
                         const Gateway::SchedulingOptions &options,
                         Metrics::Registry &metrics,
                         EventLog &log)
    : m_targetClient(targetClient)
    , m_peerClient(peerClient)
    , m_port(port)
    , m_targets(targets)
    , m_members(members)
    , m_reachability(reachability)
    , m_permitBroker(permitBroker)
    , m_options(options)
    , m_metrics(metrics)
    , m_log(log)
    , m_callSeed(stableHash(members.self().value(), newIncarnation().value()))
    , m_callCounter(metrics.counter("cassiarelay_stage_calls_total"))
    , m_pieceCounter(metrics.counter("cassiarelay_stage_pieces_total"))
    , m_earlyFreeCounter(metrics.counter("cassiarelay_stage_inputs_freed_early_total"))
    , m_failedCallCounter(metrics.counter("cassiarelay_stage_calls_failed_total"))
    , m_forwardedOrderCounter(metrics.counter("cassiarelay_piece_orders_sent_to_owner_total"))
    , m_callTime(metrics.histogram("cassiarelay_stage_call_seconds"))
    , m_ownerResponseTime(metrics.histogram("cassiarelay_piece_order_seconds"))
    , m_spilloverReport(metrics, log)
    , m_loadReportAge(metrics.histogram("cassiarelay_service_load_age_seconds"))
    , m_dispatchTimer(context)
    , m_freeTimer(context)
{
}

Gateway::OrderId PieceBroker::submit(const Gateway::PieceOrder &pieceOrder, DoneHandler onDone)
{
    if (m_serviceLoads) {
        ownLoads();
        if (const auto age = m_serviceLoads->age(pieceOrder.service, std::chrono::steady_clock::now())) {
            m_loadReportAge.record(*age);
        }
    }
    const Gateway::OrderId id = add(pieceOrder, std::move(onDone));
    place(id);
    return id;
}

Gateway::OrderId PieceBroker::add(const Gateway::PieceOrder &pieceOrder, DoneHandler onDone)
{
    const Gateway::OrderId id(m_nextOrderId++);
    PendingOrder order;
    order.pieceOrder = pieceOrder;
    order.onDone = std::move(onDone);
    order.openPieces = pieceOrder.pieces.size();
    m_orders.emplace(id, std::move(order));
    return id;
}

void PieceBroker::withdraw(Gateway::OrderId id)
{
    const auto found = m_orders.find(id);
    if (found == m_orders.end()) {
        return;
    }
    PendingOrder order = std::move(found->second);
    m_orders.erase(found);
    if (order.owner) {
        if (order.call) {
            order.call->cancel();
        }
        return;
    }
    schedulerFor(order.pieceOrder.service).withdraw(id);
    freeOwn(Gateway::successfulResults(order.completions));
}

std::optional<VmId> PieceBroker::ownerOf(Gateway::OrderId id) const
{
    const auto order = m_orders.find(id);
    return order == m_orders.end() ? std::nullopt : order->second.owner;
}

void PieceBroker::free(const std::vector<Gateway::StageResult> &results)
{
    // A target that is no longer listed has lost its results anyway.
    for (const Gateway::StageResult &result : results) {
        const std::optional<Gateway::TargetRecord> record = m_targets.find(result.target);
        if (record) {
            m_freedResults[record->service].push_back(result);
        }
    }
    if (!m_freedResults.empty()) {
        scheduleFree();
    }
}

// Responds when the order is finished. If the other daemon closes the connection earlier, the order is withdrawn.
void PieceBroker::handleOrder(const Net::HttpExchangePointer &exchange)
{
    Gateway::PieceOrder pieceOrder;
    try {
        const auto message = Schema::parseBoundedCbor(exchange->request().body()).get<Schema::PieceOrder>();
        pieceOrder = fromMessage(message, std::chrono::steady_clock::now());
    } catch (const std::exception &error) {
        m_log.write("invalid piece order", { { "reason", error.what() } }, std::chrono::steady_clock::now());
        Net::HttpResponse response;
        response.status = STATUS_BAD_REQUEST;
        exchange->respond(std::move(response));
        return;
    }
    const auto onReturned = [exchange] {
        Net::HttpResponse response;
        response.status = STATUS_UNAVAILABLE;
        exchange->respond(std::move(response));
    };
    if (m_reachability.isBlocked(pieceOrder.service)) {
        onReturned();
        return;
    }
    const Gateway::OrderId id = add(pieceOrder, [this, exchange](const std::vector<Gateway::PieceCompletion> &completions) {
        Net::HttpResponse response;
        response.contentType = "application/cbor";
        Schema::PieceResults results = toMessage(completions);
        if (std::vector<Schema::ServiceLoad> loads = ownLoads(); !loads.empty()) {
            results.loads = std::move(loads);
        }
        response.body = Schema::toCbor(results);
        exchange->respond(std::move(response));
    });
    m_orders.at(id).onReturned = onReturned;
    exchange->onClosed([this, id] { withdraw(id); });
    placeLocally(id);
}

void PieceBroker::handleFreedResults(const Net::HttpExchangePointer &exchange)
{
    handleResults(exchange,
                  [this](const Gateway::ServiceName &, const std::vector<Gateway::StageResult> &results) { freeAtTargets(results); });
}

void PieceBroker::handleFetchedInputs(const Net::HttpExchangePointer &exchange)
{
    handleResults(exchange, [this](const Gateway::ServiceName &service, const std::vector<Gateway::StageResult> &results) {
        freeFetched(service, results);
    });
}

void PieceBroker::handleResults(const Net::HttpExchangePointer &exchange,
                                const std::function<void(const Gateway::ServiceName &, const std::vector<Gateway::StageResult> &)> &handle)
{
    Net::HttpResponse response;
    response.contentType.clear();
    try {
        const auto message = Schema::parseBoundedCbor(exchange->request().body()).get<Schema::FreedResults>();
        std::vector<Gateway::StageResult> results;
        for (const Schema::FreedResult &result : message.results) {
            results.push_back({ result.handle, TargetId(result.target) });
        }
        handle(Gateway::ServiceName(message.service), results);
    } catch (const std::exception &error) {
        m_log.write("invalid freed results", { { "reason", error.what() } }, std::chrono::steady_clock::now());
        response.status = STATUS_BAD_REQUEST;
    }
    exchange->respond(std::move(response));
}

void PieceBroker::apply(const Gateway::RouteTable &table)
{
    for (const Gateway::Service &service : table.services()) {
        if (!service.pieces) {
            continue;
        }
        m_capacities[service.name] = *service.pieces;
        const auto known = m_schedulers.find(service.name);
        if (known != m_schedulers.end()) {
            known->second.setCapacity(*service.pieces);
        }
    }
}

void PieceBroker::setServiceLoadBoard(Gateway::ServiceLoadBoard &loads)
{
    m_serviceLoads = &loads;
}

// The reports also go to the board of this daemon, which places requests of its own.
std::vector<Schema::ServiceLoad> PieceBroker::ownLoads()
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    if (!m_serviceLoads || m_ownLoadsAt + LOAD_REPORT_INTERVAL > now) {
        return m_ownLoads;
    }
    m_ownLoadsAt = now;
    m_ownLoads.clear();
    for (const auto &[service, scheduler] : m_schedulers) {
        if (m_members.owner(service) || m_ownLoads.size() >= Gateway::ServiceLoadBoard::MAX_SERVICES) {
            continue;
        }
        const Gateway::ServiceLoadReport report = scheduler.loadReport(m_targets, now);
        m_serviceLoads->put(report, now);
        m_ownLoads.push_back(toMessage(report));
    }
    return m_ownLoads;
}

void PieceBroker::onLoads(const std::vector<Schema::ServiceLoad> &loads)
{
    if (!m_serviceLoads) {
        return;
    }
    const MonotonicTime now = std::chrono::steady_clock::now();
    for (const Schema::ServiceLoad &load : loads) {
        m_serviceLoads->put(fromMessage(load), now);
    }
}

void PieceBroker::onMembersChanged()
{
    std::set<VmId> alive;
    for (const Gateway::Member &member : m_members.alive()) {
        alive.insert(member.vm);
    }
    std::vector<Gateway::OrderId> ordersToPlace;
    for (const auto &[id, order] : m_orders) {
        if (order.owner && alive.count(*order.owner) == 0) {
            ordersToPlace.push_back(id);
        }
    }
    for (const Gateway::OrderId &id : ordersToPlace) {
        const auto order = m_orders.find(id);
        if (order->second.call) {
            order->second.call->cancel();
        }
        place(id);
    }
}

void PieceBroker::returnBlockedOrders()
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    std::vector<Gateway::OrderId> returned;
    for (const auto &[id, order] : m_orders) {
        const Gateway::ServiceName &service = order.pieceOrder.service;
        if (!order.owner && m_reachability.isBlocked(service) && m_members.availableOwner(service, now)) {
            returned.push_back(id);
        }
    }
    for (const Gateway::OrderId &id : returned) {
        returnOrder(id);
    }
    if (!returned.empty()) {
        m_log.write("piece orders returned", { { "orders", std::to_string(returned.size()) } }, now);
    }
}

// Calls for its pieces may still be running here. What they make is freed.
void PieceBroker::returnOrder(Gateway::OrderId id)
{
    const auto found = m_orders.find(id);
    if (found == m_orders.end()) {
        return;
    }
    PendingOrder &order = found->second;
    schedulerFor(order.pieceOrder.service).withdraw(id);
    freeOwn(Gateway::successfulResults(std::exchange(order.completions, {})));
    order.openPieces = order.pieceOrder.pieces.size();
    if (!order.onReturned) {
        place(id);
        return;
    }
    const std::function<void()> onReturned = std::move(order.onReturned);
    m_orders.erase(found);
    onReturned();
}

void PieceBroker::dispatchAll()
{
    std::vector<Gateway::ServiceName> waiting;
    for (const auto &[service, scheduler] : m_schedulers) {
        if (scheduler.waitingPieces() > 0) {
            waiting.push_back(service);
        }
    }
    for (const Gateway::ServiceName &service : waiting) {
        dispatch(service);
    }
}

// Fetched inputs are reported to the owner of the stage that made them, which knows whether their memory is short.
void PieceBroker::reportFetchedInputs()
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    bool isWaiting = false;
    std::map<Gateway::ServiceName, std::vector<Gateway::StageResult>> fetched;
    for (auto &[service, scheduler] : m_schedulers) {
        for (Gateway::StageResult &result : scheduler.takeFetchedInputs(now)) {
            const std::optional<Gateway::TargetRecord> record = m_targets.find(result.target);
            if (record) {
                fetched[record->service].push_back(std::move(result));
            }
        }
        isWaiting = isWaiting || scheduler.awaitsFetchedInputs();
    }
    for (const auto &[service, results] : fetched) {
        const std::optional<Gateway::Member> owner = m_members.availableOwner(service, now);
        if (owner) {
            sendResults(*owner, FETCHED_INPUTS_PATH, service, results, [] {});
        } else {
            freeFetched(service, results);
        }
    }
    if (isWaiting) {
        scheduleDispatch();
    }
}

// While there is enough memory, the results are kept until the stage that uses them has finished, in case a call fails. The daemon of the
// request frees them then; those that were freed here are not freed again.
void PieceBroker::freeFetched(const Gateway::ServiceName &service, const std::vector<Gateway::StageResult> &results)
{
    const Gateway::StageScheduler &scheduler = schedulerFor(service);
    std::vector<Gateway::StageResult> freed;
    for (const Gateway::StageResult &result : results) {
        if (scheduler.isShortOfMemory(result.target)) {
            freed.push_back(result);
        }
    }
    m_earlyFreeCounter.add(freed.size());
    freeAtTargets(freed);
}

void PieceBroker::logBacklog()
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    if (m_options.sharesByOrganisation) {
        reportShares(now);
    }
    for (const auto &[service, scheduler] : m_schedulers) {
        if (scheduler.waitingPieces() == 0) {
            continue;
        }
        m_log.write("stage backlog",
                    { { "service", service.value() },
                      { "waiting", std::to_string(scheduler.waitingPieces()) },
                      { "calls", std::to_string(scheduler.runningCalls()) },
                      { "targets", std::to_string(m_targets.usableTargetCount(service, now)) },
                      { "free_bytes", std::to_string(scheduler.freeBytes(m_targets, now)) } },
                    now);
    }
}

void PieceBroker::stop()
{
    m_dispatchTimer.cancel();
    m_freeTimer.cancel();
}

void PieceBroker::place(Gateway::OrderId id)
{
    const std::optional<Gateway::Member> owner =
        m_members.availableOwner(m_orders.at(id).pieceOrder.service, std::chrono::steady_clock::now());
    if (owner) {
        placeAtOwner(*owner, id);
    } else {
        placeLocally(id);
    }
}

void PieceBroker::placeLocally(Gateway::OrderId id)
{
    PendingOrder &order = m_orders.at(id);
    order.owner.reset();
    order.call.reset();
    const Gateway::ServiceName service = order.pieceOrder.service;
    const Gateway::SubmitResult result = schedulerFor(service).submit(id, order.pieceOrder, m_targets, std::chrono::steady_clock::now());
    if (result.admission) {
        recordAdmission(order.pieceOrder, *result.admission);
    }
    if (!result.isAccepted) {
        if (!result.admission) {
            logRejection(order.pieceOrder, std::chrono::steady_clock::now());
        }
        order.completions.push_back({ order.pieceOrder.pieces.empty() ? 0 : order.pieceOrder.pieces.front(),
                                      Gateway::PieceFailure::Late,
                                      result.admission ? result.admission->retryAfter : std::nullopt });
        finish(id);
        return;
    }
    dispatch(service);
}

void PieceBroker::recordAdmission(const Gateway::PieceOrder &pieceOrder, const Gateway::AdmissionOutcome &outcome)
{
    const Gateway::AdmissionState &state = outcome.state;
    AdmissionCounters &counters = admissionCounters(pieceOrder.service, pieceOrder.rank);
    LogFields fields { { "request", pieceOrder.request.value() },
                       { "service", pieceOrder.service.value() },
                       { "rank", std::to_string(pieceOrder.rank) },
                       { "pieces", std::to_string(state.pieces) },
                       { "ahead", std::to_string(state.piecesAhead) },
                       { "reserved", std::to_string(state.reservedPieces) },
                       { "slots", std::to_string(state.freeAfter.size()) },
                       { "soft_ms", millisecondsText(state.untilSoftDeadline) },
                       { "hard_ms", millisecondsText(state.untilHardDeadline) },
                       { "free_bytes", state.freeBytes ? std::to_string(*state.freeBytes) : "unlimited" },
                       { "has_reservation", state.hasReservation ? "yes" : "no" } };
    if (state.hasReservation) {
        counters.reservationsUsed.add();
    }
    std::visit(Overloaded {
                   [&](const Gateway::Admitted &admitted) {
                       fields.push_back({ "outcome", "admitted" });
                       fields.push_back({ "completion_ms", millisecondsText(admitted.expectedCompletion) });
                   },
                   [&](const Gateway::Rejected &rejected) {
                       counters.rejected.add();
                       counters.reservationsMade.add(outcome.isReserved ? 1 : 0);
                       fields.push_back({ "outcome", "rejected" });
                       fields.push_back({ "completion_ms", millisecondsText(rejected.expectedCompletion) });
                       fields.push_back({ "reason", rejected.reason });
                       fields.push_back({ "retry_ms", millisecondsText(outcome.retryAfter.value_or(Duration::zero())) });
                       fields.push_back({ "retry_reserved", outcome.isReserved ? "yes" : "no" });
                   },
               },
               outcome.decision);
    m_log.write("stage admission", fields, std::chrono::steady_clock::now());
}

PieceBroker::AdmissionCounters &PieceBroker::admissionCounters(const Gateway::ServiceName &service, int rank)
{
    const int rankLabel = std::clamp(rank, 0, MAX_RANK_LABEL);
    const auto known = m_admissionCounters.find({ service, rankLabel });
    if (known != m_admissionCounters.end()) {
        return known->second;
    }
    const Metrics::Labels labels { { "service", service.value() }, { "rank", std::to_string(rankLabel) } };
    return m_admissionCounters
        .emplace(std::pair(service, rankLabel),
                 AdmissionCounters { m_metrics.counter("cassiarelay_stage_orders_rejected_total", labels),
                                     m_metrics.counter("cassiarelay_retry_reservations_made_total", labels),
                                     m_metrics.counter("cassiarelay_retry_reservations_used_total", labels) })
        .first->second;
}

void PieceBroker::placeAtOwner(const Gateway::Member &owner, Gateway::OrderId id)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    PendingOrder &order = m_orders.at(id);
    order.owner = owner.vm;
    order.sentAt = now;
    m_members.follow(owner.vm, now);
    m_forwardedOrderCounter.add();
    Net::HttpCallRequest request = peerRequest(owner.endpoint, ORDERS_PATH, Schema::toCbor(toMessage(order.pieceOrder, now)));
    request.deadline = std::max(order.pieceOrder.hardDeadline, now) + OWNER_RESPONSE_MARGIN;
    auto status = std::make_shared<unsigned>(0);
    auto body = std::make_shared<std::string>();
    Net::HttpCallHandlers handlers;
    handlers.onHead = [status](const Net::HttpCallHead &head) { *status = head.status; };
    handlers.onBody = [body](const std::string &part) { *body += part; };
    handlers.onFinished = [this, id, status, body] { onOwnerResponse(id, *status, *body); };
    handlers.onFailed = [this, id](Net::CallFailure, const std::string &reason) { onOwnerFailed(id, reason); };
    order.call = m_peerClient.send(std::move(request), std::move(handlers));
}

void PieceBroker::onOwnerResponse(Gateway::OrderId id, unsigned status, const std::string &body)
{
    const auto order = m_orders.find(id);
    if (order == m_orders.end()) {
        return;
    }
    if (status != STATUS_OK) {
        onOwnerFailed(id, "status " + std::to_string(status));
        return;
    }
    try {
        const auto message = Schema::parseBoundedCbor(body).get<Schema::PieceResults>();
        order->second.completions = fromMessage(message);
        onLoads(message.loads.value_or(std::vector<Schema::ServiceLoad>()));
    } catch (const std::exception &error) {
        onOwnerFailed(id, error.what());
        return;
    }
    const MonotonicTime now = std::chrono::steady_clock::now();
    m_ownerResponseTime.record(now - order->second.sentAt);
    if (order->second.owner) {
        m_members.onHeard(*order->second.owner, now);
    }
    finish(id);
}

void PieceBroker::onOwnerFailed(Gateway::OrderId id, const std::string &reason)
{
    const auto order = m_orders.find(id);
    if (order == m_orders.end() || !order->second.owner) {
        return;
    }
    const MonotonicTime now = std::chrono::steady_clock::now();
    const Gateway::PieceOrder &pieceOrder = order->second.pieceOrder;
    const bool canRetry = m_members.onOrderFailed(*order->second.owner, pieceOrder.hardDeadline, now);
    m_log.write("piece order failed at owner",
                { { "request", pieceOrder.request.value() },
                  { "vm", order->second.owner->value() },
                  { "reason", reason },
                  { "time_up", canRetry ? "no" : "yes" } },
                now);
    if (canRetry) {
        place(id);
        return;
    }
    for (const int piece : pieceOrder.pieces) {
        order->second.completions.push_back({ piece, Gateway::PieceFailure::Late });
    }
    finish(id);
}

Gateway::StageScheduler &PieceBroker::schedulerFor(const Gateway::ServiceName &service)
{
    const auto known = m_schedulers.find(service);
    if (known != m_schedulers.end()) {
        return known->second;
    }
    Gateway::StageScheduler &scheduler =
        m_schedulers.emplace(service, Gateway::StageScheduler(service, m_capacities[service])).first->second;
    scheduler.setOptions(m_options);
    return scheduler;
}

void PieceBroker::dispatch(const Gateway::ServiceName &service)
{
    Gateway::StageScheduler &scheduler = schedulerFor(service);
    const MonotonicTime now = std::chrono::steady_clock::now();
    // With shares, expires first: an order with a late piece fails, so the results of its other pieces would not be used.
    if (m_options.sharesByOrganisation) {
        applyProgress(scheduler.expire(m_targets, now));
    }
    for (Gateway::StageCall &call : scheduler.dispatch(m_targets, now)) {
        sendCall(service, std::move(call));
    }
    m_spilloverReport.add(service, scheduler.takeSpilloverFlows(), now);
    if (!m_options.sharesByOrganisation) {
        applyProgress(scheduler.expire(m_targets, now));
    }
    if (scheduler.awaitsFetchedInputs()) {
        scheduleDispatch();
    }
    if (scheduler.waitingPieces() > 0) {
        if (m_targets.rateLimits().canRequestPermits(service, now)) {
            m_permitBroker.request(service, [](const std::string &) {});
        }
        scheduleDispatch();
    }
}

void PieceBroker::sendCall(const Gateway::ServiceName &service, Gateway::StageCall call)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    m_callCounter.add();
    m_pieceCounter.add(call.items.size());
    Net::HttpCallRequest request = toCallRequest(call.target.endpoint, m_port.stageRequest(call, now));
    nameCall(request);
    request.expectsId = true;
    request.mayLeave = [this, target = call.target] { return m_targets.mayReceive(target); };
    request.deadline = call.timeoutAt;
    request.maxIdleConnections = m_targets.maxIdleConnections(service);
    request.maxBodyBytes = MAX_CALL_RESPONSE_BYTES;
    struct Reply {
        Gateway::StageCall call;
        Gateway::TargetResponse response;
        std::string body;
        MonotonicTime sentAt;
    };
    auto reply = std::make_shared<Reply>();
    reply->call = std::move(call);
    reply->sentAt = now;
    Net::HttpCallHandlers handlers;
    handlers.onHead = [this, reply](const Net::HttpCallHead &head) {
        reply->response = m_port.readTargetResponse(head.status, toFieldList(head.fields));
    };
    handlers.onBody = [reply](const std::string &part) { reply->body += part; };
    handlers.onFinished = [this, reply, service] {
        m_callTime.record(std::chrono::steady_clock::now() - reply->sentAt);
        onCallResponse(service, reply->call, reply->response, reply->body);
    };
    handlers.onFailed = [this, reply, service](Net::CallFailure failure, const std::string &reason) {
        onCallFailed(service, reply->call, toResult(failure), reason);
    };
    m_targetClient.send(std::move(request), std::move(handlers));
}

// Targets name the request that they answer, so that a late second response to an earlier call is not taken for the answer to this one.
void PieceBroker::nameCall(Net::HttpCallRequest &request)
{
    request.requestIdField = m_port.requestIdField();
    request.fields.push_back({ request.requestIdField, hexText(stableHash(std::to_string(++m_callCount), m_callSeed)) });
}

void PieceBroker::onCallResponse(const Gateway::ServiceName &service,
                                 const Gateway::StageCall &call,
                                 const Gateway::TargetResponse &response,
                                 const std::string &body)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    m_reachability.recordResponse(service, now);
    if (response.load) {
        m_targets.setReportedLoad(call.target.id, *response.load, now);
    }
    if (response.rateLimit) {
        m_permitBroker.onRateLimit(call.target, *response.rateLimit);
    }
    if (response.statement) {
        m_targets.applyStatement(call.target, *response.statement, now);
    }
    if (response.head.status != STATUS_OK) {
        const bool refused = response.head.isNotRun || response.head.status == STATUS_MISDIRECTED;
        if (response.head.status == STATUS_MISDIRECTED) {
            m_targets.setMisdirected(call.target, now);
        }
        onCallFailed(service,
                     call,
                     refused ? Gateway::AttemptResult::Refused : Gateway::AttemptResult::Errored,
                     "status " + std::to_string(response.head.status));
        return;
    }
    try {
        applyProgress(schedulerFor(service).onAnswered(call.id, m_port.readStageResults(call, body), m_targets, now));
    } catch (const std::exception &error) {
        onCallFailed(service, call, Gateway::AttemptResult::Broken, error.what());
        return;
    }
    dispatch(service);
}

void PieceBroker::onCallFailed(const Gateway::ServiceName &service,
                               const Gateway::StageCall &call,
                               Gateway::AttemptResult result,
                               const std::string &reason)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    m_failedCallCounter.add();
    if (result == Gateway::AttemptResult::Unreachable || result == Gateway::AttemptResult::Broken
        || result == Gateway::AttemptResult::Silent) {
        m_reachability.recordFailure(service, now);
    }
    m_log.write("stage call failed",
                { { "service", service.value() },
                  { "target", call.target.id.value() },
                  { "pieces", std::to_string(call.items.size()) },
                  { "result", std::string(toString(result)) },
                  { "reason", reason } },
                now);
    applyProgress(schedulerFor(service).onFailed(call.id, result, m_targets, now));
    dispatch(service);
}

void PieceBroker::applyProgress(const std::vector<Gateway::OrderProgress> &progress)
{
    std::vector<Gateway::StageResult> unwanted;
    std::set<Gateway::OrderId> finishedOrders;
    for (const Gateway::OrderProgress &pieceProgress : progress) {
        const auto order = m_orders.find(pieceProgress.order);
        if (order == m_orders.end() || !awaitsPiece(order->second, pieceProgress.completion.piece)) {
            if (const auto *result = std::get_if<Gateway::StageResult>(&pieceProgress.completion.outcome)) {
                unwanted.push_back(*result);
            }
            continue;
        }
        order->second.completions.push_back(pieceProgress.completion);
        --order->second.openPieces;
        // A failed piece ends the order, because the results of the other pieces are useless without it.
        if (order->second.openPieces == 0 || std::holds_alternative<Gateway::PieceFailure>(pieceProgress.completion.outcome)) {
            finishedOrders.insert(pieceProgress.order);
        }
    }
    freeOwn(unwanted);
    for (const Gateway::OrderId &id : finishedOrders) {
        finish(id);
    }
}

// An order that was returned may have been placed here again while earlier calls for its pieces were running.
bool PieceBroker::awaitsPiece(const PendingOrder &order, int piece)
{
    return !order.owner
        && std::none_of(order.completions.begin(), order.completions.end(), [piece](const Gateway::PieceCompletion &completion) {
               return completion.piece == piece;
           });
}

void PieceBroker::finish(Gateway::OrderId id)
{
    const auto found = m_orders.find(id);
    if (found == m_orders.end()) {
        return;
    }
    PendingOrder order = std::move(found->second);
    m_orders.erase(found);
    if (!order.owner) {
        schedulerFor(order.pieceOrder.service).withdraw(id);
        if (m_options.sharesByOrganisation) {
            const std::optional<Gateway::PieceFailure> failure = Gateway::firstFailure(order.completions);
            recordOutcome(order, failure);
            if (failure) {
                dropResults(order);
            }
        }
    }
    order.onDone(order.completions);
}

// The daemon that placed the order has no use for them either, and would return them with a message of its own.
void PieceBroker::dropResults(PendingOrder &order)
{
    freeOwn(Gateway::successfulResults(order.completions));
    const auto isResult = [](const Gateway::PieceCompletion &completion) {
        return std::holds_alternative<Gateway::StageResult>(completion.outcome);
    };
    order.completions.erase(std::remove_if(order.completions.begin(), order.completions.end(), isResult), order.completions.end());
}

void PieceBroker::recordOutcome(const PendingOrder &order, std::optional<Gateway::PieceFailure> failure)
{
    const std::size_t pieces = order.pieceOrder.pieces.size();
    const std::size_t completed = failure ? 0 : pieces;
    const std::size_t rejected = failure == Gateway::PieceFailure::Late ? pieces : 0;
    const std::string organisation = m_outcomes.label(order.pieceOrder.organisation);
    m_outcomes.record(organisation, completed, rejected, std::chrono::steady_clock::now());
    m_metrics.counter("cassiarelay_organisation_pieces_completed_total", { { "organisation", organisation } }).add(completed);
    m_metrics.counter("cassiarelay_organisation_pieces_rejected_total", { { "organisation", organisation } }).add(rejected);
}

void PieceBroker::logRejection(const Gateway::PieceOrder &pieceOrder, MonotonicTime now)
{
    if (!m_options.sharesByOrganisation) {
        return;
    }
    const Gateway::StageScheduler &scheduler = schedulerFor(pieceOrder.service);
    const Gateway::WorkAhead ahead = scheduler.workAhead(pieceOrder, m_targets, now);
    const auto timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(pieceOrder.softDeadline - now);
    m_log.write("piece order rejected",
                { { "request", pieceOrder.request.value() },
                  { "service", pieceOrder.service.value() },
                  { "organisation", pieceOrder.organisation ? pieceOrder.organisation->value() : "none" },
                  { "rank", std::to_string(pieceOrder.rank) },
                  { "left_ms", std::to_string(timeLeft.count()) },
                  { "pieces", std::to_string(pieceOrder.pieces.size()) },
                  { "pieces_ahead", std::to_string(ahead.pieces) },
                  { "bytes", std::to_string(pieceOrder.resultBytes * pieceOrder.pieces.size()) },
                  { "bytes_ahead", std::to_string(ahead.bytes) },
                  { "free_bytes", std::to_string(scheduler.freeBytes(m_targets, now)) },
                  { "freed_bytes_per_s", std::to_string(static_cast<std::int64_t>(scheduler.bytesFreedPerSecond(now))) } },
                now);
}

void PieceBroker::reportShares(MonotonicTime now)
{
    const std::optional<double> served = m_outcomes.worstServedTenth(now);
    if (served) {
        m_metrics.gauge("cassiarelay_worst_served_organisations_percent").set(static_cast<std::int64_t>(*served * 100));
    }
}

// Frees results of orders that this daemon schedules, and whose memory it therefore tracks.
void PieceBroker::freeOwn(const std::vector<Gateway::StageResult> &results)
{
    if (m_options.sharesByOrganisation) {
        freeAtTargets(results);
    } else {
        free(results);
    }
}

void PieceBroker::scheduleDispatch()
{
    if (std::exchange(m_isDispatchScheduled, true)) {
        return;
    }
    m_dispatchTimer.expires_after(DISPATCH_INTERVAL);
    m_dispatchTimer.async_wait([this](const boost::system::error_code &error) {
        m_isDispatchScheduled = false;
        if (!error) {
            dispatchAll();
            reportFetchedInputs();
        }
    });
}

void PieceBroker::scheduleFree()
{
    if (std::exchange(m_isFreeScheduled, true)) {
        return;
    }
    // With shares, only results that follow others closely wait for more of them.
    const MonotonicTime now = std::chrono::steady_clock::now();
    m_freeTimer.expires_at(m_options.sharesByOrganisation ? std::max(now, m_freedAt + FREE_BATCH_DELAY) : now + FREE_BATCH_DELAY);
    m_freeTimer.async_wait([this](const boost::system::error_code &error) {
        m_isFreeScheduled = false;
        if (!error) {
            sendFreedResults();
        }
    });
}

// The owner of a service tracks the result memory of its targets, so it must free the results. It is the same daemon that gets the orders:
// one that has just returned them because it reaches no target can't free results either.
void PieceBroker::sendFreedResults()
{
    m_freedAt = std::chrono::steady_clock::now();
    for (const auto &[service, results] : std::exchange(m_freedResults, {})) {
        const std::optional<Gateway::Member> owner = m_members.availableOwner(service, m_freedAt);
        if (owner) {
            sendFreedResultsToOwner(*owner, service, results);
        } else {
            freeAtTargets(results);
        }
    }
}

void PieceBroker::sendFreedResultsToOwner(const Gateway::Member &owner,
                                          const Gateway::ServiceName &service,
                                          const std::vector<Gateway::StageResult> &results)
{
    sendResults(owner, FREED_RESULTS_PATH, service, results, [this, results] { freeAtTargets(results); });
}

void PieceBroker::sendResults(const Gateway::Member &owner,
                              const char *path,
                              const Gateway::ServiceName &service,
                              const std::vector<Gateway::StageResult> &results,
                              const std::function<void()> &onFailed)
{
    Schema::FreedResults message;
    message.service = service.value();
    for (const Gateway::StageResult &result : results) {
        message.results.push_back({ result.handle, result.target.value() });
    }
    Net::HttpCallRequest request = peerRequest(owner.endpoint, path, Schema::toCbor(message));
    request.deadline = std::chrono::steady_clock::now() + FREE_TIMEOUT;
    Net::HttpCallHandlers handlers;
    handlers.onFailed = [this, service = service, onFailed](Net::CallFailure, const std::string &reason) {
        m_log.write(
            "freed results not forwarded", { { "service", service.value() }, { "reason", reason } }, std::chrono::steady_clock::now());
        onFailed();
    };
    m_peerClient.send(std::move(request), std::move(handlers));
}

void PieceBroker::freeAtTargets(const std::vector<Gateway::StageResult> &results)
{
    std::map<TargetId, std::vector<Gateway::StageResult>> byTarget;
    for (const Gateway::StageResult &result : results) {
        if (m_options.freesFetchedInputs && !m_recentFrees.insert(result.handle)) {
            continue;
        }
        byTarget[result.target].push_back(result);
    }
    for (auto &[target, freed] : byTarget) {
        const std::optional<Gateway::TargetRecord> record = m_targets.find(target);
        if (!record) {
            continue;
        }
        if (!m_targets.rateLimits().isLimited(*record) && !m_targets.isPaused(*record, std::chrono::steady_clock::now())) {
            sendFree(*record, freed);
            continue;
        }
        std::vector<Gateway::StageResult> &deferred = m_deferredFrees[target];
        deferred.insert(deferred.end(), freed.begin(), freed.end());
        if (deferred.size() > MAX_DEFERRED_FREES) {
            deferred.erase(deferred.begin(), deferred.end() - MAX_DEFERRED_FREES);
        }
    }
}

// A request that frees results counts toward the rate limit of its target, so the results of a second are freed at once.
void PieceBroker::sendDeferredFrees()
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    for (auto entry = m_deferredFrees.begin(); entry != m_deferredFrees.end();) {
        const std::optional<Gateway::TargetRecord> record = m_targets.find(entry->first);
        if (record && (!m_targets.rateLimits().canSend(*record, now) || m_targets.isPaused(*record, now))) {
            ++entry;
            continue;
        }
        if (record) {
            m_targets.rateLimits().recordSent(*record, now);
            sendFree(*record, entry->second);
        }
        entry = m_deferredFrees.erase(entry);
    }
}

void PieceBroker::sendFree(const Gateway::TargetRecord &target, const std::vector<Gateway::StageResult> &results)
{
    std::vector<std::string> handles;
    handles.reserve(results.size());
    for (const Gateway::StageResult &result : results) {
        handles.push_back(result.handle);
    }
    Net::HttpCallRequest request = toCallRequest(target.endpoint, m_port.freeRequest(target.id, handles));
    nameCall(request);
    request.mayLeave = [this, target] { return m_targets.isAtItsAddress(target, std::chrono::steady_clock::now()); };
    request.deadline = std::chrono::steady_clock::now() + FREE_TIMEOUT;
    request.maxIdleConnections = m_targets.maxIdleConnections(target.service);
    const auto status = std::make_shared<unsigned>(0);
    Net::HttpCallHandlers handlers;
    handlers.onHead = [status](const Net::HttpCallHead &head) { *status = head.status; };
    handlers.onFinished = [this, target, status, results] {
        if (*status == STATUS_OK) {
            onFreed(target.service, results);
            return;
        }
        if (*status == STATUS_MISDIRECTED) {
            m_targets.setMisdirected(target, std::chrono::steady_clock::now());
        }
        onNotFreed(target.id, "status " + std::to_string(*status));
    };
    handlers.onFailed = [this, id = target.id](Net::CallFailure, const std::string &reason) { onNotFreed(id, reason); };
    m_targetClient.send(std::move(request), std::move(handlers));
}

// The target drops the results when their lifetime ends; until then, their memory counts as occupied.
void PieceBroker::onNotFreed(const TargetId &target, const std::string &reason)
{
    m_log.write("results not freed", { { "target", target.value() }, { "reason", reason } }, std::chrono::steady_clock::now());
}

// Releases the memory only after the target has confirmed; a stage call that arrived before would be rejected for lack of memory.
void PieceBroker::onFreed(const Gateway::ServiceName &service, const std::vector<Gateway::StageResult> &results)
{
    for (const Gateway::StageResult &result : results) {
        schedulerFor(service).release(result);
    }
    dispatch(service);
}

} // namespace CassiaRelay::GatewayDaemon
