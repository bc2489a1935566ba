#pragma once

#include "placementorder.h"

#include <map>
#include <utility>
#include <vector>

namespace CassiaRelay::Gateway {

/** A target that the owner of a service has selected for a request of this daemon. */
struct PlacedTarget {
    std::optional<VmId> owner; ///< no value if this daemon is the owner
    ServiceName service;
    PlacementId id;
    TargetId target;
};

/** Collects what became of placed requests until it is sent to the owners that placed them. */
class PlacementReports
{
public:
    using Owner = std::pair<std::optional<VmId>, ServiceName>;

    void add(const PlacedTarget &placed, PlacementEvent event, std::optional<Duration> time);
    std::vector<PlacementReport> take(const Owner &owner);
    /** Returns the owners for which there are reports. */
    std::vector<Owner> owners() const;
    /** Counts a selected target that this daemon could not use. */
    void recordUnusable();
    std::uint64_t unusableTargets() const;

private:
    std::map<Owner, std::vector<PlacementReport>> m_reports;
    std::uint64_t m_unusableTargets = 0;
};

} // namespace CassiaRelay::Gateway
