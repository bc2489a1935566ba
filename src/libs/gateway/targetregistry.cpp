#include "targetregistry.h"

#include <algorithm>

namespace CassiaRelay::Gateway {

namespace {

constexpr double TOKENS_PER_RUNNING_REQUEST = 2000; // prompt tokens that slow a target down as much as one more running request
constexpr double FAILURE_PENALTY = 8;               // at a failure rate of one half, a target costs as much as with five times its load
constexpr double MAX_LATENCY_FACTOR = 8;            // a higher factor says little, because the mean then depends on a few responses
constexpr double COLD_PENALTY = 4;                  // cold targets are slower and can bear little load
constexpr double CACHE_LOAD_FACTOR = 2;             // a target with the cached prompt may cost up to this multiple of the lowest cost
constexpr double CACHE_LOAD_SLACK = 4;              // running requests by which it may exceed that multiple
constexpr double CROSS_DOMAIN_COST = 1.5;           // cost of fetching large inputs from another domain, in running requests
constexpr std::chrono::milliseconds REPORTED_LOAD_LIFETIME { 1000 }; // half of the running requests of a target end within about this time
constexpr std::chrono::milliseconds NO_TARGET_RETRY { 1000 };        // a crashed target is usually back after seconds
constexpr std::chrono::milliseconds COLD_RETRY { 500 };              // half of the window in which cold starts are counted
constexpr std::chrono::milliseconds RATE_LIMIT_RETRY { 1000 }; // targets in need are few at a time; others have capacity again by then
constexpr std::size_t MAX_IDLE_CONNECTIONS = 4;                // more are rarely reused before they expire
constexpr double IDLE_CONNECTION_SHARE = 0.5; // the rest is for connections in use; a target with a long queue accepts fewer
constexpr int MAX_STAGE_OWNERS = 12;          // that use a stage service at a time, while the fleet is split or owners change
constexpr std::chrono::milliseconds MISDIRECTION_BACKOFF { 2000 }; // an address is published anew within a few seconds
constexpr int MAX_MISDIRECTION_DOUBLINGS = 4;
constexpr std::chrono::milliseconds NO_ROOM_RETRY { 250 }; // a slot of a full target is usually free again by then
constexpr std::chrono::seconds MAX_REFUSAL_BACKOFF { 10 }; // targets are brittle for seconds
constexpr double REFUSAL_BACKOFF_FACTOR = 2;               // half of the refusals that a target bears
constexpr double BRITTLE_SHARE_FACTOR = 2;                 // the daemons do not all use their shares of a target at the same time
constexpr double SLOW_PACE = 1.25; // only counted in the metrics; a target at this pace would alone exceed the goal for the first event
constexpr std::chrono::milliseconds TRANSFER_TIME { 70 }; // two results of 800 kB from another domain at 200 Mbit/s
constexpr double COLD_RATE_SAFETY_FACTOR = 0.8;           // requests sent within one second may arrive within a shorter time

} // namespace

TargetRegistry::TargetRegistry(ColdLimits coldLimits, std::unordered_map<FailureDomain, Region> regions, std::uint64_t seed)
    : m_coldLimits(coldLimits)
    , m_regions(std::move(regions))
    , m_random(seed)
{
}

// A target that has restarted under the same id has lost its requests and its cache, so its state here is reset.
void TargetRegistry::put(const TargetRecord &record, MonotonicTime now)
{
    const auto found = m_targets.find(record.id);
    const bool isNew = found == m_targets.end() || !isSameStart(found->second.record, record);
    if (isNew) {
        remove(record.id);
        m_byService[record.service].insert(record.id);
    }
    Target &target = m_targets[record.id];
    target.record = record;
    target.coldUntil = now + record.coldFor;
}

bool TargetRegistry::isSameStart(const TargetRecord &left, const TargetRecord &right)
{
    return left.startedAt == right.startedAt && left.endpoint.port == right.endpoint.port && left.endpoint.address == right.endpoint.address
        && left.service == right.service;
}

void TargetRegistry::remove(const TargetId &id)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    m_byService[found->second.record.service].erase(id);
    m_reports.remove(id);
    m_targets.erase(found);
}

