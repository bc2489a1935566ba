#pragma once

#include "targetrecord.h"

#include <cstdint>
#include <vector>

namespace CassiaRelay::Gateway {

/** What is known of a target when work is placed. */
struct PlacementCandidate {
    TargetId id;
    int running = 0; ///< requests of all daemons that it runs, as far as known
    int waiting = 0; ///< requests that wait there
    int slots = 1;
    std::int64_t pendingPromptTokens = 0; ///< that it has to read before it starts this work
    double pace = 1;                      ///< factor by which work takes longer than usual
    double failureRate = 0;               ///< recent share of failed attempts
    bool isCold = false;
    bool isInOtherDomain = false; ///< large inputs have to be moved to it from another domain
    std::uint64_t cacheRank = 0;  ///< position in the order of preference for cached prompt parts; the highest is first
};

/** The work that is placed, and the usual times of a target of its service. */
struct PlacementWork {
    std::int64_t promptTokens = 0; ///< of the whole prompt
    std::int64_t sharedTokens = 0; ///< of the parts that the preferred target may have cached
    Duration perToken {};          ///< to read a prompt token
    Duration perRequest {};        ///< until the first event of a prompt without tokens, or until the response of a plain service
    Duration slotTime {};          ///< for which one request occupies a slot
    Duration transferTime {};      ///< of large inputs between domains
    bool hasCacheKey = false;
    Duration timeLeft {}; ///< until the response would be late
};

struct Placement {
    std::size_t index = 0;         ///< of the candidate
    Duration expectedFinish {};    ///< until the first event, or the response
    bool isCachePreferred = false; ///< the target comes first in the order of preference
    std::size_t passedOver = 0;    ///< candidates that would finish too late to be chosen
};

/** Returns the expected time until the first event or the response at this target. */
Duration expectedFinish(const PlacementCandidate &candidate, const PlacementWork &work, bool isCached);

/**
 * Selects the target with the earliest expected finish.
 *
 * Addresses targets of different and changing pace, hot prompts, and many daemons that decide on the same reports: nearly equal candidates
 * are chosen among at random.
 * @param candidates not empty
 */
Placement choosePlacement(const std::vector<PlacementCandidate> &candidates, const PlacementWork &work, RandomSource &random);

} // namespace CassiaRelay::Gateway
