#pragma once

#include <common/common.h>

namespace CassiaRelay::Fleet {

/** Demand of this daemon for a pool, as a number of concurrent attempts. */
struct PoolDemand {
    PoolName pool;
    double demand = 0;
};

/** Demand of one member of the cell for a pool. */
struct MemberLoad {
    VmId vm;
    double demand = 0;
    bool isReachable = false; ///< false if the member was not heard recently; its demand is then unknown and given as 0
};

} // namespace CassiaRelay::Fleet
