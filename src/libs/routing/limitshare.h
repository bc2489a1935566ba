#pragma once

#include "loadreport.h"
#include "targettable.h"

namespace CassiaRelay::Routing {

/**
 * The share of a warm target's concurrency limit that this daemon may use.
 *
 * While every member is reachable, shares are proportional to demand and rounded by the largest remainder method.
 * Otherwise shares are equal, and the remainder goes to the members that rendezvous hashing ranks first for the target.
 * Either way the shares add up to the limit.
 */
int shareOfLimit(int limit, const TargetId &target, const VmId &self, const std::vector<MemberDemand> &members);

/** This daemon's share of the limit of each target in the table; empty until the cell's demand is known. */
std::unordered_map<TargetId, int> sharesOfTargets(const TargetTable &table, const CellDemand &cellDemand);

} // namespace CassiaRelay::Routing
