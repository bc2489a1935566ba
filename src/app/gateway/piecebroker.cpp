#include "piecebroker.h"

#include "callrequests.h"
#include "fieldlist.h"
#include "piecemessages.h"

namespace CassiaRelay::GatewayDaemon {

namespace {

constexpr unsigned STATUS_OK = 200;
constexpr unsigned STATUS_BAD_REQUEST = 400;
constexpr unsigned STATUS_MISDIRECTED = 421;
constexpr std::chrono::milliseconds WAKE_INTERVAL { 25 }; // a tenth of a usual call
constexpr std::chrono::milliseconds FREE_INTERVAL { 10 }; // gathers frees of several requests; 30 kept their room taken for too long
constexpr std::chrono::milliseconds FREE_PATIENCE { 1000 };
constexpr std::chrono::milliseconds ANSWER_TIME { 100 }; // for the way back from the owner

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
        return Gateway::AttemptResult::Unreachable;
    case Net::CallFailure::TimedOut:
        return Gateway::AttemptResult::Silent;
    case Net::CallFailure::ConnectionLost:
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
                         Gateway::TargetBook &targets,
                         Gateway::Members &members,
                         Metrics::Registry &metrics,
                         EventLog &log)
    : m_targetClient(targetClient)
    , m_peerClient(peerClient)
    , m_port(port)
    , m_targets(targets)
    , m_members(members)
    , m_log(log)
    , m_calls(metrics.counter("cassiarelay_stage_calls_total"))
    , m_pieces(metrics.counter("cassiarelay_stage_pieces_total"))
    , m_failedCalls(metrics.counter("cassiarelay_stage_calls_failed_total"))
    , m_ordersElsewhere(metrics.counter("cassiarelay_piece_orders_sent_to_owner_total"))
    , m_callTime(metrics.histogram("cassiarelay_stage_call_seconds"))
    , m_wakeTimer(context)
    , m_freeTimer(context)
{
}

Gateway::OrderId PieceBroker::order(const Gateway::PieceOrder &work, DoneHandler done)
{
    const Gateway::OrderId id = add(work, std::move(done));
    place(id);
    return id;
}

Gateway::OrderId PieceBroker::add(const Gateway::PieceOrder &work, DoneHandler done)
{
    const Gateway::OrderId id(m_nextOrder++);
    Order order;
    order.work = work;
    order.done = std::move(done);
    order.open = work.pieces.size();
    m_orders.emplace(id, std::move(order));
    return id;
}

void PieceBroker::withdraw(Gateway::OrderId id)
{
    const auto found = m_orders.find(id);
    if (found == m_orders.end()) {
        return;
    }
    Order order = std::move(found->second);
    m_orders.erase(found);
    if (order.owner) {
        if (order.call) {
            order.call->cancel();
        }
        return;
    }
    pool(order.work.service).withdraw(id);
    free(Gateway::resultsOf(order.ends));
}

void PieceBroker::free(const std::vector<Gateway::StageResult> &results)
{
    // A target that is gone has lost its results anyway.
    for (const Gateway::StageResult &result : results) {
        const std::optional<Gateway::TargetRecord> record = m_targets.find(result.target);
        if (record) {
            m_frees[record->service].push_back(result);
        }
    }
    if (!m_frees.empty()) {
        freeLater();
    }
}

// The answer leaves when the order has ended; a daemon that hangs up withdraws it.
void PieceBroker::handle(const Net::HttpExchangePointer &exchange)
{
    Gateway::PieceOrder work;
    try {
        const auto message = Schema::parseBoundedCbor(exchange->request().body()).get<Schema::PieceOrder>();
        work = fromMessage(message, std::chrono::steady_clock::now());
    } catch (const std::exception &error) {
        m_log.write("piece order unreadable", { { "reason", error.what() } }, std::chrono::steady_clock::now());
        Net::HttpResponse response;
        response.status = STATUS_BAD_REQUEST;
        exchange->respond(std::move(response));
        return;
    }
    const Gateway::OrderId id = add(work, [exchange](const std::vector<Gateway::PieceEnd> &ends) {
        Net::HttpResponse response;
        response.contentType = "application/cbor";
        response.body = Schema::toCbor(toMessage(ends));
        exchange->respond(std::move(response));
    });
    exchange->onClosed([this, id] { withdraw(id); });
    placeHere(id);
}

void PieceBroker::handleFrees(const Net::HttpExchangePointer &exchange)
{
    Net::HttpResponse response;
    response.contentType.clear();
    try {
        const auto message = Schema::parseBoundedCbor(exchange->request().body()).get<Schema::FreedResults>();
        std::vector<Gateway::StageResult> results;
        for (const Schema::FreedResult &result : message.results) {
            results.push_back({ result.handle, TargetId(result.target) });
        }
        freeHere(results);
    } catch (const std::exception &error) {
        m_log.write("frees unreadable", { { "reason", error.what() } }, std::chrono::steady_clock::now());
        response.status = STATUS_BAD_REQUEST;
    }
    exchange->respond(std::move(response));
}

void PieceBroker::adopt(const Gateway::RouteTable &table)
{
    for (const Gateway::Service &service : table.services()) {
        if (!service.pieces) {
            continue;
        }
        m_capacities[service.name] = *service.pieces;
        const auto known = m_pools.find(service.name);
        if (known != m_pools.end()) {
            known->second.adopt(*service.pieces);
        }
    }
}

void PieceBroker::onMembersChanged()
{
    std::set<VmId> alive;
    for (const Gateway::Member &member : m_members.alive()) {
        alive.insert(member.vm);
    }
    std::vector<Gateway::OrderId> orphans;
    for (const auto &[id, order] : m_orders) {
        if (order.owner && alive.count(*order.owner) == 0) {
            orphans.push_back(id);
        }
    }
    for (const Gateway::OrderId &id : orphans) {
        const auto order = m_orders.find(id);
        if (order->second.call) {
            order->second.call->cancel();
        }
        place(id);
    }
}

void PieceBroker::pumpAll()
{
    std::vector<Gateway::ServiceName> waiting;
    for (const auto &[service, pool] : m_pools) {
        if (pool.waiting() > 0) {
            waiting.push_back(service);
        }
    }
    for (const Gateway::ServiceName &service : waiting) {
        pump(service);
    }
}

void PieceBroker::logBacklog()
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    for (const auto &[service, stagePool] : m_pools) {
        if (stagePool.waiting() == 0) {
            continue;
        }
        m_log.write("stage backlog",
                    { { "service", service.value() },
                      { "waiting", std::to_string(stagePool.waiting()) },
                      { "calls", std::to_string(stagePool.running()) },
                      { "targets", std::to_string(m_targets.usable(service, now).size()) },
                      { "free_bytes", std::to_string(stagePool.freeBytes(m_targets, now)) } },
                    now);
    }
}

