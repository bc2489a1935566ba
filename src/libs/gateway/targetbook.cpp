#include "targetbook.h"

#include <algorithm>

namespace CassiaRelay::Gateway {

namespace {

constexpr double TOKENS_PER_RUNNING_REQUEST = 2000; // prompt tokens that delay an engine as much as one more running request
constexpr double FAILURE_PENALTY = 8;               // a target that fails half of its work is used when the others have five times its load
constexpr double MAX_SLOWNESS = 8;                  // more says little: the mean is then made by a few answers
constexpr double COLD_PENALTY = 4;                  // cold targets run slower and bear little
constexpr double CACHE_LOAD_FACTOR = 2;             // a target with the cached prompt may have this many times the least load
constexpr double CACHE_LOAD_SLACK = 4;              // running requests by which it may exceed that
constexpr double OTHER_DOMAIN_COST = 1.5;           // running requests that a fetch of large inputs across domains is worth
constexpr std::chrono::milliseconds LOAD_LIFETIME { 1000 };   // half of the requests of an engine end within about this time
constexpr std::chrono::milliseconds NO_TARGET_RETRY { 1000 }; // a crashed target is usually back after seconds
constexpr std::chrono::milliseconds COLD_RETRY { 500 };       // half of the window that cold starts are counted in
constexpr double COLD_SAFETY = 0.8;                           // requests sent within one second may arrive within less

} // namespace

TargetBook::TargetBook(ColdLimits coldLimits, std::unordered_map<FailureDomain, Region> regions, std::uint64_t seed)
    : m_coldLimits(coldLimits)
    , m_regions(std::move(regions))
    , m_random(seed)
{
}

// A target that has started anew under its old id holds and knows nothing of before.
void TargetBook::put(const TargetRecord &record, MonotonicTime now)
{
    const auto found = m_targets.find(record.id);
    const bool isNew = found == m_targets.end() || found->second.record.startedAt != record.startedAt
        || found->second.record.endpoint.text() != record.endpoint.text() || found->second.record.service != record.service;
    if (isNew) {
        remove(record.id);
        m_byService[record.service].insert(record.id);
    }
    Target &target = m_targets[record.id];
    target.record = record;
    target.coldUntil = now + record.coldFor;
}

void TargetBook::remove(const TargetId &id)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    m_byService[found->second.record.service].erase(id);
    m_targets.erase(found);
}

void TargetBook::setDomainOut(const FailureDomain &domain, bool out)
{
    if (out) {
        m_domainsOut.insert(domain);
    } else {
        m_domainsOut.erase(domain);
    }
}

void TargetBook::setServices(const std::vector<Service> &services)
{
    m_services.clear();
    for (const Service &service : services) {
        m_services.emplace(service.name, service);
    }
}

void TargetBook::setColdLimits(ColdLimits limits)
{
    m_coldLimits = limits;
}

void TargetBook::setVms(int vms)
{
    m_vms = std::max(vms, 1);
}

TargetChoice TargetBook::choose(const TargetNeed &need, MonotonicTime now)
{
    const std::vector<Target *> possible = candidates(need, now);
    if (possible.empty()) {
        return NoTarget { "no target of the service may get work", NO_TARGET_RETRY };
    }
    std::vector<Target *> ready;
    for (Target *target : possible) {
        if (hasColdRoom(*target, now)) {
            ready.push_back(target);
        }
    }
    if (ready.empty()) {
        return NoTarget { "all targets of the service are cold and at their limit", COLD_RETRY };
    }
    Target &chosen = best(ready, need, now);
    ChosenTarget choice;
    choice.record = chosen.record;
    choice.candidates = ready.size();
    choice.cost = cost(chosen, meanLatency(ready), now);
    choice.isCold = chosen.coldUntil > now;
    begin(chosen, need.tokens, now);
    return choice;
}

std::optional<FailureDomain> TargetBook::likelyDomain(const TargetNeed &need, MonotonicTime now)
{
    const std::vector<Target *> possible = candidates(need, now);
    if (possible.empty()) {
        return std::nullopt;
    }
    return best(possible, need, now).record.failureDomain;
}

bool TargetBook::start(const TargetId &id, std::int64_t tokens, MonotonicTime now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end() || !isAllowed(found->second, {}) || !hasColdRoom(found->second, now)) {
        return false;
    }
    begin(found->second, tokens, now);
    return true;
}

void TargetBook::promptRead(const TargetId &id, std::int64_t tokens)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        found->second.unreadTokens = std::max<std::int64_t>(0, found->second.unreadTokens - tokens);
    }
}

void TargetBook::finished(const TargetId &id, AttemptResult result, std::int64_t unreadTokens, MonotonicTime now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    Target &target = found->second;
    target.running = std::max(0, target.running - 1);
    target.unreadTokens = std::max<std::int64_t>(0, target.unreadTokens - unreadTokens);
    target.health.note(result, now);
}

void TargetBook::noteLatency(const TargetId &id, Duration latency)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        found->second.health.noteLatency(latency);
    }
}

void TargetBook::noteLoad(const TargetId &id, const ReportedLoad &load, MonotonicTime now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    found->second.othersRunning = std::max(0, load.running + load.waiting - found->second.running);
    found->second.loadAt = now;
}

void TargetBook::noteCold(const TargetId &id, Duration coldFor, MonotonicTime now)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        found->second.coldUntil = now + coldFor;
    }
}

