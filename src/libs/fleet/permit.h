#pragma once

#include <common/common.h>

namespace CassiaRelay::Fleet {

/** Asks the steward of a cold or warming target for the right to run one unit of work on it. */
struct PermitRequest {
    WorkId work;
    TargetId target;
    Incarnation incarnation; ///< of the target; the bound starts again with a new one
    int bound = 0;           ///< what the target bears when cold
    MonotonicTime deadline;  ///< of the request; the permit ends here at the latest
};

} // namespace CassiaRelay::Fleet
