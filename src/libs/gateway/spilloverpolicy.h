#pragma once

#include "callforecast.h"
#include "configuration.h"
#include "schedulingoptions.h"

#include <map>

namespace CassiaRelay::Gateway {

/** Room of one failure domain for the calls of a stage service. */
struct DomainLoad {
    std::optional<Region> region; ///< no value if it is unknown
    bool hasTargets = false;      ///< that are usable, even if each of them is at a limit for the moment
    std::vector<CallSlot> slots;  ///< of the targets that may be given work now
};
using DomainLoads = std::map<FailureDomain, DomainLoad>;

/** One waiting piece. */
struct SpilloverCandidate {
    std::optional<FailureDomain> domain; ///< that the piece prefers
    std::size_t transferBytes = 0;       ///< that move between domains if it leaves
    Duration untilSoftDeadline {};
    std::vector<Region> allowedRegions {}; ///< all regions if empty
};

/** One piece that leaves the domain that it prefers. */
struct SpilloverMove {
    std::size_t index = 0; ///< of the piece
    FailureDomain destination;
    std::optional<Duration> finishAtHome {}; ///< no value if the preferred domain can't run the piece
    Duration finishThere {};                 ///< transfer included
};

/**
 * Selects the pieces that leave the failure domain that they prefer.
 *
 * Answers demand that swings between failure domains, so that the targets of one are too few while those of others are idle. Only pieces
 * leave that would miss their soft deadline at home, those with the fewest bytes to move first, and each takes a place behind the own work
 * of the other domain. The time saved has to exceed the time of the transfer and the delay that an operator accepts to avoid it.
 * @param pieces in the order in which they are sent
 * @param bytesPerSecond of a transfer between domains; 0 if transfers take no time
 */
std::vector<SpilloverMove> selectSpillover(const DomainLoads &domains,
                                           const std::vector<SpilloverCandidate> &pieces,
                                           const CallTimes &times,
                                           double bytesPerSecond,
                                           const SpilloverOptions &options);

} // namespace CassiaRelay::Gateway
