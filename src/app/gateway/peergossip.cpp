#include "peergossip.h"

#include "callrequests.h"
#include "permitmessages.h"
#include "targetreportmessages.h"

namespace CassiaRelay::GatewayDaemon {

namespace {

constexpr std::chrono::milliseconds GREETING_INTERVAL { 300 };        // a daemon counts as lost after 1 s without a greeting
constexpr std::chrono::milliseconds GREETING_REQUEST_TIMEOUT { 500 }; // slow machines respond late, but before they count as lost after 1 s

constexpr std::size_t MAX_RATE_LIMITS = 32; // in a greeting; targets in need are few at a time

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::optional<Duration> fromMilliseconds(const std::optional<std::int64_t> &milliseconds)
{
    return milliseconds ? std::optional<Duration>(std::chrono::milliseconds(*milliseconds)) : std::nullopt;
}

Schema::SuspectReport toMessage(const Gateway::SuspectReport &report)
{
    Schema::SuspectReport message;
    message.fingerprint = static_cast<std::int64_t>(report.fingerprint.value());
    if (report.isPart) {
        message.part = true;
    }
    for (const Gateway::SuspectReport::Crash &crash : report.crashes) {
        message.runs.push_back(static_cast<std::int64_t>(crash.run.value()));
        message.ageMs.push_back(toMilliseconds(crash.age));
    }
    message.seenMs = toMilliseconds(report.seenAge);
    message.trials = report.trials;
    if (report.completedAge) {
        message.completedMs = toMilliseconds(*report.completedAge);
    }
    if (report.trialAge) {
        message.trialMs = toMilliseconds(*report.trialAge);
    }
    return message;
}

Gateway::SuspectReport fromMessage(const Schema::SuspectReport &message)
{
    Gateway::SuspectReport report;
    report.fingerprint = Fingerprint(static_cast<std::uint64_t>(message.fingerprint));
    report.isPart = message.part.value_or(false);
    for (std::size_t index = 0; index < std::min(message.runs.size(), message.ageMs.size()); ++index) {
        report.crashes.push_back(
            { Gateway::TargetRun(static_cast<std::uint64_t>(message.runs[index])), std::chrono::milliseconds(message.ageMs[index]) });
    }
    report.completedAge = fromMilliseconds(message.completedMs);
    report.seenAge = std::chrono::milliseconds(message.seenMs);
    report.trials = static_cast<int>(message.trials);
    report.trialAge = fromMilliseconds(message.trialMs);
    return report;
}

} // namespace

PeerGossip::PeerGossip(boost::asio::io_context &context,
                       Net::HttpClient &client,
                       VmId self,
                       Endpoint endpoint,
                       FailureDomain failureDomain,
                       double capacity,
                       Gateway::Members &members,
                       Gateway::CrashTracker &crashes,
                       Gateway::TargetRegistry &targets,
                       PermitBroker &permitBroker,
                       PieceBroker &pieceBroker,
                       Metrics::Registry &metrics,
                       EventLog &log,
                       ChangeHandler onChange)
    : m_client(client)
    , m_self(std::move(self))
    , m_endpoint(std::move(endpoint))
    , m_failureDomain(std::move(failureDomain))
    , m_capacity(capacity)
    , m_incarnation(newIncarnation())
    , m_members(members)
    , m_crashes(crashes)
    , m_targets(targets)
    , m_permitBroker(permitBroker)
    , m_pieceBroker(pieceBroker)
    , m_log(log)
    , m_sentCounter(metrics.counter("cassiarelay_greetings_sent_total"))
    , m_byteCounter(metrics.counter("cassiarelay_greeting_bytes_sent_total"))
    , m_onChange(std::move(onChange))
    , m_timer(context)
{
}

void PeerGossip::start()
{
    sendGreetings();
}

void PeerGossip::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void PeerGossip::announceLeaving()
{
    m_isLeaving = true;
    m_members.setLeaving();
    for (const Gateway::Member &member : m_members.alive()) {
        sendGreeting(member.endpoint);
    }
}

void PeerGossip::handleGreeting(const Net::HttpExchangePointer &exchange)
{
    Net::HttpResponse response;
    response.contentType = "application/cbor";
    try {
        response.body = localGreeting(onGreeting(exchange->request().body()));
        m_byteCounter.add(response.body.size());
    } catch (const std::exception &error) {
        m_log.write("invalid greeting", { { "reason", error.what() } }, std::chrono::steady_clock::now());
        response.status = 400;
    }
    exchange->respond(std::move(response));
}

void PeerGossip::sendGreetings()
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    const std::vector<Gateway::Member> lost = m_members.expire(now);
    for (const Gateway::Member &member : lost) {
        m_log.write("peer lost", { { "vm", member.vm.value() }, { "address", member.endpoint.text() } }, now);
    }
    m_crashes.expire(now);
    for (const Endpoint &endpoint : m_members.endpointsToGreet(now)) {
        sendGreeting(endpoint);
    }
    if (!lost.empty()) {
        m_onChange();
    }
    m_timer.expires_after(GREETING_INTERVAL);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error && !m_isStopped) {
            sendGreetings();
        }
    });
}

