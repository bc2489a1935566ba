#include "permitbroker.h"

#include "callrequests.h"
#include "permitmessages.h"

#include <boost/asio/post.hpp>

namespace CassiaRelay::GatewayDaemon {

namespace {

constexpr unsigned STATUS_OK = 200;
constexpr unsigned STATUS_BAD_REQUEST = 400;
constexpr std::chrono::milliseconds REQUEST_TIMEOUT { 200 }; // the caller waits meanwhile; peers respond within a few milliseconds

std::string rateText(const std::optional<double> &perSecond)
{
    return perSecond ? std::to_string(*perSecond) : "none";
}

} // namespace

PermitBroker::PermitBroker(boost::asio::io_context &context,
                           Net::HttpClient &peerClient,
                           Gateway::TargetRegistry &targets,
                           Gateway::Members &members,
                           Metrics::Registry &metrics,
                           EventLog &log)
    : m_context(context)
    , m_peerClient(peerClient)
    , m_targets(targets)
    , m_members(members)
    , m_log(log)
    , m_requestCounter(metrics.counter("cassiarelay_permit_requests_total"))
    , m_receivedCounter(metrics.counter("cassiarelay_permits_received_total"))
    , m_issuedCounter(metrics.counter("cassiarelay_permits_issued_total"))
{
}

void PermitBroker::request(const Gateway::ServiceName &service, DoneHandler onDone)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    ServiceState &state = m_services[service];
    const std::optional<Gateway::Member> issuer = m_members.owner(service);
    if (!issuer || (!state.isWaiting && !m_targets.rateLimits().canRequestPermits(service, now))) {
        boost::asio::post(m_context, [onDone = std::move(onDone), outcome = issuer ? "none left" : "issued here"] { onDone(outcome); });
        return;
    }
    state.onDone.push_back(std::move(onDone));
    if (!state.isWaiting) {
        sendRequest(service, *issuer);
    }
}

void PermitBroker::onRateLimit(const Gateway::TargetRecord &target, const Gateway::RateLimitStatement &statement)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    const std::optional<double> before = m_targets.rateLimits().perSecond(target.id, target.startedAt);
    m_targets.setRateLimit(target, statement, now);
    logChange({ target.id, target.startedAt, target.service, statement.perSecond, now }, before, "response");
}

void PermitBroker::onReport(const Gateway::RateLimitReport &report, const VmId &source)
{
    Gateway::TargetRateLimits &limits = m_targets.rateLimits();
    const std::optional<double> before = limits.perSecond(report.target, report.startedAt);
    limits.merge(report, std::chrono::steady_clock::now());
    logChange(report, before, source.value());
}

void PermitBroker::handleRequest(const Net::HttpExchangePointer &exchange)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    Net::HttpResponse response;
    response.contentType = "application/cbor";
    try {
        const auto message = Schema::parseBoundedCbor(exchange->request().body()).get<Schema::PermitRequest>();
        const Gateway::ServiceName service(message.service);
        for (const Schema::TargetRateLimit &limit : message.limits) {
            onReport(fromMessage(limit, now), VmId(message.vm));
        }
        std::vector<Gateway::RequestPermits> returned;
        for (const Schema::TargetPermits &permits : message.returned) {
            returned.push_back(fromMessage(permits));
        }
        Gateway::TargetRateLimits &limits = m_targets.rateLimits();
        Schema::PermitGrant grant;
        int issued = 0;
        limits.takeBack(returned, now);
        for (const Gateway::RequestPermits &permits :
             limits.issue(m_targets.usableTargets(service, now), static_cast<int>(message.wanted), now)) {
            issued += permits.count;
            grant.permits.push_back(toMessage(permits));
        }
        for (const Gateway::RateLimitReport &report : limits.reports(service)) {
            grant.limits.push_back(toMessage(report, now));
        }
        m_issuedCounter.add(static_cast<std::uint64_t>(issued));
        m_log.write("permits issued",
                    { { "vm", message.vm },
                      { "service", message.service },
                      { "wanted", std::to_string(message.wanted) },
                      { "returned", std::to_string(returned.size()) },
                      { "issued", std::to_string(issued) } },
                    now);
        response.body = Schema::toCbor(grant);
    } catch (const std::exception &error) {
        m_log.write("invalid permit request", { { "reason", error.what() } }, now);
        response.status = STATUS_BAD_REQUEST;
    }
    exchange->respond(std::move(response));
}

