#include "limitshare.h"

#include <algorithm>
#include <cmath>

namespace CassiaRelay::Routing {

namespace {

/** Added to the demand of each member, so that an idle one has a slot for its first work item. */
constexpr double IDLE_DEMAND = 0.5;

struct Allocation {
    int guaranteed = 0;
    double remainder = 0;
    std::uint64_t rank = 0;
    bool isSelf = false;
};

bool precedes(const Allocation &left, const Allocation &right)
{
    if (left.remainder != right.remainder) {
        return left.remainder > right.remainder;
    }
    return left.rank > right.rank;
}

} // namespace

int shareOfLimit(int limit, const TargetId &target, const VmId &self, const std::vector<MemberDemand> &members)
{
    const bool areAllReachable = std::all_of(members.begin(), members.end(), [](const MemberDemand &member) { return member.isReachable; });
    const auto weight = [areAllReachable](const MemberDemand &member) {
        return areAllReachable ? std::max(member.demand, 0.0) + IDLE_DEMAND : 1.0;
    };
    double total = 0;
    for (const MemberDemand &member : members) {
        total += weight(member);
    }
    std::vector<Allocation> allocations;
    int unallocated = limit;
    for (const MemberDemand &member : members) {
        const double exact = limit * weight(member) / total;
        Allocation allocation;
        allocation.guaranteed = static_cast<int>(std::floor(exact));
        allocation.remainder = areAllReachable ? exact - allocation.guaranteed : 0;
        allocation.rank = stableHash(member.vm.value(), stableHash(target.value()));
        allocation.isSelf = member.vm == self;
        unallocated -= allocation.guaranteed;
        allocations.push_back(allocation);
    }
    std::sort(allocations.begin(), allocations.end(), precedes);
    for (std::size_t index = 0; index < allocations.size(); ++index) {
        if (allocations[index].isSelf) {
            return allocations[index].guaranteed + (static_cast<int>(index) < unallocated ? 1 : 0);
        }
    }
    return 0;
}

std::unordered_map<TargetId, int> sharesOfTargets(const TargetTable &table, const CellDemand &cellDemand)
{
    std::unordered_map<TargetId, int> shares;
    if (cellDemand.pools.empty()) {
        return shares;
    }
    // No member has reported demand for a pool that is missing. Marking its members unreachable divides its limits evenly.
    std::vector<MemberDemand> unreachableMembers = cellDemand.pools.begin()->second;
    for (MemberDemand &member : unreachableMembers) {
        member.isReachable = false;
    }
    for (const auto &[id, target] : table.targets()) {
        const auto pool = cellDemand.pools.find(target.pool);
        const auto &members = pool == cellDemand.pools.end() ? unreachableMembers : pool->second;
        shares.emplace(id, shareOfLimit(target.limits.concurrency, id, cellDemand.self, members));
    }
    return shares;
}

} // namespace CassiaRelay::Routing
