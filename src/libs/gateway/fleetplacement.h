#pragma once

#include "placementorder.h"
#include "targetrecord.h"
#include "usualtimes.h"

#include <deque>
#include <list>
#include <map>
#include <unordered_map>

namespace CassiaRelay::Gateway {

/** A request that was placed, and what the choice of its target is based on. */
struct FleetPlacementResult {
    PlacementId id;
    TargetId target;
    Duration cost {};
    Duration lowestCost {};
    std::size_t running = 0; ///< requests that were placed there before and have not ended
    Duration untilRead {};   ///< until the target has read the prompts of those requests
    double pace = 1;
    bool isCached = false; ///< the target was given a prompt with the same shared parts before
    std::size_t candidates = 0;
};

/**
 * Selects the targets of one service for the streams of all daemons.
 *
 * Addresses many daemons with few requests each, long prompts among short ones, and targets of different pace: while a target reads a long
 * prompt, the streams that run there pause, though other targets have nothing to do. The owner of the service places all streams, so it
 * knows what each target runs, which prompts it still has to read and which shared parts it has in its cache.
 */
class FleetPlacement
{
public:
    /** @param transferDelayPerMegabyte delay that keeping a megabyte within its failure domain is worth */
    explicit FleetPlacement(Duration transferDelayPerMegabyte);

    /** Selects one of the targets and counts the request as running there; no value without targets. */
    std::optional<FleetPlacementResult> place(const VmId &sender,
                                              const PlacementOrder &order,
                                              const std::vector<const TargetRecord *> &targets,
                                              RandomSource &random,
                                              MonotonicTime now);
    /** Applies what the sender of a request reports. Reports about unknown requests are ignored. */
    void apply(const VmId &sender, const PlacementReport &report, MonotonicTime now);
    /** Drops the requests of a daemon that was lost. */
    void removeSender(const VmId &sender, MonotonicTime now);
    /** Drops requests that have reached their end without a report, and targets that have long got nothing. */
    void removeExpired(MonotonicTime now);

    std::size_t runningRequests() const;
    /** Returns the number of targets that take clearly longer than usual. */
    std::size_t slowTargets() const;

private:
    struct TargetState {
        StartTime startedAt;
        std::size_t running = 0;
        std::map<PlacementId, Duration> unreadPrompts; ///< time to read each of them, in the order in which they were sent
        MonotonicTime readUntil;                       ///< when all of them are expected to be read
        double pace = 1;
        std::deque<MonotonicTime> failures;
        std::list<std::uint64_t> cachedKeys; ///< most recently used first
        std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cacheIndex;
        MonotonicTime usedAt;
    };
    struct RunningRequest {
        VmId sender;
        TargetId target;
        MonotonicTime endsAt;
        std::int64_t uncachedTokens = 0;
        bool isAlone = false; ///< nothing else ran at the target when the request was placed
    };
    struct Candidate {
        const TargetRecord *record = nullptr;
        TargetState *state = nullptr;
        Duration readTime {};
        Duration cost {};
        bool isCached = false;
    };

    TargetState &stateOf(const TargetRecord &record);
    Candidate candidateFor(const TargetRecord &record, const PlacementOrder &order, MonotonicTime now);
    Duration readTime(const PlacementOrder &order, bool isCached, double pace) const;
    void addCachedKey(TargetState &state, std::uint64_t key) const;
    void removePrompt(TargetState &state, PlacementId id, MonotonicTime now);
    void end(std::unordered_map<std::uint64_t, RunningRequest>::iterator request, MonotonicTime now);
    void learnPace(TargetState &state, const ServiceName &service, Duration timePerEvent);

    Duration m_transferDelayPerMegabyte;
    ServiceName m_service;
    std::unordered_map<TargetId, TargetState> m_targets;
    std::unordered_map<std::uint64_t, RunningRequest> m_running;
    UsualTimes m_usualTimes;
    std::uint64_t m_nextId = 1;
};

} // namespace CassiaRelay::Gateway