void PieceBroker::stop()
{
    m_wakeTimer.cancel();
    m_freeTimer.cancel();
}

void PieceBroker::place(Gateway::OrderId id)
{
    const std::optional<Gateway::Member> owner = m_members.availableOwner(m_orders.at(id).work.service, std::chrono::steady_clock::now());
    if (owner) {
        placeAt(*owner, id);
    } else {
        placeHere(id);
    }
}

void PieceBroker::placeHere(Gateway::OrderId id)
{
    Order &order = m_orders.at(id);
    order.owner.reset();
    order.call.reset();
    const Gateway::ServiceName service = order.work.service;
    if (!pool(service).submit(id, order.work, m_targets, std::chrono::steady_clock::now())) {
        order.ends.push_back({ order.work.pieces.empty() ? 0 : order.work.pieces.front(), Gateway::PieceFailure::Late });
        finish(id);
        return;
    }
    pump(service);
}

void PieceBroker::placeAt(const Gateway::Member &owner, Gateway::OrderId id)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    Order &order = m_orders.at(id);
    order.owner = owner.vm;
    m_ordersElsewhere.add();
    Net::HttpCallRequest request = peerRequest(owner.endpoint, PATH, Schema::toCbor(toMessage(order.work, now)));
    request.deadline = std::max(order.work.giveUpAt, now) + ANSWER_TIME;
    auto status = std::make_shared<unsigned>(0);
    auto body = std::make_shared<std::string>();
    Net::HttpCallHandlers handlers;
    handlers.onHead = [status](const Net::HttpCallHead &head) { *status = head.status; };
    handlers.onBody = [body](const std::string &part) { *body += part; };
    handlers.onFinished = [this, id, status, body] { onOwnerAnswered(id, *status, *body); };
    handlers.onFailed = [this, id](Net::CallFailure, const std::string &reason) { onOwnerFailed(id, reason); };
    order.call = m_peerClient.send(std::move(request), std::move(handlers));
}