void TargetRegistry::setDomainDisabled(const FailureDomain &domain, bool isDisabled)
{
    if (isDisabled) {
        m_disabledDomains.insert(domain);
    } else {
        m_disabledDomains.erase(domain);
    }
}

void TargetRegistry::setServices(const std::vector<Service> &services)
{
    m_services.clear();
    for (const Service &service : services) {
        m_services.emplace(service.name, service);
    }
}

void TargetRegistry::setColdLimits(ColdLimits limits)
{
    m_coldLimits = limits;
}

void TargetRegistry::setVmCount(int vmCount)
{
    m_vmCount = std::max(vmCount, 1);
}

void TargetRegistry::setPlacesByExpectedFinish(bool isEnabled)
{
    m_placesByExpectedFinish = isEnabled;
}

TargetChoice TargetRegistry::choose(const TargetRequirements &requirements, MonotonicTime now)
{
    const std::vector<Target *> allowed = candidates(requirements, now);
    if (allowed.empty()) {
        const std::string version = requirements.softwareVersion ? " and runs version " + *requirements.softwareVersion : std::string();
        return NoTarget { "no target of the service may get work" + version,
                          std::max<Duration>(NO_TARGET_RETRY, untilPauseEnds(requirements.service, now)) };
    }
    std::vector<Target *> warm;
    std::vector<Target *> ready;
    bool isFull = true;
    for (Target *target : allowed) {
        if (!hasRoom(*target, now)) {
            continue;
        }
        isFull = false;
        if (!hasColdCapacity(*target, now)) {
            continue;
        }
        warm.push_back(target);
        if (m_rateLimits.canSend(target->record, now)) {
            ready.push_back(target);
        }
    }
    if (isFull) {
        return NoTarget { "all targets of the service are full, and crash when they refuse more", NO_ROOM_RETRY };
    }
    if (warm.empty()) {
        return NoTarget { "all targets of the service are cold and at their limit", COLD_RETRY };
    }
    const bool mayAsk =
        requirements.mayRequestPermits && ready.size() < warm.size() && m_rateLimits.canRequestPermits(requirements.service, now);
    if (mayAsk) {
        const TargetRecord &best = selectBest(warm, requirements, now).target->record;
        if (ready.empty() || !m_rateLimits.canSend(best, now)) {
            return PermitsNeeded { best.id };
        }
    }
    if (ready.empty()) {
        return NoTarget { "all targets of the service are at their rate limit", RATE_LIMIT_RETRY };
    }
    const Selection selection = selectBest(ready, requirements, now);
    Target &chosen = *selection.target;
    ChosenTarget choice;
    choice.placement = selection.placement;
    if (choice.placement) {
        ++m_placements;
        m_passedOver += choice.placement->passedOver;
    }
    choice.record = chosen.record;
    choice.candidates = ready.size();
    choice.cost = cost(chosen, meanLatency(ready), now);
    choice.isCold = chosen.coldUntil > now;
    recordAttemptStart(chosen, requirements.tokens, now);
    return choice;
}

std::optional<Duration> TargetRegistry::earliestStart(const TargetRequirements &requirements, MonotonicTime now)
{
    std::optional<Duration> earliest;
    for (const Target *target : candidates(requirements, now)) {
        const std::optional<Duration> start = expectedStart(*target, now);
        if (!start) {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(*start), *start);
    }
    return earliest;
}

// A response time includes the wait before it, so a new request waits no longer.
std::optional<Duration> TargetRegistry::expectedStart(const Target &target, MonotonicTime now) const
{
    const bool hasReport = target.loadReportedAt + REPORTED_LOAD_LIFETIME > now;
    const int slots = target.reportedSlots > 0 ? target.reportedSlots : target.record.slots;
    const int ahead = target.running + target.externalRunning;
    if (!hasReport || slots <= 0 || target.health.latency() == Duration::zero()) {
        return std::nullopt;
    }
    const int rounds = std::clamp(ahead - slots + 1, 0, slots);
    return target.health.latency() * rounds / slots;
}