std::vector<TargetRecord> TargetBook::usable(const ServiceName &service, MonotonicTime now) const
{
    std::vector<TargetRecord> records;
    const auto ids = m_byService.find(service);
    if (ids == m_byService.end()) {
        return records;
    }
    for (const TargetId &id : ids->second) {
        const Target &target = m_targets.at(id);
        if (!isAllowed(target, {}) || target.health.isSuspect(now)) {
            continue;
        }
        records.push_back(target.record);
    }
    return records;
}

std::optional<TargetRecord> TargetBook::find(const TargetId &id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? std::nullopt : std::optional(found->second.record);
}

Duration TargetBook::latency(const TargetId &id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? Duration::zero() : found->second.health.latency();
}

std::size_t TargetBook::size() const
{
    return m_targets.size();
}

bool TargetBook::isAllowed(const Target &target, const std::vector<Region> &regions) const
{
    if (target.record.isLeaving || m_domainsOut.count(target.record.failureDomain) > 0) {
        return false;
    }
    if (regions.empty()) {
        return true;
    }
    const auto region = m_regions.find(target.record.failureDomain);
    return region != m_regions.end() && std::find(regions.begin(), regions.end(), region->second) != regions.end();
}

// The bound holds for all daemons together, so that each takes an equal part.
double TargetBook::coldShare(const ServiceName &service) const
{
    const auto found = m_services.find(service);
    const double rate = found == m_services.end() ? 0 : found->second.coldRate;
    return COLD_SAFETY * (rate * m_coldLimits.factor + m_coldLimits.slack) / m_vms;
}

bool TargetBook::hasColdRoom(Target &target, MonotonicTime now) const
{
    if (target.coldUntil <= now) {
        return true;
    }
    const double share = coldShare(target.record.service);
    if (share <= 0) {
        return false;
    }
    if (share < 1) {
        return target.lastColdStart + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / share)) <= now;
    }
    return static_cast<double>(target.coldStarts.count(now)) + 1 <= share;
}

double TargetBook::cost(const Target &target, Duration meanLatency, MonotonicTime now) const
{
    double load = 1 + target.running + static_cast<double>(target.unreadTokens) / TOKENS_PER_RUNNING_REQUEST;
    if (target.loadAt + LOAD_LIFETIME > now) {
        load += target.othersRunning;
    }
    double slowness = 1;
    if (meanLatency > Duration::zero() && target.health.latency() > Duration::zero()) {
        slowness = static_cast<double>(target.health.latency().count()) / static_cast<double>(meanLatency.count());
        slowness = std::clamp(slowness, 1.0, MAX_SLOWNESS);
    }
    const double coldness = target.coldUntil > now ? COLD_PENALTY : 1;
    return load * slowness * (1 + FAILURE_PENALTY * target.health.failureShare()) * coldness;
}

// Suspect targets, and those that have already had the request, only when there are no others.
std::vector<TargetBook::Target *> TargetBook::candidates(const TargetNeed &need, MonotonicTime now)
{
    std::vector<Target *> good;
    std::vector<Target *> suspect;
    const auto ids = m_byService.find(need.service);
    if (ids == m_byService.end()) {
        return good;
    }
    for (const TargetId &id : ids->second) {
        Target &target = m_targets.at(id);
        if (!isAllowed(target, need.allowedRegions) || need.avoid.count(id) > 0) {
            continue;
        }
        (target.health.isSuspect(now) ? suspect : good).push_back(&target);
    }
    return good.empty() ? suspect : good;
}

TargetBook::Target &TargetBook::best(const std::vector<Target *> &candidates, const TargetNeed &need, MonotonicTime now)
{
    const Duration latency = meanLatency(candidates);
    struct Rated {
        Target *target;
        double cost;
        std::uint64_t rank; ///< rendezvous hash with the cache key, or random
    };
    std::vector<Rated> rated;
    rated.reserve(candidates.size());
    for (Target *target : candidates) {
        double targetCost = cost(*target, latency, now);
        if (need.inputDomain && *need.inputDomain != target->record.failureDomain) {
            targetCost += OTHER_DOMAIN_COST;
        }
        rated.push_back({ target, targetCost, need.cacheKey ? stableHash(target->record.id.value(), *need.cacheKey) : m_random() });
    }
    const auto cheapest = std::min_element(rated.begin(), rated.end(), [](const Rated &left, const Rated &right) {
        return left.cost != right.cost ? left.cost < right.cost : left.rank < right.rank;
    });
    if (!need.cacheKey) {
        return *cheapest->target;
    }
    const double bound = cheapest->cost * CACHE_LOAD_FACTOR + CACHE_LOAD_SLACK;
    const Rated *chosen = &*cheapest;
    for (const Rated &candidate : rated) {
        if (candidate.cost > bound || candidate.rank <= chosen->rank) {
            continue;
        }
        chosen = &candidate;
    }
    return *chosen->target;
}

Duration TargetBook::meanLatency(const std::vector<Target *> &candidates)
{
    Duration total {};
    int known = 0;
    for (const Target *target : candidates) {
        if (target->health.latency() == Duration::zero()) {
            continue;
        }
        total += target->health.latency();
        ++known;
    }
    return known == 0 ? Duration::zero() : total / known;
}

void TargetBook::begin(Target &target, std::int64_t tokens, MonotonicTime now)
{
    ++target.running;
    target.unreadTokens += tokens;
    if (target.coldUntil > now) {
        target.coldStarts.add(now);
        target.lastColdStart = now;
    }
}

} // namespace CassiaRelay::Gateway
