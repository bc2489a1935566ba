#pragma once

#include "loadreport.h"
#include "targettable.h"

namespace CassiaRelay::Routing {

/**
 * The part of a warm target's limit that this daemon may use.
 *
 * Follows demand while every member is heard, by largest remainder; otherwise each member has the same part, and the
 * members ranked first for the target by rendezvous hash have one more. Either way the parts add up to the limit.
 */
int shareOfLimit(int limit, const TargetId &target, const VmId &self, const std::vector<MemberDemand> &members);

/** The part of each target of the table; empty when there are no shares. */
std::unordered_map<TargetId, int> sharesOfTargets(const TargetTable &table, const CellDemand &cellDemand);

} // namespace CassiaRelay::Routing