std::optional<FailureDomain> TargetRegistry::likelyDomain(const TargetRequirements &requirements, MonotonicTime now)
{
    const std::vector<Target *> allowed = candidates(requirements, now);
    if (allowed.empty()) {
        return std::nullopt;
    }
    return selectBest(allowed, requirements, now).target->record.failureDomain;
}

bool TargetRegistry::startAttempt(const TargetId &id, std::int64_t tokens, MonotonicTime now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end() || !isAllowed(found->second, {}) || found->second.misdirectedUntil > now
        || isPaused(found->second.record, now) || !hasRoom(found->second, now) || !hasColdCapacity(found->second, now)
        || !m_rateLimits.canSend(found->second.record, now)) {
        return false;
    }
    recordAttemptStart(found->second, tokens, now);
    return true;
}

void TargetRegistry::promptProcessed(const TargetId &id, std::int64_t tokens)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        found->second.pendingPromptTokens = std::max<std::int64_t>(0, found->second.pendingPromptTokens - tokens);
    }
}

void TargetRegistry::finishAttempt(const TargetId &id, AttemptResult result, std::int64_t pendingPromptTokens, MonotonicTime now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    Target &target = found->second;
    target.running = std::max(0, target.running - 1);
    target.attempts.recordEnd(now);
    target.pendingPromptTokens = std::max<std::int64_t>(0, target.pendingPromptTokens - pendingPromptTokens);
    target.health.recordResult(result, now);
    const std::optional<double> maxRefusals = m_statements.maxRefusals(target.record.service);
    if (result == AttemptResult::Refused && maxRefusals) {
        target.refusedUntil = now + refusalBackoff(*maxRefusals);
    }
}

void TargetRegistry::addLatencySample(const TargetId &id, Duration latency)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        found->second.health.addLatencySample(latency);
    }
}

void TargetRegistry::setReportedLoad(const TargetId &id, const ReportedLoad &load, MonotonicTime now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    found->second.externalRunning = std::max(0, load.running + load.waiting - found->second.running);
    found->second.loadReportedAt = now;
    found->second.reportedSlots = load.slots;
    applyReport(
        { id, found->second.record.startedAt, TargetReport::Load { load.running, load.waiting, load.slots, load.pacePercent, now }, {} },
        now);
    // Only from responses to this daemon: other daemons report the targets that differ most.
    if (m_placesByExpectedFinish && load.pacePercent && TargetPace::isPlausible(*load.pacePercent) && found->second.pace.told(now)) {
        m_toldPaces[found->second.record.service].recordTold(*found->second.pace.told(now));
    }
}

void TargetRegistry::addWorkSample(const TargetId &id, const Work &work, Duration duration, MonotonicTime now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end() || !m_placesByExpectedFinish) {
        return;
    }
    Target &target = found->second;
    // The time of work that has waited says nothing about the pace of the target.
    const bool hasWaited = target.load && target.load->statedAt + TargetReportBoard::LOAD_LIFETIME > now && target.load->waiting > 0;
    if (hasWaited && (std::holds_alternative<PromptWork>(work) || std::holds_alternative<AnswerWork>(work))) {
        return;
    }
    const double ratio = m_usualTimes.addSample(target.record.service, work, duration);
    if (std::holds_alternative<StreamWork>(work)) {
        return;
    }
    ToldPaces &toldPaces = m_toldPaces[target.record.service];
    if (target.pace.told(now)) {
        toldPaces.recordOutcome(*target.pace.told(now), ratio / target.pace.learned(now).value_or(1));
    }
    target.pace.addSample(ratio, now, toldPaces);
    m_reports.merge({ id, target.record.startedAt, {}, TargetReport::Pace { *target.pace.learned(now), now } }, now);
}

