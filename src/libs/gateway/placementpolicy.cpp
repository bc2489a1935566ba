#include "placementpolicy.h"

#include <algorithm>

namespace CassiaRelay::Gateway {

namespace {

constexpr double FAILURE_PENALTY = 8; // at a failure rate of one half, a target counts as five times slower; as in placement by load
constexpr double COLD_PENALTY = 4;    // cold targets are slower and can bear little load; as in placement by load
constexpr std::chrono::milliseconds EQUAL_FINISH { 10 }; // estimates are not more exact; a third of the read time of a typical prompt
// Estimates vary by about this much while the same few requests run; equal prompts stay together.
constexpr std::chrono::milliseconds CACHE_SLACK { 30 };

double nanoseconds(Duration duration)
{
    return static_cast<double>(duration.count());
}

// Time that a target with the shared parts in its cache does not need to read them.
Duration cacheSaving(const PlacementCandidate &candidate, const PlacementWork &work)
{
    const std::int64_t shared = std::clamp<std::int64_t>(work.sharedTokens, 0, work.promptTokens);
    return Duration(static_cast<Duration::rep>(nanoseconds(work.perToken) * static_cast<double>(shared) * candidate.pace));
}

// Daemons with the same reports must not all choose the same target. One draw is taken, because the earliest of several sends several
// prompts at once to the few targets whose load is known.
std::size_t chooseAmongEarliest(const std::vector<Duration> &times, Duration best, RandomSource &random)
{
    std::vector<std::size_t> equal;
    for (std::size_t index = 0; index < times.size(); ++index) {
        if (times[index] <= best + EQUAL_FINISH) {
            equal.push_back(index);
        }
    }
    return equal[std::uniform_int_distribution<std::size_t>(0, equal.size() - 1)(random)];
}

// Returns the first target in the order of preference that finishes early enough, and at least the one that finishes first. A target that
// leaves half of the time until the response would be late is early enough: with the limit by the cache alone, estimates that changed with
// the load and pace of targets moved prompts to targets without their parts, which read four times as many tokens of shared parts again.
std::size_t chooseByPreference(const std::vector<PlacementCandidate> &candidates,
                               const PlacementWork &work,
                               const std::vector<Duration> &times,
                               Duration best)
{
    const auto earliest = static_cast<std::size_t>(std::min_element(times.begin(), times.end()) - times.begin());
    std::size_t chosen = earliest;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const bool isEarly = times[index] <= std::max(best + cacheSaving(candidates[index], work) + CACHE_SLACK, work.timeLeft / 2);
        if (isEarly && candidates[index].cacheRank > candidates[chosen].cacheRank) {
            chosen = index;
        }
    }
    return chosen;
}

} // namespace

Duration expectedFinish(const PlacementCandidate &candidate, const PlacementWork &work, bool isCached)
{
    const double slots = std::max(1, candidate.slots);
    const double ahead = std::max(0, candidate.running) + std::max(0, candidate.waiting);
    const double waitingAhead = std::max(0.0, ahead + 1 - slots);
    const double wait = waitingAhead / slots * nanoseconds(std::max(work.slotTime, work.perRequest));
    const auto tokens =
        static_cast<double>(std::max<std::int64_t>(0, work.promptTokens) + std::max<std::int64_t>(0, candidate.pendingPromptTokens));
    // Requests in other slots share the machine, so a full target counts as twice as slow to respond as an idle one.
    const double occupied = std::min(1.0, ahead / slots);
    const double own = (nanoseconds(work.perRequest) + nanoseconds(work.perToken) * tokens) * (1 + occupied);
    const double risk = (1 + FAILURE_PENALTY * candidate.failureRate) * (candidate.isCold ? COLD_PENALTY : 1);
    const Duration saving = isCached ? cacheSaving(candidate, work) : Duration::zero();
    const Duration untilResponse = Duration(static_cast<Duration::rep>((wait + own) * candidate.pace * risk));
    return std::max(Duration::zero(), untilResponse - saving) + (candidate.isInOtherDomain ? work.transferTime : Duration::zero());
}

Placement choosePlacement(const std::vector<PlacementCandidate> &candidates, const PlacementWork &work, RandomSource &random)
{
    std::vector<Duration> times;
    times.reserve(candidates.size());
    for (const PlacementCandidate &candidate : candidates) {
        times.push_back(expectedFinish(candidate, work, false));
    }
    const Duration best = *std::min_element(times.begin(), times.end());
    Placement placement;
    placement.index = work.hasCacheKey ? chooseByPreference(candidates, work, times, best) : chooseAmongEarliest(times, best, random);
    const PlacementCandidate &chosen = candidates[placement.index];
    placement.isCachePreferred =
        work.hasCacheKey && std::none_of(candidates.begin(), candidates.end(), [&chosen](const PlacementCandidate &other) {
            return other.cacheRank > chosen.cacheRank;
        });
    placement.expectedFinish = expectedFinish(chosen, work, placement.isCachePreferred);
    const Duration limit = best + EQUAL_FINISH;
    placement.passedOver =
        static_cast<std::size_t>(std::count_if(times.begin(), times.end(), [limit](Duration time) { return time > limit; }));
    return placement;
}

} // namespace CassiaRelay::Gateway
