#pragma once

#include "configuration.h"

namespace CassiaRelay::Gateway {

/** Start time of a target by the clock of its machine. In milliseconds, so that every published number fits. */
using StartTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/** Published description of a target. */
struct TargetRecord {
    TargetId id;
    ServiceName service;
    Endpoint endpoint;
    FailureDomain failureDomain;
    StartTime startedAt; ///< distinguishes two starts under the same id
    int slots = 1;
    bool isLeaving = false;
    std::chrono::milliseconds coldFor { 0 }; ///< remaining cold time when the record was published
};

} // namespace CassiaRelay::Gateway