void TargetRegistry::applyReport(const TargetReport &report, MonotonicTime now)
{
    const auto found = m_targets.find(report.target);
    if (!m_placesByExpectedFinish || found == m_targets.end() || found->second.record.startedAt != report.startedAt
        || !m_reports.merge(report, now)) {
        return;
    }
    const TargetReport &known = *m_reports.find(report.target);
    Target &target = found->second;
    target.load = known.load;
    if (known.load && known.load->toldPercent) {
        target.pace.setTold(*known.load->toldPercent, known.load->statedAt);
    }
    if (known.pace) {
        target.pace.setLearned(known.pace->learned, known.pace->measuredAt);
    }
}

std::vector<TargetReport> TargetRegistry::relevantReports(MonotonicTime now) const
{
    return m_reports.mostRelevant(TargetReportBoard::MAX_REPORTS_PER_GREETING, now);
}

void TargetRegistry::setColdTime(const TargetId &id, Duration coldFor, MonotonicTime now)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        found->second.coldUntil = now + coldFor;
    }
}

void TargetRegistry::setRateLimit(const TargetRecord &target, const RateLimitStatement &statement, MonotonicTime now)
{
    m_rateLimits.apply(target, statement, now);
}

void TargetRegistry::applyStatement(const TargetRecord &target, const TargetStatement &statement, MonotonicTime now)
{
    m_statements.apply(target, statement, now);
}

void TargetRegistry::setLeaving(const TargetRecord &target, MonotonicTime now)
{
    m_statements.setLeaving(target, now);
}

void TargetRegistry::setMisdirected(const TargetRecord &target, MonotonicTime now)
{
    const auto found = m_targets.find(target.id);
    if (found == m_targets.end() || !isSameStart(found->second.record, target) || found->second.misdirectedUntil > now) {
        return;
    }
    const int doublings = std::min(found->second.misdirections++, MAX_MISDIRECTION_DOUBLINGS);
    found->second.misdirectedUntil = now + MISDIRECTION_BACKOFF * (1 << doublings);
}

bool TargetRegistry::mayReceive(const TargetRecord &record) const
{
    const auto found = m_targets.find(record.id);
    return found != m_targets.end() && isSameStart(found->second.record, record) && isAllowed(found->second, {});
}

bool TargetRegistry::isAtItsAddress(const TargetRecord &record, MonotonicTime now) const
{
    const auto found = m_targets.find(record.id);
    return found != m_targets.end() && isSameStart(found->second.record, record) && found->second.misdirectedUntil <= now;
}

void TargetRegistry::removeExpiredStatements(MonotonicTime now)
{
    m_statements.removeExpired(now);
}

void TargetRegistry::removeExpiredReports(MonotonicTime now)
{
    m_reports.removeExpired(now);
}

std::vector<TargetRecord> TargetRegistry::usableTargets(const ServiceName &service, MonotonicTime now) const
{
    std::vector<TargetRecord> records;
    forEachUsableTarget(service, now, [&records](const TargetRecord &record) { records.push_back(record); });
    return records;
}

std::vector<const TargetRecord *> TargetRegistry::placementTargets(const ServiceName &service,
                                                                   const std::vector<Region> &regions,
                                                                   MonotonicTime now) const
{
    std::vector<const TargetRecord *> warm;
    std::vector<const TargetRecord *> cold;
    const auto ids = m_byService.find(service);
    if (ids == m_byService.end()) {
        return warm;
    }
    for (const TargetId &id : ids->second) {
        const Target &target = m_targets.at(id);
        if (isAllowed(target, regions) && !isPaused(target.record, now) && !target.health.isSuspect(now)) {
            (target.coldUntil > now ? cold : warm).push_back(&target.record);
        }
    }
    return warm.empty() ? cold : warm;
}

std::size_t TargetRegistry::usableTargetCount(const ServiceName &service, MonotonicTime now) const
{
    std::size_t count = 0;
    forEachUsableTarget(service, now, [&count](const TargetRecord &) { ++count; });
    return count;
}

