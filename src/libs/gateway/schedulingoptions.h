#pragma once

#include <common/common.h>

#include <chrono>
#include <optional>
#include <unordered_map>

namespace CassiaRelay::Gateway {

/** When work may leave the failure domain that its large inputs or results prefer. */
struct SpilloverOptions {
    bool isAllowed = true;
    Duration transferDelayPerMegabyte {}; ///< delay that keeping a megabyte within its domain is worth
};

/** Optional scheduling behaviour of a daemon; everything is off by default. */
struct SchedulingOptions {
    bool usesFleetAdmission = false;     ///< owners of stage services admit requests for all daemons
    bool sharesByOrganisation = false;   ///< organisations share stage services by weight while work waits
    bool placesByExpectedFinish = false; ///< targets are chosen by the time at which they are expected to respond
    bool freesFetchedInputs = false;     ///< inputs of stages are freed when they have been fetched, not when the stage has finished
    bool placesForFleet = false;         ///< the owner of a service chooses the targets of the streams of all daemons
    std::unordered_map<OrganisationId, double> organisationWeights; ///< weights other than 1
    std::optional<SpilloverOptions> spillover;                      ///< no value: only urgent work and the overflow of a domain leave
};

} // namespace CassiaRelay::Gateway
