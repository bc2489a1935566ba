#include "ratelimitsimulation.h"

namespace CassiaRelay::Gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds STEP { 10 };
constexpr milliseconds RESPONSE_TIME { 40 };
constexpr int MAX_VMS = 380;
constexpr std::size_t MAX_REPORTS = 32; // in a greeting
const ServiceName SERVICE("engine");

} // namespace

RateLimitSimulation::RateLimitSimulation(int vmCount, int targetCount)
    : m_registries(static_cast<std::size_t>(vmCount))
    , m_fleet(
          vmCount, [this](int from, int to) { greet(from, to); }, m_now, [this](int vm) { targets(vm).rateLimits().updateShares(m_now); })
{
    for (int number = 0; number < targetCount; ++number) {
        m_targets.push_back({ Samples::target("t" + std::to_string(number), SERVICE.value()), {}, 0 });
    }
    for (int vm = 0; vm < vmCount; ++vm) {
        m_registries[static_cast<std::size_t>(vm)] = makeRegistry(vm);
    }
}

void RateLimitSimulation::setLimit(int target, std::optional<double> perSecond)
{
    m_targets.at(static_cast<std::size_t>(target)).check.setLimit(perSecond, m_now);
}

void RateLimitSimulation::replaceTarget(int target)
{
    SimulatedTarget &replaced = m_targets.at(static_cast<std::size_t>(target));
    const TargetId old = replaced.record.id;
    replaced.record.id = TargetId("replacement-" + std::to_string(++m_replacements));
    replaced.check = {};
    for (const std::unique_ptr<TargetRegistry> &registry : m_registries) {
        registry->remove(old);
        registry->put(replaced.record, m_now);
    }
}

void RateLimitSimulation::setRequestRate(double perSecond)
{
    m_requestRate = perSecond;
}

void RateLimitSimulation::run(Duration duration)
{
    const MonotonicTime end = m_now + duration;
    for (; m_now < end; m_now += STEP) {
        deliverResponses();
        m_fleet.exchangeGreetings(m_now);
        for (; m_nextRequestAt <= m_now;
             m_nextRequestAt += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / m_requestRate))) {
            sendRequest(static_cast<int>(m_random() % m_registries.size()));
        }
    }
}

SimulatedFleet &RateLimitSimulation::fleet()
{
    return m_fleet;
}

void RateLimitSimulation::start(int vm)
{
    m_fleet.start(vm);
    m_registries.resize(static_cast<std::size_t>(m_fleet.size()));
    m_registries[static_cast<std::size_t>(vm)] = makeRegistry(vm);
}

int RateLimitSimulation::issuer()
{
    const std::optional<Member> owner = m_fleet.members(0).owner(SERVICE);
    return owner ? SimulatedFleet::vmOf(owner->vm) : 0;
}

RateLimitOutcome RateLimitSimulation::takeOutcome()
{
    return std::exchange(m_outcome, {});
}

std::uint64_t RateLimitSimulation::overruns(int target) const
{
    return m_targets.at(static_cast<std::size_t>(target)).check.stats().at("limitOverruns");
}

std::uint64_t RateLimitSimulation::arrivals(int target) const
{
    return m_targets.at(static_cast<std::size_t>(target)).arrivals;
}

TargetRegistry &RateLimitSimulation::targets(int vm)
{
    return *m_registries.at(static_cast<std::size_t>(vm));
}

std::unique_ptr<TargetRegistry> RateLimitSimulation::makeRegistry(int vm)
{
    auto registry =
        std::make_unique<TargetRegistry>(ColdLimits {}, std::unordered_map<FailureDomain, Region> {}, static_cast<std::uint64_t>(vm));
    for (const SimulatedTarget &target : m_targets) {
        registry->put(target.record, m_now);
    }
    registry->rateLimits().setShareFunction(
        [this, vm](const ServiceName &service) { return m_fleet.members(vm).ownedShare(service, MAX_VMS); }, m_now);
    return registry;
}

void RateLimitSimulation::greet(int from, int to)
{
    for (const RateLimitReport &report : targets(from).rateLimits().newestReports(MAX_REPORTS)) {
        targets(to).rateLimits().merge(report, m_now);
    }
}

void RateLimitSimulation::exchangePermits(int vm, const ServiceName &service)
{
    Members &members = m_fleet.members(vm);
    TargetRateLimits &limits = targets(vm).rateLimits();
    const std::optional<Member> owner = members.owner(service);
    if (!owner || !limits.canRequestPermits(service, m_now)) {
        return;
    }
    members.follow(owner->vm, m_now);
    const int issuer = SimulatedFleet::vmOf(owner->vm);
    int received = 0;
    const std::vector<RequestPermits> unused = limits.takeUnusedPermits(service, m_now);
    if (m_fleet.reaches(vm, issuer)) {
        TargetRegistry &issuing = targets(issuer);
        for (const RateLimitReport &report : limits.reports(service)) {
            issuing.rateLimits().merge(report, m_now);
        }
        issuing.rateLimits().takeBack(unused, m_now);
        const std::vector<TargetRecord> usable = issuing.usableTargets(service, m_now);
        for (const RequestPermits &permits : issuing.rateLimits().issue(usable, limits.wantedPermits(service, m_now), m_now)) {
            limits.addPermits(permits, m_now);
            received += permits.count;
        }
        for (const RateLimitReport &report : issuing.rateLimits().reports(service)) {
            limits.merge(report, m_now);
        }
        members.onHeard(owner->vm, m_now);
    }
    limits.onPermitsAnswered(service, received, members.count(), m_now);
}

void RateLimitSimulation::sendRequest(int vm)
{
    if (!m_fleet.isRunning(vm)) {
        return;
    }
    TargetRequirements requirements;
    requirements.service = SERVICE;
    requirements.mayRequestPermits = true;
    TargetChoice choice = targets(vm).choose(requirements, m_now);
    if (const auto *needed = std::get_if<PermitsNeeded>(&choice)) {
        requirements.preferredTarget = needed->best;
        exchangePermits(vm, SERVICE);
        requirements.mayRequestPermits = false;
        choice = targets(vm).choose(requirements, m_now);
    }
    const auto *chosen = std::get_if<ChosenTarget>(&choice);
    if (!chosen) {
        ++m_outcome.refused;
        return;
    }
    ++m_outcome.sent;
    for (SimulatedTarget &target : m_targets) {
        if (target.record.id == chosen->record.id) {
            target.check.recordArrival(m_now);
            ++target.arrivals;
            m_responses.push_back({ vm, chosen->record, { target.check.limit() }, m_now + RESPONSE_TIME });
        }
    }
}

void RateLimitSimulation::deliverResponses()
{
    std::vector<PendingResponse> pending;
    for (const PendingResponse &response : std::exchange(m_responses, {})) {
        if (response.at > m_now || (m_fleet.isAlive(response.vm) && !m_fleet.isRunning(response.vm))) {
            pending.push_back(response);
        } else if (m_fleet.isAlive(response.vm)) {
            targets(response.vm).finishAttempt(response.target.id, AttemptResult::Succeeded, 0, m_now);
            targets(response.vm).setRateLimit(response.target, response.statement, m_now);
        }
    }
    m_responses.insert(m_responses.end(), pending.begin(), pending.end());
}

} // namespace CassiaRelay::Gateway