std::set<FailureDomain> TargetRegistry::domainsInOrder(const ServiceName &service, MonotonicTime now) const
{
    std::set<FailureDomain> domains;
    const auto ids = m_byService.find(service);
    if (ids == m_byService.end()) {
        return domains;
    }
    for (const TargetId &id : ids->second) {
        const Target &target = m_targets.at(id);
        if (isAllowed(target, {}) && !isPaused(target.record, now) && !target.health.isSuspect(now)) {
            domains.insert(target.record.failureDomain);
        }
    }
    return domains;
}

std::vector<TargetRecord> TargetRegistry::sample(const ServiceName &service, std::size_t maxCount)
{
    std::vector<TargetRecord> records;
    const auto ids = m_byService.find(service);
    if (ids == m_byService.end()) {
        return records;
    }
    for (const TargetId &id : ids->second) {
        const Target &target = m_targets.at(id);
        if (isAllowed(target, {})) {
            records.push_back(target.record);
        }
    }
    std::shuffle(records.begin(), records.end(), m_random);
    records.resize(std::min(records.size(), maxCount));
    return records;
}

std::optional<Region> TargetRegistry::regionOf(const FailureDomain &domain) const
{
    const auto found = m_regions.find(domain);
    return found == m_regions.end() ? std::nullopt : std::optional(found->second);
}

std::optional<TargetRecord> TargetRegistry::find(const TargetId &id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? std::nullopt : std::optional(found->second.record);
}

Duration TargetRegistry::latency(const TargetId &id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? Duration::zero() : found->second.health.latency();
}

double TargetRegistry::pace(const TargetId &id, MonotonicTime now) const
{
    const auto found = m_targets.find(id);
    return !m_placesByExpectedFinish || found == m_targets.end() ? 1
                                                                 : found->second.pace.factor(now, toldPaces(found->second.record.service));
}

PlacementStatistics TargetRegistry::placementStatistics(MonotonicTime now) const
{
    PlacementStatistics statistics;
    statistics.placements = m_placements;
    statistics.passedOver = m_passedOver;
    for (const auto &[id, target] : m_targets) {
        statistics.toldTargets += target.pace.told(now) ? 1 : 0;
        statistics.learnedTargets += target.pace.learned(now) ? 1 : 0;
        statistics.slowTargets += target.pace.factor(now, toldPaces(target.record.service)) > SLOW_PACE ? 1 : 0;
    }
    return statistics;
}

std::size_t TargetRegistry::size() const
{
    return m_targets.size();
}

// All daemons together keep at most a fixed share of the connections that a target accepts, however many daemons there are. Targets of a
// stage service are called by the owner of the service only.
std::size_t TargetRegistry::maxIdleConnections(const ServiceName &service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || !found->second.maxConnections) {
        return MAX_IDLE_CONNECTIONS;
    }
    const int users = found->second.pieces ? std::min(m_vmCount, MAX_STAGE_OWNERS) : m_vmCount;
    const double share = IDLE_CONNECTION_SHARE * std::max(0, *found->second.maxConnections) / users;
    return std::min(MAX_IDLE_CONNECTIONS, static_cast<std::size_t>(share));
}

TargetRateLimits &TargetRegistry::rateLimits()
{
    return m_rateLimits;
}

const TargetRateLimits &TargetRegistry::rateLimits() const
{
    return m_rateLimits;
}

bool TargetRegistry::isAllowed(const Target &target, const std::vector<Region> &regions) const
{
    if (target.record.isLeaving || m_statements.isLeaving(target.record) || m_disabledDomains.count(target.record.failureDomain) > 0) {
        return false;
    }
    if (regions.empty()) {
        return true;
    }
    const std::optional<Region> region = regionOf(target.record.failureDomain);
    return region && std::find(regions.begin(), regions.end(), *region) != regions.end();
}

bool TargetRegistry::isUsable(const Target &target, MonotonicTime now) const
{
    return isAllowed(target, {}) && target.misdirectedUntil <= now && !isPaused(target.record, now) && hasRoom(target, now)
        && !target.health.isSuspect(now) && m_rateLimits.canSend(target.record, now);
}

