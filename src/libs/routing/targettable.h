#pragma once

#include <common/common.h>
#include <settings/settings.h>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace CassiaRelay::Routing {

/** A published target with its limits. */
struct Target {
    TargetId id;
    PoolName pool;
    FailureDomain failureDomain;
    std::string address;
    std::uint16_t port = 0;
    Incarnation incarnation;
    bool leaving = false;
    bool checksFencing = false;
    Settings::TargetSettings limits;

    /** True while new work may be sent to the target. */
    bool acceptsWork() const;
};

/** Immutable table of the published targets, by id and by pool. */
class TargetTable
{
public:
    TargetTable() = default;
    TargetTable(const Schema::TargetList &list, const Settings::FleetSettings &settings);

    /** @return nullptr if the target is not published */
    const Target *find(const TargetId &id) const;
    /** Ids in published order; empty for an unknown pool. */
    const std::vector<TargetId> &pool(const PoolName &name) const;
    const std::unordered_map<TargetId, Target> &targets() const;

private:
    std::unordered_map<TargetId, Target> m_targets;
    std::unordered_map<PoolName, std::vector<TargetId>> m_pools;
};

} // namespace CassiaRelay::Routing
