#pragma once

#include <common/common.h>

#include <map>
#include <vector>

namespace CassiaRelay::Routing {

/** Load that a target reports about itself; may be outdated or missing. */
struct LoadReport {
    int running = 0;
    int queued = 0;
    Incarnation incarnation;
    bool cold = false;
};

/** Demand of one daemon of the cell in a pool. */
struct MemberDemand {
    VmId vm;
    double demand = 0;
    bool isReachable = false; ///< a heartbeat arrived within the last few intervals
};

/** Number of running and queued work items of this daemon in one pool. */
struct PoolDemand {
    PoolName pool;
    double demand = 0;
};

/** Demand of all daemons of a cell, by which they divide the limits of warm targets among themselves. */
struct CellDemand {
    VmId self;
    std::map<PoolName, std::vector<MemberDemand>> pools; ///< each lists every member of the cell, ordered by id
};

} // namespace CassiaRelay::Routing