bool TargetRegistry::isPaused(const TargetRecord &target, MonotonicTime now) const
{
    return m_statements.pausedUntil(target) > now;
}

// Load reports are late, and all daemons read the same ones, so each also keeps to a share of the slots.
bool TargetRegistry::hasRoom(const Target &target, MonotonicTime now) const
{
    if (!m_statements.maxRefusals(target.record.service)) {
        return true;
    }
    if (target.refusedUntil > now) {
        return false;
    }
    const int slots = std::max(1, target.reportedSlots > 0 ? target.reportedSlots : target.record.slots);
    const int share = std::max(1, static_cast<int>(BRITTLE_SHARE_FACTOR * slots / m_vmCount));
    const bool hasReport = target.loadReportedAt + REPORTED_LOAD_LIFETIME > now;
    return target.running < share && target.running + (hasReport ? target.externalRunning : 0) < slots;
}

// All daemons together stay well below the refusals that the target bears if each of them causes one in this time. They must not come
// back at the same moment.
Duration TargetRegistry::refusalBackoff(double maxRefusals)
{
    const double mean = std::max(1.0, REFUSAL_BACKOFF_FACTOR * m_vmCount / std::max(maxRefusals, 1.0));
    const std::chrono::duration<double> seconds(mean * std::uniform_real_distribution<double>(0.5, 1.5)(m_random));
    return std::min<Duration>(std::chrono::duration_cast<Duration>(seconds), MAX_REFUSAL_BACKOFF);
}

// Until the first paused target of the service wants requests again; 0 if none is paused.
Duration TargetRegistry::untilPauseEnds(const ServiceName &service, MonotonicTime now) const
{
    std::optional<MonotonicTime> first;
    const auto ids = m_byService.find(service);
    if (ids == m_byService.end()) {
        return Duration::zero();
    }
    for (const TargetId &id : ids->second) {
        const MonotonicTime end = m_statements.pausedUntil(m_targets.at(id).record);
        if (end > now) {
            first = std::min(first.value_or(end), end);
        }
    }
    return first ? *first - now : Duration::zero();
}

// The limit applies to all daemons together, so each uses an equal share.
double TargetRegistry::coldRateShare(const ServiceName &service) const
{
    const auto found = m_services.find(service);
    const double rate = found == m_services.end() ? 0 : found->second.coldRate;
    return COLD_RATE_SAFETY_FACTOR * (rate * m_coldLimits.factor + m_coldLimits.slack) / m_vmCount;
}

bool TargetRegistry::hasColdCapacity(Target &target, MonotonicTime now) const
{
    if (target.coldUntil <= now) {
        return true;
    }
    const double share = coldRateShare(target.record.service);
    if (share <= 0) {
        return false;
    }
    if (share < 1) {
        return target.lastColdStartAt + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / share)) <= now;
    }
    return static_cast<double>(target.recentColdStarts.count(now)) + 1 <= share;
}

double TargetRegistry::cost(const Target &target, Duration meanLatency, MonotonicTime now) const
{
    double load = 1 + target.running + static_cast<double>(target.pendingPromptTokens) / TOKENS_PER_RUNNING_REQUEST;
    if (target.loadReportedAt + REPORTED_LOAD_LIFETIME > now) {
        load += target.externalRunning;
    }
    double latencyFactor = 1;
    if (meanLatency > Duration::zero() && target.health.latency() > Duration::zero()) {
        latencyFactor = static_cast<double>(target.health.latency().count()) / static_cast<double>(meanLatency.count());
        latencyFactor = std::clamp(latencyFactor, 1.0, MAX_LATENCY_FACTOR);
    }
    const double coldFactor = target.coldUntil > now ? COLD_PENALTY : 1;
    return load * latencyFactor * (1 + FAILURE_PENALTY * target.health.failureRate()) * coldFactor;
}

