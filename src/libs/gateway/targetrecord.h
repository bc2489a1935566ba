#pragma once

#include "configuration.h"

namespace CassiaRelay::Gateway {

/** What a target has published of itself. */
struct TargetRecord {
    TargetId id;
    ServiceName service;
    Endpoint endpoint;
    FailureDomain failureDomain;
    std::int64_t startedAtMs = 0; ///< Unix time; tells two starts under one id apart
    int slots = 1;
    bool isLeaving = false;
    std::chrono::milliseconds coldFor { 0 }; ///< at the time of the record
};

} // namespace CassiaRelay::Gateway
