#include "limitshare.h"

#include <algorithm>
#include <cmath>

namespace CassiaRelay::Routing {

namespace {

/** Demand that an idle member is taken to have, so that its first work finds a slot. */
constexpr double IDLE_DEMAND = 0.5;

struct Part {
    int whole = 0;
    double remainder = 0;
    std::uint64_t rank = 0;
    bool isSelf = false;
};

bool goesBefore(const Part &left, const Part &right)
{
    if (left.remainder != right.remainder) {
        return left.remainder > right.remainder;
    }
    return left.rank > right.rank;
}

} // namespace

int shareOfLimit(int limit, const TargetId &target, const VmId &self, const std::vector<MemberDemand> &members)
{
    const bool allHeard = std::all_of(members.begin(), members.end(), [](const MemberDemand &member) { return member.heard; });
    const auto weight = [allHeard](const MemberDemand &member) { return allHeard ? std::max(member.demand, 0.0) + IDLE_DEMAND : 1.0; };
    double total = 0;
    for (const MemberDemand &member : members) {
        total += weight(member);
    }
    std::vector<Part> parts;
    int left = limit;
    for (const MemberDemand &member : members) {
        const double exact = limit * weight(member) / total;
        Part part;
        part.whole = static_cast<int>(std::floor(exact));
        part.remainder = allHeard ? exact - part.whole : 0;
        part.rank = stableHash(member.vm.value(), stableHash(target.value()));
        part.isSelf = member.vm == self;
        left -= part.whole;
        parts.push_back(part);
    }
    std::sort(parts.begin(), parts.end(), goesBefore);
    for (std::size_t index = 0; index < parts.size(); ++index) {
        if (parts[index].isSelf) {
            return parts[index].whole + (static_cast<int>(index) < left ? 1 : 0);
        }
    }
    return 0;
}

std::unordered_map<TargetId, int> sharesOfTargets(const TargetTable &table, const DemandShares &shares)
{
    std::unordered_map<TargetId, int> parts;
    if (shares.pools.empty()) {
        return parts;
    }
    // Nobody has reported demand for a pool that is missing: its limits are divided evenly.
    std::vector<MemberDemand> unheard = shares.pools.begin()->second;
    for (MemberDemand &member : unheard) {
        member.heard = false;
    }
    for (const auto &[id, target] : table.targets()) {
        const auto pool = shares.pools.find(target.pool);
        const auto &members = pool == shares.pools.end() ? unheard : pool->second;
        parts.emplace(id, shareOfLimit(target.limits.concurrency, id, shares.self, members));
    }
    return parts;
}

} // namespace CassiaRelay::Routing
