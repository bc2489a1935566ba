#include "ratelimitsimulation.h"

namespace CassiaRelay::Gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds STEP { 10 };
constexpr milliseconds GREETING_INTERVAL { 300 };
constexpr milliseconds RESPONSE_TIME { 40 };
constexpr int MAX_VMS = 380;
const ServiceName SERVICE("engine");

Endpoint endpointOf(int vm)
{
    return { "10.0.0.1", static_cast<std::uint16_t>(1000 + vm) };
}

} // namespace

RateLimitSimulation::RateLimitSimulation(int vmCount, int targetCount)
{
    for (int number = 0; number < targetCount; ++number) {
        m_targets.push_back({ Samples::target("t" + std::to_string(number), SERVICE.value()), {}, 0 });
    }
    m_vms.resize(static_cast<std::size_t>(vmCount));
    for (int vm = 0; vm < vmCount; ++vm) {
        start(vm);
    }
    // The fleet has been running for long: all daemons know each other.
    for (int from = 0; from < vmCount; ++from) {
        for (int to = 0; to < vmCount; ++to) {
            connect(from, to);
        }
    }
    for (int vm = 0; vm < vmCount; ++vm) {
        updateShares(vm);
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
    for (Vm &vm : m_vms) {
        if (vm.isAlive) {
            vm.targets->remove(old);
            vm.targets->put(replaced.record, m_now);
        }
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
        for (int vm = 0; vm < static_cast<int>(m_vms.size()); ++vm) {
            // Each daemon has a phase of its own.
            const auto phase = (m_now - Samples::START) / STEP + vm;
            const Vm &self = m_vms[static_cast<std::size_t>(vm)];
            if (self.isAlive && !self.isFrozen && phase % (GREETING_INTERVAL / STEP) == 0) {
                exchangeGreetings(vm);
            }
        }
        for (; m_nextRequestAt <= m_now;
             m_nextRequestAt += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / m_requestRate))) {
            sendRequest(static_cast<int>(m_random() % m_vms.size()));
        }
    }
}

void RateLimitSimulation::kill(int vm)
{
    m_vms.at(static_cast<std::size_t>(vm)).isAlive = false;
}

void RateLimitSimulation::start(int vm)
{
    if (vm >= static_cast<int>(m_vms.size())) {
        m_vms.resize(static_cast<std::size_t>(vm) + 1);
    }
    Vm &started = m_vms[static_cast<std::size_t>(vm)];
    started.isAlive = true;
    started.isFrozen = false;
    started.members = std::make_unique<Members>(vmId(vm), endpointOf(vm));
    started.members->setSeeds({ endpointOf(0), endpointOf(1), endpointOf(2) });
    if (m_vms.size() == 1) {
        started.members->setSeeds({ endpointOf(0) });
    }
    started.targets =
        std::make_unique<TargetRegistry>(ColdLimits {}, std::unordered_map<FailureDomain, Region> {}, static_cast<std::uint64_t>(vm));
    for (const SimulatedTarget &target : m_targets) {
        started.targets->put(target.record, m_now);
    }
    started.targets->rateLimits().setShareFunction(
        [members = started.members.get()](const ServiceName &service) { return members->ownedShare(service, MAX_VMS); }, m_now);
}

void RateLimitSimulation::freeze(int vm)
{
    m_vms.at(static_cast<std::size_t>(vm)).isFrozen = true;
}

void RateLimitSimulation::resume(int vm)
{
    m_vms.at(static_cast<std::size_t>(vm)).isFrozen = false;
}

void RateLimitSimulation::split(std::map<int, int> partOfVm)
{
    m_partOfVm = std::move(partOfVm);
}

