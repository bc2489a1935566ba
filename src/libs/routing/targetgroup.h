#pragma once

#include "targetstate.h"

namespace CassiaRelay::Routing {

/** The targets of a pool within this daemon's failure domain, or those outside it. Selects a target without scanning the whole group. */
class TargetGroup
{
public:
    /** @param members indexes into states */
    void rebuild(const std::vector<std::size_t> &members, const std::vector<TargetState> &states);
    void setAvailable(std::size_t target, bool available);
    bool isEmpty() const;
    const std::vector<std::size_t> &available() const;
    /** Selects an available target; empty if none is available except the avoided one. */
    std::optional<std::size_t> choose(const WorkItem &item, const std::vector<TargetState> &states, RandomSource &random) const;

private:
    std::optional<std::size_t> chooseByAffinity(const WorkItem &item, const std::vector<TargetState> &states) const;
    std::optional<std::size_t> chooseByWait(const WorkItem &item, const std::vector<TargetState> &states, RandomSource &random) const;
    bool isAvailable(std::size_t target) const;

    std::vector<std::size_t> m_available;
    std::vector<std::int32_t> m_positions; ///< in m_available, indexed by target; -1 if not available
    std::vector<std::pair<std::uint64_t, std::size_t>> m_ring;
};

} // namespace CassiaRelay::Routing
