#include "placementbroker.h"

#include "callrequests.h"
#include "placementmessages.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace CassiaRelay::GatewayDaemon {

namespace {

constexpr unsigned STATUS_OK = 200;
constexpr unsigned STATUS_BAD_REQUEST = 400;
constexpr unsigned STATUS_NOT_FOUND = 404;
// An answer takes a few milliseconds; a request loses no more than this when its owner is gone.
constexpr std::chrono::milliseconds ORDER_TIMEOUT { 60 };
constexpr std::chrono::milliseconds REPORT_TIMEOUT { 1000 };
constexpr std::chrono::milliseconds MIN_REPORT_INTERVAL { 200 };
// Keeps the messages that an owner receives below 350 per second, however many daemons there are.
constexpr std::chrono::milliseconds REPORT_INTERVAL_PER_DAEMON { 3 };
// Only for placements: the owner may answer late and still schedule pieces, which a second owner would disturb.
constexpr std::chrono::seconds UNANSWERED_TIME { 1 };
constexpr std::chrono::seconds UNSUPPORTED_TIME { 10 }; // an owner of an earlier version may be replaced by then

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

PlacementBroker::PlacementBroker(boost::asio::io_context &context,
                                 Net::HttpClient &peerClient,
                                 const Gateway::TargetRegistry &targets,
                                 Gateway::Members &members,
                                 Gateway::PlacementReports &reports,
                                 const Gateway::SchedulingOptions &options,
                                 Metrics::Registry &metrics,
                                 EventLog &log)
    : m_context(context)
    , m_peerClient(peerClient)
    , m_targets(targets)
    , m_members(members)
    , m_reports(reports)
    , m_options(options)
    , m_metrics(metrics)
    , m_log(log)
    , m_orderCounter(metrics.counter("cassiarelay_placement_orders_total"))
    , m_unansweredCounter(metrics.counter("cassiarelay_placement_orders_unanswered_total"))
    , m_placedCounter(metrics.counter("cassiarelay_placements_total"))
    , m_cachedCounter(metrics.counter("cassiarelay_placements_cached_total"))
    , m_movedCounter(metrics.counter("cassiarelay_placements_out_of_domain_total"))
    , m_answerTime(metrics.histogram("cassiarelay_placement_order_seconds"))
    , m_random(stableHash(members.self().value()))
    , m_timer(context)
{
}

void PlacementBroker::start()
{
    if (m_options.placesForFleet) {
        scheduleReports();
    }
}

void PlacementBroker::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void PlacementBroker::request(const Gateway::PlacementOrder &order, DoneHandler onDone)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    m_orderCounter.add();
    const std::optional<Gateway::Member> owner = m_members.availableOwner(order.service, now);
    if (owner) {
        const auto avoided = m_avoidedUntil.find(owner->vm);
        if (avoided == m_avoidedUntil.end() || avoided->second <= now) {
            askOwner(*owner, order, onDone);
            return;
        }
        m_unansweredCounter.add();
        boost::asio::post(m_context, [onDone = std::move(onDone)] { onDone(std::nullopt); });
        return;
    }
    applyOwnReports(order.service, now);
    std::optional<Gateway::PlacedTarget> placed;
    if (const std::optional<Gateway::FleetPlacementResult> result = place(m_members.self(), order, now)) {
        placed = Gateway::PlacedTarget { std::nullopt, order.service, result->id, result->target };
    }
    boost::asio::post(m_context, [onDone = std::move(onDone), placed] { onDone(placed); });
}

void PlacementBroker::handleOrder(const Net::HttpExchangePointer &exchange)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    Net::HttpResponse response;
    response.contentType = "application/cbor";
    if (!m_options.placesForFleet) {
        response.status = STATUS_NOT_FOUND;
        exchange->respond(std::move(response));
        return;
    }
    try {
        const auto message = Schema::parseBoundedCbor(exchange->request().body()).get<Schema::PlacementOrder>();
        const VmId sender(message.vm);
        for (const Gateway::PlacementReport &report : reportsOf(message)) {
            placementOf(Gateway::ServiceName(message.service)).apply(sender, report, now);
        }
        Schema::PlacementAnswer answer;
        if (message.tokens) {
            const std::optional<Gateway::FleetPlacementResult> result = place(sender, fromMessage(message, now), now);
            if (result) {
                answer.target = result->target.value();
                answer.placement = static_cast<std::int64_t>(result->id.value());
            }
        }
        response.body = Schema::toCbor(answer);
    } catch (const std::exception &error) {
        m_log.write("invalid placement order", { { "reason", error.what() } }, now);
        response.status = STATUS_BAD_REQUEST;
    }
    exchange->respond(std::move(response));
}

