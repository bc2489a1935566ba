#pragma once

#include "configuration.h"

namespace CassiaRelay::Gateway {

/** When a target started, by the clock of its machine; milliseconds, because any published number must fit. */
using StartTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/** What a target has published of itself. */
struct TargetRecord {
    TargetId id;
    ServiceName service;
    Endpoint endpoint;
    FailureDomain failureDomain;
    StartTime startedAt; ///< tells two starts under one id apart
    int slots = 1;
    bool isLeaving = false;
    std::chrono::milliseconds coldFor { 0 }; ///< at the time of the record
};

} // namespace CassiaRelay::Gateway