void PermitBroker::onMembersChanged()
{
    m_targets.rateLimits().updateShares(std::chrono::steady_clock::now());
}

void PermitBroker::sendRequest(const Gateway::ServiceName &service, const Gateway::Member &issuer)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    ServiceState &state = m_services[service];
    state.isWaiting = true;
    m_members.follow(issuer.vm, now);
    m_requestCounter.add();
    Gateway::TargetRateLimits &limits = m_targets.rateLimits();
    Schema::PermitRequest message;
    message.vm = m_members.self().value();
    message.service = service.value();
    message.wanted = std::max(limits.wantedPermits(service, now), static_cast<int>(state.onDone.size()));
    for (const Gateway::RequestPermits &permits : limits.takeUnusedPermits(service, now)) {
        message.returned.push_back(toMessage(permits));
    }
    for (const Gateway::RateLimitReport &report : limits.reports(service)) {
        message.limits.push_back(toMessage(report, now));
    }
    Net::HttpCallRequest request = peerRequest(issuer.endpoint, PATH, Schema::toCbor(message));
    request.deadline = now + REQUEST_TIMEOUT;
    auto status = std::make_shared<unsigned>(0);
    auto body = std::make_shared<std::string>();
    Net::HttpCallHandlers handlers;
    handlers.onHead = [status](const Net::HttpCallHead &head) { *status = head.status; };
    handlers.onBody = [body](const std::string &part) { *body += part; };
    handlers.onFinished = [this, service, vm = issuer.vm, status, body] { onResponse(service, vm, *status, *body); };
    handlers.onFailed = [this, service](Net::CallFailure, const std::string &reason) { finish(service, 0, reason); };
    m_peerClient.send(std::move(request), std::move(handlers));
}

void PermitBroker::onResponse(const Gateway::ServiceName &service, const VmId &issuer, unsigned status, const std::string &body)
{
    if (status != STATUS_OK) {
        finish(service, 0, "status " + std::to_string(status));
        return;
    }
    const MonotonicTime now = std::chrono::steady_clock::now();
    int received = 0;
    try {
        const auto grant = Schema::parseBoundedCbor(body).get<Schema::PermitGrant>();
        for (const Schema::TargetRateLimit &limit : grant.limits) {
            onReport(fromMessage(limit, now), issuer);
        }
        for (const Schema::TargetPermits &message : grant.permits) {
            const Gateway::RequestPermits permits = fromMessage(message);
            m_targets.rateLimits().addPermits(permits, now);
            received += permits.count;
        }
    } catch (const std::exception &error) {
        finish(service, 0, error.what());
        return;
    }
    m_members.onHeard(issuer, now);
    m_receivedCounter.add(static_cast<std::uint64_t>(std::max(0, received)));
    finish(service, received, "received=" + std::to_string(received) + " issuer=" + issuer.value());
}

void PermitBroker::finish(const Gateway::ServiceName &service, int received, const std::string &outcome)
{
    ServiceState &state = m_services[service];
    state.isWaiting = false;
    m_targets.rateLimits().onPermitsAnswered(service, received, m_members.count(), std::chrono::steady_clock::now());
    for (const DoneHandler &onDone : std::exchange(state.onDone, {})) {
        onDone(outcome);
    }
}

void PermitBroker::logChange(const Gateway::RateLimitReport &report, const std::optional<double> &before, const std::string &source)
{
    const std::optional<double> after = m_targets.rateLimits().perSecond(report.target, report.startedAt);
    if (before == after) {
        return;
    }
    const MonotonicTime now = std::chrono::steady_clock::now();
    m_log.write("target rate limit",
                { { "target", report.target.value() },
                  { "service", report.service.value() },
                  { "per_second", rateText(after) },
                  { "before", rateText(before) },
                  { "age_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - report.statedAt).count()) },
                  { "source", source } },
                now);
}

} // namespace CassiaRelay::GatewayDaemon