void PieceBroker::onOwnerAnswered(Gateway::OrderId id, unsigned status, const std::string &body)
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
        order->second.ends = fromMessage(Schema::parseBoundedCbor(body).get<Schema::PieceResults>());
    } catch (const std::exception &error) {
        onOwnerFailed(id, error.what());
        return;
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
    const Gateway::PieceOrder &work = order->second.work;
    const bool mayPlaceAgain = m_members.onOrderFailed(*order->second.owner, work.giveUpAt, now);
    m_log.write("piece owner failed",
                { { "request", work.request.value() },
                  { "vm", order->second.owner->value() },
                  { "reason", reason },
                  { "time_up", mayPlaceAgain ? "no" : "yes" } },
                now);
    if (mayPlaceAgain) {
        place(id);
        return;
    }
    for (const int piece : work.pieces) {
        order->second.ends.push_back({ piece, Gateway::PieceFailure::Late });
    }
    finish(id);
}

Gateway::StagePool &PieceBroker::pool(const Gateway::ServiceName &service)
{
    const auto known = m_pools.find(service);
    if (known != m_pools.end()) {
        return known->second;
    }
    return m_pools.emplace(service, Gateway::StagePool(service, m_capacities[service])).first->second;
}

void PieceBroker::pump(const Gateway::ServiceName &service)
{
    Gateway::StagePool &stagePool = pool(service);
    const MonotonicTime now = std::chrono::steady_clock::now();
    for (Gateway::StageCall &call : stagePool.dispatch(m_targets, now)) {
        send(service, std::move(call));
    }
    report(stagePool.expire(m_targets, now));
    if (stagePool.waiting() > 0) {
        wakeLater();
    }
}

void PieceBroker::send(const Gateway::ServiceName &service, Gateway::StageCall call)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    m_calls.add();
    m_pieces.add(call.items.size());
    Net::HttpCallRequest request = toCallRequest(call.target.endpoint, m_port.stageRequest(call, now));
    request.deadline = call.overdueAt;
    struct Reply {
        Gateway::StageCall call;
        Gateway::TargetResponse answer;
        std::string body;
        MonotonicTime sentAt;
    };
    auto reply = std::make_shared<Reply>();
    reply->call = std::move(call);
    reply->sentAt = now;
    Net::HttpCallHandlers handlers;
    handlers.onHead = [this, reply](const Net::HttpCallHead &head) {
        reply->answer = m_port.readTargetResponse(head.status, toFieldList(head.fields));
    };
    handlers.onBody = [reply](const std::string &part) { reply->body += part; };
    handlers.onFinished = [this, reply, service] {
        m_callTime.record(std::chrono::steady_clock::now() - reply->sentAt);
        onCallAnswered(service, reply->call, reply->answer, reply->body);
    };
    handlers.onFailed = [this, reply, service](Net::CallFailure failure, const std::string &reason) {
        onCallFailed(service, reply->call, toResult(failure), reason);
    };
    m_targetClient.send(std::move(request), std::move(handlers));
}

void PieceBroker::onCallAnswered(const Gateway::ServiceName &service,
                                 const Gateway::StageCall &call,
                                 const Gateway::TargetResponse &answer,
                                 const std::string &body)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    if (answer.load) {
        m_targets.noteLoad(call.target.id, *answer.load, now);
    }
    if (answer.head.status != STATUS_OK) {
        const bool refused = answer.head.isNotRun || answer.head.status == STATUS_MISDIRECTED;
        onCallFailed(service,
                     call,
                     refused ? Gateway::AttemptResult::Refused : Gateway::AttemptResult::Errored,
                     "status " + std::to_string(answer.head.status));
        return;
    }
    try {
        report(pool(service).onAnswered(call.id, m_port.readStageResults(call, body), m_targets, now));
    } catch (const std::exception &error) {
        onCallFailed(service, call, Gateway::AttemptResult::Broken, error.what());
        return;
    }
    pump(service);
}

void PieceBroker::onCallFailed(const Gateway::ServiceName &service,
                               const Gateway::StageCall &call,
                               Gateway::AttemptResult result,
                               const std::string &reason)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    m_failedCalls.add();
    m_log.write("stage call failed",
                { { "service", service.value() },
                  { "target", call.target.id.value() },
                  { "pieces", std::to_string(call.items.size()) },
                  { "result", std::string(toString(result)) },
                  { "reason", reason } },
                now);
    report(pool(service).onFailed(call.id, result, m_targets, now));
    pump(service);
}

