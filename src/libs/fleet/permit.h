#pragma once

#include <common/common.h>

namespace CassiaRelay::Fleet {

/** Asks the owner of a cold or warming target for the right to run one unit of work on it. */
struct PermitRequest {
    WorkId work;
    TargetId target;
    Incarnation incarnation; ///< of the target; permits of an earlier incarnation do not count
    int bound = 0;           ///< maximum number of permits while the target is cold
    MonotonicTime deadline;  ///< of the request; the permit expires then at the latest
};

} // namespace CassiaRelay::Fleet
