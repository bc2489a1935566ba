#pragma once

#include "demand.h"
#include "livenesstracker.h"

#include <optional>

namespace CassiaRelay::Fleet {

/** Last reported demand of every member of the cell. */
class DemandTable
{
public:
    void setOwn(std::vector<PoolDemand> demand);
    void setPeerDemand(const VmId &vm, const std::vector<Schema::PoolDemandEntry> &demand);
    std::vector<Schema::PoolDemandEntry> own() const;
    /** Returns the demand of all members, or std::nullopt if it is the same as the one returned last. */
    std::optional<DemandChanged> changes(const VmId &self, const Members &members, const LivenessTracker &liveness, MonotonicTime now);

private:
    struct Load {
        double demand = 0;
        bool isReachable = false;
        friend bool operator==(const Load &left, const Load &right)
        {
            return left.demand == right.demand && left.isReachable == right.isReachable;
        }
    };
    using Table = std::map<PoolName, std::map<VmId, Load>>;

    std::vector<PoolDemand> m_own;
    std::map<VmId, std::map<PoolName, double>> m_peers;
    Table m_last;
};

} // namespace CassiaRelay::Fleet