void PieceBroker::report(const std::vector<Gateway::OrderProgress> &progress)
{
    std::vector<Gateway::StageResult> unwanted;
    std::set<Gateway::OrderId> ended;
    for (const Gateway::OrderProgress &step : progress) {
        const auto order = m_orders.find(step.order);
        if (order == m_orders.end()) {
            if (const auto *result = std::get_if<Gateway::StageResult>(&step.end.outcome)) {
                unwanted.push_back(*result);
            }
            continue;
        }
        order->second.ends.push_back(step.end);
        --order->second.open;
        // One piece that can't be made ends the order: the others are of no use without it.
        if (order->second.open == 0 || std::holds_alternative<Gateway::PieceFailure>(step.end.outcome)) {
            ended.insert(step.order);
        }
    }
    free(unwanted);
    for (const Gateway::OrderId &id : ended) {
        finish(id);
    }
}

void PieceBroker::finish(Gateway::OrderId id)
{
    const auto found = m_orders.find(id);
    if (found == m_orders.end()) {
        return;
    }
    const Order order = std::move(found->second);
    m_orders.erase(found);
    if (!order.owner) {
        pool(order.work.service).withdraw(id);
    }
    order.done(order.ends);
}

void PieceBroker::wakeLater()
{
    if (std::exchange(m_isWaking, true)) {
        return;
    }
    m_wakeTimer.expires_after(WAKE_INTERVAL);
    m_wakeTimer.async_wait([this](const boost::system::error_code &error) {
        m_isWaking = false;
        if (!error) {
            pumpAll();
        }
    });
}

void PieceBroker::freeLater()
{
    if (std::exchange(m_isFreeing, true)) {
        return;
    }
    m_freeTimer.expires_after(FREE_INTERVAL);
    m_freeTimer.async_wait([this](const boost::system::error_code &error) {
        m_isFreeing = false;
        if (!error) {
            sendFrees();
        }
    });
}

// The daemon that gathers the pieces of a service must know how much room its targets have.
void PieceBroker::sendFrees()
{
    for (const auto &[service, results] : std::exchange(m_frees, {})) {
        const std::optional<Gateway::Member> owner = m_members.owner(service);
        if (owner) {
            sendFreesToOwner(*owner, service, results);
        } else {
            freeHere(results);
        }
    }
}

void PieceBroker::sendFreesToOwner(const Gateway::Member &owner,
                                   const Gateway::ServiceName &service,
                                   const std::vector<Gateway::StageResult> &results)
{
    Schema::FreedResults message;
    message.service = service.value();
    for (const Gateway::StageResult &result : results) {
        message.results.push_back({ result.handle, result.target.value() });
    }
    Net::HttpCallRequest request = peerRequest(owner.endpoint, FREES_PATH, Schema::toCbor(message));
    request.deadline = std::chrono::steady_clock::now() + FREE_PATIENCE;
    Net::HttpCallHandlers handlers;
    handlers.onFailed = [this, service = service, results](Net::CallFailure, const std::string &reason) {
        m_log.write("frees not passed on", { { "service", service.value() }, { "reason", reason } }, std::chrono::steady_clock::now());
        freeHere(results);
    };
    m_peerClient.send(std::move(request), std::move(handlers));
}

// A target that does not hear of it drops the results after a while; until then their room is not used again.
void PieceBroker::freeHere(const std::vector<Gateway::StageResult> &results)
{
    std::map<TargetId, std::vector<Gateway::StageResult>> byTarget;
    for (const Gateway::StageResult &result : results) {
        byTarget[result.target].push_back(result);
    }
    for (auto &[target, freed] : byTarget) {
        const std::optional<Gateway::TargetRecord> record = m_targets.find(target);
        if (!record) {
            continue;
        }
        std::vector<std::string> handles;
        for (const Gateway::StageResult &result : freed) {
            handles.push_back(result.handle);
        }
        Net::HttpCallRequest request = toCallRequest(record->endpoint, m_port.freeRequest(handles));
        request.deadline = std::chrono::steady_clock::now() + FREE_PATIENCE;
        Net::HttpCallHandlers handlers;
        handlers.onFinished = [this, service = record->service, freed = std::move(freed)] { onFreed(service, freed); };
        handlers.onFailed = [this, id = target](Net::CallFailure, const std::string &reason) {
            m_log.write("results not freed", { { "target", id.value() }, { "reason", reason } }, std::chrono::steady_clock::now());
        };
        m_targetClient.send(std::move(request), std::move(handlers));
    }
}

// Only now may the target be given more: a call that overtook the freeing found no room.
void PieceBroker::onFreed(const Gateway::ServiceName &service, const std::vector<Gateway::StageResult> &results)
{
    for (const Gateway::StageResult &result : results) {
        pool(service).release(result);
    }
    pump(service);
}

} // namespace CassiaRelay::GatewayDaemon