// A daemon that has just started may send orders before this one has heard of it, so only known daemons can be lost.
void PlacementBroker::removeExpired()
{
    if (!m_options.placesForFleet) {
        return;
    }
    const MonotonicTime now = std::chrono::steady_clock::now();
    std::set<VmId> alive;
    for (const Gateway::Member &member : m_members.alive()) {
        alive.insert(member.vm);
    }
    for (const VmId &vm : std::exchange(m_knownDaemons, alive)) {
        if (alive.count(vm) > 0) {
            continue;
        }
        for (auto &[service, placement] : m_placements) {
            placement.removeSender(vm, now);
        }
        m_owners.erase(vm);
        m_avoidedUntil.erase(vm);
    }
    for (auto &[service, placement] : m_placements) {
        placement.removeExpired(now);
    }
}

void PlacementBroker::updateGauges()
{
    if (!m_options.placesForFleet) {
        return;
    }
    std::size_t running = 0;
    std::size_t slow = 0;
    for (const auto &[service, placement] : m_placements) {
        running += placement.runningRequests();
        slow += placement.slowTargets();
    }
    m_metrics.gauge("cassiarelay_placements_running").set(static_cast<std::int64_t>(running));
    m_metrics.gauge("cassiarelay_placement_targets_slow").set(static_cast<std::int64_t>(slow));
    m_metrics.gauge("cassiarelay_placement_targets_unusable").set(static_cast<std::int64_t>(m_reports.unusableTargets()));
}

Gateway::FleetPlacement &PlacementBroker::placementOf(const Gateway::ServiceName &service)
{
    const auto known = m_placements.find(service);
    if (known != m_placements.end()) {
        return known->second;
    }
    const Duration delay = m_options.spillover ? m_options.spillover->transferDelayPerMegabyte : Duration::zero();
    return m_placements.emplace(service, Gateway::FleetPlacement(delay)).first->second;
}

std::optional<Gateway::FleetPlacementResult> PlacementBroker::place(const VmId &sender,
                                                                    const Gateway::PlacementOrder &order,
                                                                    MonotonicTime now)
{
    const std::vector<const Gateway::TargetRecord *> targets = m_targets.placementTargets(order.service, order.allowedRegions, now);
    std::optional<Gateway::FleetPlacementResult> result = placementOf(order.service).place(sender, order, targets, m_random, now);
    if (!result) {
        return result;
    }
    m_placedCounter.add();
    m_cachedCounter.add(result->isCached ? 1 : 0);
    const std::optional<Gateway::TargetRecord> record = m_targets.find(result->target);
    const bool isMoved = order.inputDomain && record && record->failureDomain != *order.inputDomain;
    m_movedCounter.add(isMoved ? 1 : 0);
    // At most hundreds of streams per second are placed, so only the unusual ones are logged by default.
    if (isMoved || m_log.isDebug()) {
        m_log.write("stream placed",
                    { { "placement", std::to_string(result->id.value()) },
                      { "vm", sender.value() },
                      { "target", result->target.value() },
                      { "domain", record ? record->failureDomain.value() : "" },
                      { "input_domain", order.inputDomain ? order.inputDomain->value() : "none" },
                      { "tokens", std::to_string(order.promptTokens) },
                      { "cost_ms", millisecondsText(result->cost) },
                      { "lowest_ms", millisecondsText(result->lowestCost) },
                      { "running", std::to_string(result->running) },
                      { "unread_ms", millisecondsText(result->untilRead) },
                      { "pace", std::to_string(result->pace) },
                      { "cached", result->isCached ? "yes" : "no" },
                      { "candidates", std::to_string(result->candidates) } },
                    now);
    }
    return result;
}

void PlacementBroker::applyOwnReports(const Gateway::ServiceName &service, MonotonicTime now)
{
    for (const Gateway::PlacementReport &report : m_reports.take({ std::nullopt, service })) {
        placementOf(service).apply(m_members.self(), report, now);
    }
}