void PeerGossip::sendGreeting(const Endpoint &endpoint)
{
    const std::string key = endpoint.text();
    if (!m_pendingGreetings.insert(key).second) {
        return;
    }
    std::string greeting = localGreeting({ endpoint, m_members.bansHashOf(endpoint) });
    m_sentCounter.add();
    m_byteCounter.add(greeting.size());
    Net::HttpCallRequest request = peerRequest(endpoint, PATH, std::move(greeting));
    request.deadline = std::chrono::steady_clock::now() + GREETING_REQUEST_TIMEOUT;
    request.connectTimeout = GREETING_REQUEST_TIMEOUT;
    auto body = std::make_shared<std::string>();
    Net::HttpCallHandlers handlers;
    handlers.onBody = [body](const std::string &part) { *body += part; };
    handlers.onFinished = [this, body, key] {
        m_pendingGreetings.erase(key);
        try {
            onGreeting(*body);
        } catch (const std::exception &error) {
            m_log.write("invalid greeting", { { "from", key }, { "reason", error.what() } }, std::chrono::steady_clock::now());
        }
    };
    handlers.onFailed = [this, key](Net::CallFailure, const std::string &) { m_pendingGreetings.erase(key); };
    m_client.send(std::move(request), std::move(handlers));
}

std::string PeerGossip::localGreeting(const Receiver &receiver)
{
    Schema::Greeting greeting;
    greeting.vm = m_self.value();
    greeting.address = m_endpoint.text();
    greeting.incarnation = static_cast<std::int64_t>(m_incarnation.value());
    greeting.leaving = m_isLeaving;
    greeting.capacity = m_capacity;
    greeting.knownHash = static_cast<std::int64_t>(m_members.knownDaemonsHash());
    for (const Endpoint &endpoint : m_members.daemonsToName(receiver.endpoint)) {
        greeting.known.push_back(endpoint.text());
    }
    greeting.domain = m_failureDomain.value();
    if (!m_members.blockedServices().empty()) {
        greeting.blocked.emplace();
        for (const Gateway::ServiceName &service : m_members.blockedServices()) {
            greeting.blocked->push_back(service.value());
        }
    }
    const MonotonicTime now = std::chrono::steady_clock::now();
    greeting.bansHash = static_cast<std::int64_t>(m_crashes.bansHash(now));
    const bool knowsNoBans = *greeting.bansHash != 0 && receiver.bansHash == std::optional<std::uint64_t>(0);
    if (m_members.takeEvidenceTurn(receiver.endpoint, now) || knowsNoBans) {
        std::vector<Schema::SuspectReport> suspects;
        for (const Gateway::SuspectReport &report : m_crashes.takeReports(receiver.bansHash, now)) {
            suspects.push_back(toMessage(report));
        }
        if (!suspects.empty()) {
            greeting.suspects = std::move(suspects);
        }
    }
    std::vector<Schema::TargetRateLimit> limits;
    for (const Gateway::RateLimitReport &report : m_targets.rateLimits().newestReports(MAX_RATE_LIMITS)) {
        limits.push_back(toMessage(report, now));
    }
    if (!limits.empty()) {
        greeting.limits = std::move(limits);
    }
    if (const std::vector<Gateway::TargetReport> targets = m_targets.relevantReports(now); !targets.empty()) {
        greeting.targets = toMessage(targets, now);
    }
    if (std::vector<Schema::ServiceLoad> loads = m_pieceBroker.ownLoads(); !loads.empty()) {
        greeting.loads = std::move(loads);
    }
    return Schema::toCbor(greeting);
}

PeerGossip::Receiver PeerGossip::onGreeting(std::string_view bytes)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    const auto greeting = Schema::parseBoundedCbor(bytes).get<Schema::Greeting>();
    Gateway::Member member { VmId(greeting.vm), Endpoint::parse(greeting.address), greeting.incarnation, greeting.leaving };
    member.capacity = greeting.capacity.value_or(member.capacity);
    if (greeting.knownHash) {
        member.knownDaemonsHash = static_cast<std::uint64_t>(*greeting.knownHash);
    }
    if (greeting.bansHash) {
        member.bansHash = static_cast<std::uint64_t>(*greeting.bansHash);
    }
    member.takesHandovers = greeting.domain.has_value();
    member.failureDomain = FailureDomain(greeting.domain.value_or(std::string()));
    for (const std::string &service : greeting.blocked.value_or(std::vector<std::string>())) {
        member.blockedServices.insert(Gateway::ServiceName(service));
    }
    std::vector<Endpoint> known;
    for (const std::string &address : greeting.known) {
        known.push_back(Endpoint::parse(address));
    }
    std::vector<Gateway::SuspectReport> suspects;
    for (const Schema::SuspectReport &report : greeting.suspects.value_or(std::vector<Schema::SuspectReport>())) {
        suspects.push_back(fromMessage(report));
    }
    m_crashes.merge(suspects, now);
    for (const Schema::TargetRateLimit &limit : greeting.limits.value_or(std::vector<Schema::TargetRateLimit>())) {
        m_permitBroker.onReport(fromMessage(limit, now), member.vm);
    }
    if (greeting.targets) {
        for (const Gateway::TargetReport &report : fromMessage(*greeting.targets, now)) {
            m_targets.applyReport(report, now);
        }
    }
    m_pieceBroker.onLoads(greeting.loads.value_or(std::vector<Schema::ServiceLoad>()));
    if (m_members.onGreeting(member, known, now)) {
        m_log.write("peer changed",
                    { { "vm", member.vm.value() },
                      { "address", member.endpoint.text() },
                      { "incarnation", std::to_string(member.incarnation) },
                      { "leaving", member.isLeaving ? "yes" : "no" },
                      { "blocked_services", std::to_string(member.blockedServices.size()) } },
                    now);
        m_onChange();
    }
    return { member.endpoint, member.bansHash };
}

} // namespace CassiaRelay::GatewayDaemon
