#include "fleetplacement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>

namespace CassiaRelay::Gateway {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr double READ_MS_PER_TOKEN = 0.0125;       // until the median of the service is known
constexpr double READ_MS_PER_MILLION_PAIRS = 0.25; // attention: the time of a token grows with the tokens before it
constexpr double PAIRS_PER_MILLION = 1e6;
constexpr Milliseconds STREAM_COST { 30 }; // a running stream is slowed down by as much as it slows the new one down
// Of a running stream that pauses for longer than allowed. Its response is late then, so it weighs as much as waiting for a slot.
constexpr Milliseconds PAUSED_STREAM_COST { 500 };
constexpr double UNNOTICED_PAUSE_SHARE = 0.5;          // other prompts may have to be read in the same pause
constexpr Milliseconds FULL_TARGET_COST { 500 };       // for each request that has to wait for a slot
constexpr Milliseconds FAILURE_COST { 1000 };          // most failed requests can't be repeated
constexpr std::chrono::seconds FAILURE_LIFETIME { 2 }; // a crashed target leaves the list or is back within about this time
constexpr std::size_t MAX_FAILURES = 4;
constexpr Milliseconds EQUAL_COST { 10 }; // estimates are not more exact
// A target that has the shared parts is worth a delay, because reading them again takes time from the streams of another target.
constexpr Milliseconds MAX_CACHE_MARGIN { 400 };
constexpr Milliseconds MIN_CACHE_MARGIN { 40 };
constexpr double FULL_MARGIN_TOKENS = 1000;
constexpr std::size_t MAX_CACHED_KEYS = 128; // more parts than fit into the memory of a target
constexpr double BYTES_PER_MEGABYTE = 1e6;
constexpr Milliseconds TRANSFER_PER_MEGABYTE { 40 }; // at 200 Mbit/s
// Requests with equal shared parts stay in one domain, so that the targets that have the parts are where the inputs are.
constexpr Milliseconds OTHER_DOMAIN_COST { 50 };
constexpr double PACE_SAMPLES = 8;               // as TargetPace
constexpr double MAX_PACE = 8;                   // as TargetPace
constexpr double SLOW_PACE = 1.25;               // only counted in the metrics
constexpr std::int64_t MIN_SAMPLE_TOKENS = 1000; // the time of shorter prompts depends on the network
constexpr std::chrono::seconds UNUSED_TARGET_LIFETIME { 60 };

double milliseconds(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

Duration toDuration(Milliseconds time)
{
    return std::chrono::duration_cast<Duration>(time);
}

Milliseconds cacheMargin(std::int64_t sharedTokens)
{
    const double share = std::min(1.0, static_cast<double>(std::max<std::int64_t>(0, sharedTokens)) / FULL_MARGIN_TOKENS);
    return std::max(MIN_CACHE_MARGIN, MAX_CACHE_MARGIN * share);
}

// Part of the pause that reading a prompt causes and that callers notice.
double noticedShare(Duration readTime, Duration maxPause)
{
    if (maxPause <= Duration::zero()) {
        return 0;
    }
    const double unnoticed = UNNOTICED_PAUSE_SHARE * milliseconds(maxPause);
    return std::clamp((milliseconds(readTime) - unnoticed) / (milliseconds(maxPause) - unnoticed), 0.0, 1.0);
}

bool isUsable(const TargetRecord &record, const PlacementOrder &order)
{
    return order.avoid.count(record.id) == 0 && (!order.softwareVersion || record.softwareVersion == *order.softwareVersion);
}

} // namespace

FleetPlacement::FleetPlacement(Duration transferDelayPerMegabyte)
    : m_transferDelayPerMegabyte(transferDelayPerMegabyte)
{
}

std::optional<FleetPlacementResult> FleetPlacement::place(const VmId &sender,
                                                          const PlacementOrder &order,
                                                          const std::vector<const TargetRecord *> &targets,
                                                          RandomSource &random,
                                                          MonotonicTime now)
{
    m_service = order.service;
    std::vector<Candidate> candidates;
    candidates.reserve(targets.size());
    Duration lowest = Duration::max();
    for (const TargetRecord *record : targets) {
        if (!isUsable(*record, order)) {
            continue;
        }
        candidates.push_back(candidateFor(*record, order, now));
        lowest = std::min(lowest, candidates.back().cost);
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const Duration cachedLimit = lowest + toDuration(cacheMargin(order.sharedTokens));
    const Candidate *chosen = nullptr;
    std::vector<const Candidate *> cheapest;
    for (const Candidate &candidate : candidates) {
        if (candidate.isCached && candidate.cost <= cachedLimit && (!chosen || candidate.cost < chosen->cost)) {
            chosen = &candidate;
        }
        if (candidate.cost <= lowest + toDuration(EQUAL_COST)) {
            cheapest.push_back(&candidate);
        }
    }
    if (!chosen) {
        chosen = cheapest[std::uniform_int_distribution<std::size_t>(0, cheapest.size() - 1)(random)];
    }
    TargetState &state = *chosen->state;
    // Numbers go on from the time, so that reports about requests that an earlier process has placed are not taken for others.
    m_nextId = std::max(m_nextId + 1, static_cast<std::uint64_t>(std::max<Duration::rep>(0, now.time_since_epoch().count())));
    const PlacementId id(m_nextId);
    FleetPlacementResult result { id,         chosen->record->id, chosen->cost,
                                  lowest,     state.running,      std::max<Duration>(Duration::zero(), state.readUntil - now),
                                  state.pace, chosen->isCached,   candidates.size() };
    const std::int64_t uncached = order.promptTokens - (chosen->isCached ? order.sharedTokens : 0);
    m_running.emplace(id.value(), RunningRequest { sender, chosen->record->id, order.endsAt, uncached, state.running == 0 });
    ++state.running;
    state.unreadPrompts.emplace(id, chosen->readTime);
    state.readUntil = std::max(now, state.readUntil) + chosen->readTime;
    state.usedAt = now;
    if (order.cacheKey) {
        addCachedKey(state, *order.cacheKey);
    }
    return result;
}

void FleetPlacement::apply(const VmId &sender, const PlacementReport &report, MonotonicTime now)
{
    const auto request = m_running.find(report.placement.value());
    if (request == m_running.end() || request->second.sender != sender) {
        return;
    }
    const RunningRequest &running = request->second;
    TargetState &state = m_targets[running.target];
    switch (report.event) {
    case PlacementEvent::FirstEvent:
        // Beside other prompts, the time until the first event says nothing about the time of a token.
        if (report.time && running.isAlone && running.uncachedTokens >= MIN_SAMPLE_TOKENS) {
            m_usualTimes.addSample(m_service, PromptWork { running.uncachedTokens }, *report.time);
        }
        removePrompt(state, report.placement, now);
        return;
    case PlacementEvent::Ended:
        if (report.time) {
            learnPace(state, m_service, *report.time);
        }
        break;
    case PlacementEvent::Failed:
        state.failures.push_back(now);
        if (state.failures.size() > MAX_FAILURES) {
            state.failures.pop_front();
        }
        break;
    }
    end(request, now);
}

void FleetPlacement::removeSender(const VmId &sender, MonotonicTime now)
{
    for (auto request = m_running.begin(); request != m_running.end();) {
        const auto next = std::next(request);
        if (request->second.sender == sender) {
            end(request, now);
        }
        request = next;
    }
}

void FleetPlacement::removeExpired(MonotonicTime now)
{
    for (auto request = m_running.begin(); request != m_running.end();) {
        const auto next = std::next(request);
        if (request->second.endsAt <= now) {
            end(request, now);
        }
        request = next;
    }
    for (auto target = m_targets.begin(); target != m_targets.end();) {
        const bool isUnused = target->second.running == 0 && target->second.usedAt + UNUSED_TARGET_LIFETIME <= now;
        target = isUnused ? m_targets.erase(target) : std::next(target);
    }
}

std::size_t FleetPlacement::runningRequests() const
{
    return m_running.size();
}

std::size_t FleetPlacement::slowTargets() const
{
    return static_cast<std::size_t>(
        std::count_if(m_targets.begin(), m_targets.end(), [](const auto &entry) { return entry.second.pace > SLOW_PACE; }));
}

// A target that has restarted under the same id has lost its requests and its cache.
FleetPlacement::TargetState &FleetPlacement::stateOf(const TargetRecord &record)
{
    const auto [entry, isNew] = m_targets.try_emplace(record.id);
    TargetState &state = entry->second;
    if (isNew || state.startedAt == record.startedAt) {
        state.startedAt = record.startedAt;
        return state;
    }
    for (auto request = m_running.begin(); request != m_running.end();) {
        request = request->second.target == record.id ? m_running.erase(request) : std::next(request);
    }
    state = TargetState {};
    state.startedAt = record.startedAt;
    return state;
}

FleetPlacement::Candidate FleetPlacement::candidateFor(const TargetRecord &record, const PlacementOrder &order, MonotonicTime now)
{
    TargetState &state = stateOf(record);
    Candidate candidate;
    candidate.record = &record;
    candidate.state = &state;
    candidate.isCached = order.cacheKey && state.cacheIndex.count(*order.cacheKey) > 0;
    candidate.readTime = readTime(order, candidate.isCached, state.pace);
    while (!state.failures.empty() && state.failures.front() + FAILURE_LIFETIME <= now) {
        state.failures.pop_front();
    }
    const auto running = static_cast<double>(state.running);
    const double waiting = std::max(0.0, running + 1 - std::max(1, record.slots));
    Milliseconds cost = candidate.readTime + std::max<Duration>(Duration::zero(), state.readUntil - now);
    cost += running * (STREAM_COST * state.pace + PAUSED_STREAM_COST * noticedShare(candidate.readTime, order.maxPause));
    cost += FULL_TARGET_COST * waiting + FAILURE_COST * static_cast<double>(state.failures.size());
    if (order.inputDomain && *order.inputDomain != record.failureDomain) {
        cost += OTHER_DOMAIN_COST;
        cost += (TRANSFER_PER_MEGABYTE + m_transferDelayPerMegabyte) * (static_cast<double>(order.inputBytes) / BYTES_PER_MEGABYTE);
    }
    candidate.cost = toDuration(cost);
    return candidate;
}

Duration FleetPlacement::readTime(const PlacementOrder &order, bool isCached, double pace) const
{
    const auto all = static_cast<double>(std::max<std::int64_t>(0, order.promptTokens));
    const double cached = isCached ? std::clamp(static_cast<double>(order.sharedTokens), 0.0, all) : 0;
    constexpr std::int64_t UNIT_TOKENS = 1'000'000; // large, so that the overhead of a request does not count
    const Duration usual = m_usualTimes.usual(m_service, PromptWork { UNIT_TOKENS });
    const double perToken = usual > Duration::zero() ? milliseconds(usual) / UNIT_TOKENS : READ_MS_PER_TOKEN;
    const double pairs = (all * all - cached * cached) / 2;
    return toDuration(Milliseconds((perToken * (all - cached) + READ_MS_PER_MILLION_PAIRS * pairs / PAIRS_PER_MILLION) * pace));
}

void FleetPlacement::addCachedKey(TargetState &state, std::uint64_t key) const
{
    const auto known = state.cacheIndex.find(key);
    if (known != state.cacheIndex.end()) {
        state.cachedKeys.splice(state.cachedKeys.begin(), state.cachedKeys, known->second);
        return;
    }
    state.cachedKeys.push_front(key);
    state.cacheIndex.emplace(key, state.cachedKeys.begin());
    if (state.cachedKeys.size() > MAX_CACHED_KEYS) {
        state.cacheIndex.erase(state.cachedKeys.back());
        state.cachedKeys.pop_back();
    }
}

// The prompts that are left are read after this one.
void FleetPlacement::removePrompt(TargetState &state, PlacementId id, MonotonicTime now)
{
    if (state.unreadPrompts.erase(id) == 0) {
        return;
    }
    Duration left {};
    for (const auto &[unread, time] : state.unreadPrompts) {
        left += time;
    }
    state.readUntil = std::min(state.readUntil, now + left);
}

void FleetPlacement::end(std::unordered_map<std::uint64_t, RunningRequest>::iterator request, MonotonicTime now)
{
    TargetState &state = m_targets[request->second.target];
    state.running -= std::min<std::size_t>(state.running, 1);
    removePrompt(state, PlacementId(request->first), now);
    m_running.erase(request);
}

void FleetPlacement::learnPace(TargetState &state, const ServiceName &service, Duration timePerEvent)
{
    const double ratio = std::clamp(m_usualTimes.addSample(service, EventWork { 1 }, timePerEvent), 1 / MAX_PACE, MAX_PACE);
    state.pace += (ratio - state.pace) / PACE_SAMPLES;
}

} // namespace CassiaRelay::Gateway
