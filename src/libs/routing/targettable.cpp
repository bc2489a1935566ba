#include "targettable.h"

namespace CassiaRelay::Routing {

bool Target::acceptsWork() const
{
    return !leaving && !limits.out;
}

TargetTable::TargetTable(const Schema::TargetList &list, const Settings::FleetSettings &settings)
{
    for (const Schema::TargetEntry &entry : list.targets) {
        Target target;
        target.id = TargetId(entry.target);
        target.pool = PoolName(entry.pool);
        target.failureDomain = FailureDomain(entry.failureDomain);
        target.address = entry.address;
        target.port = static_cast<std::uint16_t>(entry.port);
        target.incarnation = Incarnation(static_cast<std::uint64_t>(entry.incarnation.value_or(0)));
        target.leaving = entry.leaving.value_or(false);
        target.checksFencing = entry.checksFencing.value_or(false);
        target.limits = settings.target(target.id, target.pool, target.failureDomain);
        m_pools[target.pool].push_back(target.id);
        m_targets.insert_or_assign(target.id, std::move(target));
    }
}

const Target *TargetTable::find(const TargetId &id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second;
}

const std::vector<TargetId> &TargetTable::pool(const PoolName &name) const
{
    static const std::vector<TargetId> EMPTY;
    const auto found = m_pools.find(name);
    return found == m_pools.end() ? EMPTY : found->second;
}

const std::unordered_map<TargetId, Target> &TargetTable::targets() const
{
    return m_targets;
}

} // namespace CassiaRelay::Routing