void PlacementBroker::askOwner(const Gateway::Member &owner, const Gateway::PlacementOrder &order, const DoneHandler &onDone)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    m_owners.insert_or_assign(owner.vm, owner.endpoint);
    m_members.follow(owner.vm, now);
    Schema::PlacementOrder message = toMessage(order, m_members.self(), now);
    addReports(message, m_reports.take({ owner.vm, order.service }));
    Net::HttpCallRequest request = peerRequest(owner.endpoint, PATH, Schema::toCbor(message));
    request.deadline = now + ORDER_TIMEOUT;
    request.connectTimeout = ORDER_TIMEOUT;
    auto status = std::make_shared<unsigned>(0);
    auto body = std::make_shared<std::string>();
    Net::HttpCallHandlers handlers;
    handlers.onHead = [status](const Net::HttpCallHead &head) { *status = head.status; };
    handlers.onBody = [body](const std::string &part) { *body += part; };
    handlers.onFinished = [this, owner, service = order.service, now, status, body, onDone] {
        m_answerTime.record(std::chrono::steady_clock::now() - now);
        onAnswer(owner, service, *status, *body, onDone);
    };
    handlers.onFailed = [this, vm = owner.vm, onDone](Net::CallFailure, const std::string &reason) { onFailed(vm, reason, onDone); };
    m_peerClient.send(std::move(request), std::move(handlers));
}

void PlacementBroker::onAnswer(
    const Gateway::Member &owner, const Gateway::ServiceName &service, unsigned status, const std::string &body, const DoneHandler &onDone)
{
    if (status == STATUS_NOT_FOUND) {
        m_avoidedUntil[owner.vm] = std::chrono::steady_clock::now() + UNSUPPORTED_TIME;
        m_unansweredCounter.add();
        onDone(std::nullopt);
        return;
    }
    if (status != STATUS_OK) {
        onFailed(owner.vm, "status " + std::to_string(status), onDone);
        return;
    }
    std::optional<Gateway::PlacedTarget> placed;
    try {
        const auto answer = Schema::parseBoundedCbor(body).get<Schema::PlacementAnswer>();
        if (answer.target && answer.placement) {
            placed = Gateway::PlacedTarget {
                owner.vm, service, Gateway::PlacementId(static_cast<std::uint64_t>(*answer.placement)), TargetId(*answer.target)
            };
        }
    } catch (const std::exception &error) {
        onFailed(owner.vm, error.what(), onDone);
        return;
    }
    onDone(placed);
}

void PlacementBroker::onFailed(const VmId &owner, const std::string &reason, const DoneHandler &onDone)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    m_unansweredCounter.add();
    m_avoidedUntil[owner] = now + UNANSWERED_TIME;
    m_log.write("placement order not answered", { { "vm", owner.value() }, { "reason", reason } }, now);
    onDone(std::nullopt);
}

void PlacementBroker::sendReports()
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    for (const Gateway::PlacementReports::Owner &owner : m_reports.owners()) {
        if (!owner.first) {
            applyOwnReports(owner.second, now);
            continue;
        }
        const std::vector<Gateway::PlacementReport> reports = m_reports.take(owner);
        const auto endpoint = m_owners.find(*owner.first);
        if (endpoint == m_owners.end()) {
            continue;
        }
        Schema::PlacementOrder message = reportMessage(owner.second, m_members.self());
        addReports(message, reports);
        Net::HttpCallRequest request = peerRequest(endpoint->second, PATH, Schema::toCbor(message));
        request.deadline = now + REPORT_TIMEOUT;
        Net::HttpCallHandlers handlers;
        handlers.onFailed = [this, vm = *owner.first](Net::CallFailure, const std::string &reason) {
            m_log.write("placement reports not sent", { { "vm", vm.value() }, { "reason", reason } }, std::chrono::steady_clock::now());
        };
        m_peerClient.send(std::move(request), std::move(handlers));
    }
}

void PlacementBroker::scheduleReports()
{
    m_timer.expires_after(std::max<Duration>(MIN_REPORT_INTERVAL, REPORT_INTERVAL_PER_DAEMON * m_members.count()));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error && !m_isStopped) {
            sendReports();
            scheduleReports();
        }
    });
}

} // namespace CassiaRelay::GatewayDaemon
