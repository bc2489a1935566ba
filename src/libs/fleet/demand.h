#pragma once

#include <common/common.h>

namespace CassiaRelay::Fleet {

/** How much work a daemon has for a pool, in concurrent attempts. */
struct PoolDemand {
    PoolName pool;
    double demand = 0;
};

/** Demand of one member of the cell for a pool. */
struct MemberLoad {
    VmId vm;
    double demand = 0;
    bool isReachable = false; ///< false when the member is silent and its demand is not known
};

} // namespace CassiaRelay::Fleet
