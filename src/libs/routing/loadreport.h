#pragma once

#include <common/common.h>

#include <map>
#include <vector>

namespace CassiaRelay::Routing {

/** What a target says of itself; late and sometimes missing. */
struct LoadReport {
    int running = 0;
    int queued = 0;
    Incarnation incarnation;
    bool cold = false;
};

/** Work that a daemon has or wants in a pool. */
struct MemberDemand {
    VmId vm;
    double demand = 0;
    bool isReachable = false; ///< within the last heartbeats
};

/** Running and waiting work of this daemon in one pool. */
struct PoolDemand {
    PoolName pool;
    double demand = 0;
};

/** By which the daemons of a cell divide the limits of warm targets among themselves. */
struct CellDemand {
    VmId self;
    std::map<PoolName, std::vector<MemberDemand>> pools; ///< every member of the cell in each, in the order of ids
};

} // namespace CassiaRelay::Routing