// Returns suspect targets only if there are no others, and never those that the request has already been sent to.
std::vector<TargetRegistry::Target *> TargetRegistry::candidates(const TargetRequirements &requirements, MonotonicTime now)
{
    std::vector<Target *> healthy;
    std::vector<Target *> suspect;
    const auto ids = m_byService.find(requirements.service);
    if (ids == m_byService.end()) {
        return healthy;
    }
    for (const TargetId &id : ids->second) {
        Target &target = m_targets.at(id);
        if (!isAllowed(target, requirements.allowedRegions) || target.misdirectedUntil > now || isPaused(target.record, now)
            || requirements.avoid.count(id) > 0
            || target.record.softwareVersion != requirements.softwareVersion.value_or(target.record.softwareVersion)) {
            continue;
        }
        (target.health.isSuspect(now) ? suspect : healthy).push_back(&target);
    }
    return healthy.empty() ? suspect : healthy;
}

TargetRegistry::Selection TargetRegistry::selectBest(const std::vector<Target *> &candidates,
                                                     const TargetRequirements &requirements,
                                                     MonotonicTime now)
{
    const auto preferred = std::find_if(candidates.begin(), candidates.end(), [&requirements](const Target *target) {
        return target->record.id == requirements.preferredTarget;
    });
    if (preferred != candidates.end()) {
        return { *preferred, std::nullopt };
    }
    if (m_placesByExpectedFinish) {
        return selectByExpectedFinish(candidates, requirements, now);
    }
    return { &selectLeastLoaded(candidates, requirements, now), std::nullopt };
}

TargetRegistry::Target &TargetRegistry::selectLeastLoaded(const std::vector<Target *> &candidates,
                                                          const TargetRequirements &requirements,
                                                          MonotonicTime now)
{
    const Duration latency = meanLatency(candidates);
    struct ScoredTarget {
        Target *target;
        double cost;
        std::uint64_t rank; ///< rendezvous hash of the target and the cache key; random without a key
    };
    std::vector<ScoredTarget> scored;
    scored.reserve(candidates.size());
    for (Target *target : candidates) {
        double targetCost = cost(*target, latency, now);
        if (requirements.inputDomain && *requirements.inputDomain != target->record.failureDomain) {
            targetCost += CROSS_DOMAIN_COST;
        }
        scored.push_back(
            { target, targetCost, requirements.cacheKey ? stableHash(target->record.id.value(), *requirements.cacheKey) : m_random() });
    }
    const auto cheapest = std::min_element(scored.begin(), scored.end(), [](const ScoredTarget &left, const ScoredTarget &right) {
        return left.cost != right.cost ? left.cost < right.cost : left.rank < right.rank;
    });
    if (!requirements.cacheKey) {
        return *cheapest->target;
    }
    const double bound = cheapest->cost * CACHE_LOAD_FACTOR + CACHE_LOAD_SLACK;
    const ScoredTarget *chosen = &*cheapest;
    for (const ScoredTarget &candidate : scored) {
        if (candidate.cost > bound || candidate.rank <= chosen->rank) {
            continue;
        }
        chosen = &candidate;
    }
    return *chosen->target;
}

// Falls back to the load where no times of the service are known, because all expected times would be 0.
TargetRegistry::Selection TargetRegistry::selectByExpectedFinish(const std::vector<Target *> &candidates,
                                                                 const TargetRequirements &requirements,
                                                                 MonotonicTime now)
{
    const PlacementWork work = placementWork(requirements, now);
    if (work.perRequest <= Duration::zero()) {
        return { &selectLeastLoaded(candidates, requirements, now), std::nullopt };
    }
    std::vector<PlacementCandidate> placementCandidates;
    placementCandidates.reserve(candidates.size());
    for (const Target *target : candidates) {
        placementCandidates.push_back(placementCandidate(*target, requirements, now));
    }
    const Placement placement = choosePlacement(placementCandidates, work, m_random);
    Target &target = *candidates[placement.index];
    PlacementFigures figures;
    figures.expectedFinish = placement.expectedFinish;
    figures.pace = placementCandidates[placement.index].pace;
    figures.isCachePreferred = placement.isCachePreferred;
    figures.passedOver = placement.passedOver;
    if (target.load && target.load->statedAt + TargetReportBoard::LOAD_LIFETIME > now) {
        figures.loadAge = now - target.load->statedAt;
    }
    if (target.pace.told(now)) {
        figures.toldAge = now - *target.pace.toldAt();
    }
    if (target.pace.learned(now)) {
        figures.learnedAge = now - *target.pace.learnedAt();
    }
    return { &target, figures };
}