int RateLimitSimulation::issuer() const
{
    const std::optional<Member> owner = m_vms.front().members->owner(SERVICE);
    return owner ? vmOf(owner->vm) : 0;
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

VmId RateLimitSimulation::vmId(int vm) const
{
    return VmId("vm-" + std::to_string(vm));
}

bool RateLimitSimulation::reaches(int from, int to) const
{
    const Vm &sender = m_vms[static_cast<std::size_t>(from)];
    const Vm &receiver = m_vms[static_cast<std::size_t>(to)];
    if (!sender.isAlive || !receiver.isAlive || receiver.isFrozen) {
        return false;
    }
    const auto senderPart = m_partOfVm.find(from);
    const auto receiverPart = m_partOfVm.find(to);
    return senderPart == m_partOfVm.end() || receiverPart == m_partOfVm.end() || senderPart->second == receiverPart->second;
}

int RateLimitSimulation::vmOf(const VmId &id) const
{
    return std::stoi(id.value().substr(3));
}

void RateLimitSimulation::connect(int from, int to)
{
    if (from != to) {
        m_vms[static_cast<std::size_t>(to)].members->onGreeting({ vmId(from), endpointOf(from), 1, false }, {}, m_now);
    }
}

void RateLimitSimulation::exchangeGreetings(int from)
{
    Vm &self = m_vms[static_cast<std::size_t>(from)];
    const bool isChanged = !self.members->expire(m_now).empty();
    for (const Endpoint &endpoint : self.members->endpointsToGreet(m_now)) {
        const int to = endpoint.port - 1000;
        if (to < static_cast<int>(m_vms.size()) && reaches(from, to)) {
            greet(from, to);
            greet(to, from);
        }
    }
    if (isChanged) {
        updateShares(from);
    }
}

void RateLimitSimulation::greet(int from, int to)
{
    Vm &sender = m_vms[static_cast<std::size_t>(from)];
    Vm &receiver = m_vms[static_cast<std::size_t>(to)];
    std::vector<Endpoint> known;
    if (receiver.members->count() < sender.members->count()) {
        for (const Member &member : sender.members->alive()) {
            known.push_back(member.endpoint);
        }
    }
    const Member member { vmId(from), endpointOf(from), 1, false };
    for (const RateLimitReport &report : sender.targets->rateLimits().newestReports(32)) {
        receiver.targets->rateLimits().merge(report, m_now);
    }
    if (receiver.members->onGreeting(member, known, m_now)) {
        updateShares(to);
    }
}

void RateLimitSimulation::exchangePermits(int vm, const ServiceName &service)
{
    Vm &self = m_vms[static_cast<std::size_t>(vm)];
    TargetRateLimits &limits = self.targets->rateLimits();
    const std::optional<Member> owner = self.members->owner(service);
    if (!owner || !limits.canRequestPermits(service, m_now)) {
        return;
    }
    self.members->follow(owner->vm, m_now);
    const int issuer = vmOf(owner->vm);
    int received = 0;
    const std::vector<RequestPermits> unused = limits.takeUnusedPermits(service, m_now);
    if (reaches(vm, issuer)) {
        TargetRegistry &targets = *m_vms[static_cast<std::size_t>(issuer)].targets;
        for (const RateLimitReport &report : limits.reports(service)) {
            targets.rateLimits().merge(report, m_now);
        }
        targets.rateLimits().takeBack(unused, m_now);
        const std::vector<TargetRecord> usable = targets.usableTargets(service, m_now);
        for (const RequestPermits &permits : targets.rateLimits().issue(usable, limits.wantedPermits(service, m_now), m_now)) {
            limits.addPermits(permits, m_now);
            received += permits.count;
        }
        for (const RateLimitReport &report : targets.rateLimits().reports(service)) {
            limits.merge(report, m_now);
        }
        self.members->onHeard(owner->vm, m_now);
    }
    limits.onPermitsAnswered(service, received, self.members->count(), m_now);
}

void RateLimitSimulation::sendRequest(int vm)
{
    Vm &self = m_vms[static_cast<std::size_t>(vm)];
    if (!self.isAlive || self.isFrozen) {
        return;
    }
    TargetRequirements requirements;
    requirements.service = SERVICE;
    requirements.mayRequestPermits = true;
    TargetChoice choice = self.targets->choose(requirements, m_now);
    if (const auto *needed = std::get_if<PermitsNeeded>(&choice)) {
        requirements.preferredTarget = needed->best;
        exchangePermits(vm, SERVICE);
        requirements.mayRequestPermits = false;
        choice = self.targets->choose(requirements, m_now);
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
        Vm &vm = m_vms[static_cast<std::size_t>(response.vm)];
        if (response.at > m_now || vm.isFrozen) {
            pending.push_back(response);
        } else if (vm.isAlive) {
            vm.targets->finishAttempt(response.target.id, AttemptResult::Succeeded, 0, m_now);
            vm.targets->setRateLimit(response.target, response.statement, m_now);
        }
    }
    m_responses.insert(m_responses.end(), pending.begin(), pending.end());
}

void RateLimitSimulation::updateShares(int vm)
{
    m_vms[static_cast<std::size_t>(vm)].targets->rateLimits().updateShares(m_now);
}

} // namespace CassiaRelay::Gateway
