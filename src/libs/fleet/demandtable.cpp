#include "demandtable.h"

namespace CassiaRelay::Fleet {

void DemandTable::setOwn(std::vector<PoolDemand> demand)
{
    m_own = std::move(demand);
}

void DemandTable::setPeerDemand(const VmId &vm, const std::vector<Schema::PoolDemandEntry> &demand)
{
    std::map<PoolName, double> &loads = m_peers[vm];
    loads.clear();
    for (const Schema::PoolDemandEntry &entry : demand) {
        loads[PoolName(entry.pool)] = entry.demand;
    }
}

std::vector<Schema::PoolDemandEntry> DemandTable::own() const
{
    std::vector<Schema::PoolDemandEntry> entries;
    for (const PoolDemand &demand : m_own) {
        entries.push_back({ demand.demand, demand.pool.value() });
    }
    return entries;
}

std::optional<DemandChanged> DemandTable::changes(const VmId &self,
                                                  const Members &members,
                                                  const LivenessTracker &liveness,
                                                  MonotonicTime now)
{
    std::map<PoolName, double> &ownDemand = m_peers[self];
    ownDemand.clear();
    for (const PoolDemand &demand : m_own) {
        ownDemand[demand.pool] = demand.demand;
    }
    Table table;
    for (const auto &[vm, loads] : m_peers) {
        for (const auto &[pool, demand] : loads) {
            table[pool];
        }
    }
    for (auto &[pool, loads] : table) {
        for (const VmId &vm : members) {
            const auto peer = m_peers.find(vm);
            const bool isReachable = vm == self || (peer != m_peers.end() && liveness.isReachable(vm, now));
            const bool isReported = isReachable && peer->second.count(pool) > 0;
            loads[vm] = { isReported ? peer->second.at(pool) : 0.0, isReachable };
        }
    }
    if (table == m_last) {
        return std::nullopt;
    }
    m_last = table;
    DemandChanged changed;
    for (const auto &[pool, loads] : table) {
        for (const auto &[vm, load] : loads) {
            changed.demand[pool].push_back({ vm, load.demand, load.isReachable });
        }
    }
    return changed;
}

} // namespace CassiaRelay::Fleet