// A report includes the requests of this daemon that ran when the target stated it; only the others are added to those that run now.
PlacementCandidate TargetRegistry::placementCandidate(const Target &target, const TargetRequirements &requirements, MonotonicTime now) const
{
    PlacementCandidate candidate;
    candidate.id = target.record.id;
    candidate.slots = std::max(1, target.reportedSlots > 0 ? target.reportedSlots : target.record.slots);
    int total = target.running;
    if (target.load && target.load->statedAt + TargetReportBoard::LOAD_LIFETIME > now) {
        candidate.slots = target.load->slots > 0 ? target.load->slots : candidate.slots;
        const int included = target.attempts.runningAt(target.load->statedAt, target.running);
        total += std::max(0, target.load->running + target.load->waiting - included);
    }
    candidate.running = std::min(total, candidate.slots);
    candidate.waiting = total - candidate.running;
    candidate.pendingPromptTokens = target.pendingPromptTokens;
    candidate.pace = target.pace.factor(now, toldPaces(target.record.service));
    candidate.failureRate = target.health.failureRate();
    candidate.isCold = target.coldUntil > now;
    candidate.isInOtherDomain = requirements.inputDomain && *requirements.inputDomain != target.record.failureDomain;
    candidate.cacheRank = requirements.cacheKey ? stableHash(target.record.id.value(), *requirements.cacheKey) : 0;
    return candidate;
}

ToldPaces TargetRegistry::toldPaces(const ServiceName &service) const
{
    const auto found = m_toldPaces.find(service);
    return found == m_toldPaces.end() ? ToldPaces() : found->second;
}

PlacementWork TargetRegistry::placementWork(const TargetRequirements &requirements, MonotonicTime now) const
{
    constexpr std::int64_t UNIT_TOKENS = 1'000'000; // large, so that the time of one token is not rounded to 0
    PlacementWork work;
    work.promptTokens = requirements.tokens;
    work.sharedTokens = requirements.sharedTokens;
    const Duration prompt = m_usualTimes.usual(requirements.service, PromptWork {});
    const Duration answer = m_usualTimes.usual(requirements.service, AnswerWork {});
    work.perRequest = prompt > Duration::zero() ? prompt : answer;
    work.perToken = (m_usualTimes.usual(requirements.service, PromptWork { UNIT_TOKENS }) - prompt) / UNIT_TOKENS;
    work.slotTime = m_usualTimes.usual(requirements.service, StreamWork {});
    work.transferTime = requirements.inputDomain ? Duration(TRANSFER_TIME) : Duration::zero();
    work.hasCacheKey = requirements.cacheKey.has_value();
    work.timeLeft = std::max<Duration>(Duration::zero(), requirements.softDeadline - now);
    return work;
}

Duration TargetRegistry::meanLatency(const std::vector<Target *> &candidates)
{
    Duration total {};
    int sampleCount = 0;
    for (const Target *target : candidates) {
        if (target->health.latency() == Duration::zero()) {
            continue;
        }
        total += target->health.latency();
        ++sampleCount;
    }
    return sampleCount == 0 ? Duration::zero() : total / sampleCount;
}

void TargetRegistry::recordAttemptStart(Target &target, std::int64_t tokens, MonotonicTime now)
{
    ++target.running;
    target.attempts.recordStart(now);
    target.pendingPromptTokens += tokens;
    m_rateLimits.recordSent(target.record, now);
    if (target.coldUntil > now) {
        target.recentColdStarts.add(now);
        target.lastColdStartAt = now;
    }
}

} // namespace CassiaRelay::Gateway
