#pragma once

#include "configuration.h"

#include <optional>
#include <set>

namespace CassiaRelay::Gateway {

/** Number that the owner of a service gives to a request that it places. */
using PlacementId = StrongId<struct PlacementTag, std::uint64_t>;

/** What the owner of a service needs to know of a request that it places. */
struct PlacementOrder {
    ServiceName service;
    std::int64_t promptTokens = 0;
    std::int64_t sharedTokens = 0;         ///< those of the parts that other requests may share
    std::optional<std::uint64_t> cacheKey; ///< hash of the shared parts
    MonotonicTime endsAt;
    Duration maxPause {};                     ///< between events, for which the response is on time; 0: not limited
    std::set<TargetId> avoid;                 ///< targets that the request must not be sent to
    std::optional<FailureDomain> inputDomain; ///< domain that stores the large inputs, or would store them
    std::size_t inputBytes = 0;               ///< of the large inputs
    std::vector<Region> allowedRegions;       ///< all regions if empty
    std::optional<std::string> softwareVersion;
};

/** What became of a request that was placed. */
enum class PlacementEvent {
    FirstEvent, ///< the target has read the prompt
    Ended,      ///< the target no longer runs the request, or never got it
    Failed,     ///< the target has failed the request
};

struct PlacementReport {
    PlacementId placement;
    PlacementEvent event = PlacementEvent::Ended;
    /** With FirstEvent the time since the request was sent, with Ended the mean time between events. */
    std::optional<Duration> time;
};

} // namespace CassiaRelay::Gateway
