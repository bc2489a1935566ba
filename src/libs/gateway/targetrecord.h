#pragma once

#include "configuration.h"

namespace CassiaRelay::Gateway {

/** Start time of a target by the clock of its machine. Uses milliseconds because a published number can exceed the range of nanoseconds. */
using StartTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/** Published description of a target. */
struct TargetRecord {
    TargetId id;
    ServiceName service;
    Endpoint endpoint;
    FailureDomain failureDomain;
    StartTime startedAt;         ///< changes when a target restarts under the same id
    std::string softwareVersion; ///< of the target's program, not of its model
    int slots = 1;
    bool isLeaving = false;
    std::chrono::milliseconds coldFor { 0 }; ///< remaining cold time when the record was published
};

} // namespace CassiaRelay::Gateway
