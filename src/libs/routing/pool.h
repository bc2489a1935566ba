#pragma once

#include "fairqueue.h"
#include "retrybudget.h"
#include "targetgroup.h"

#include <deque>

namespace CassiaRelay::Routing {

/** The targets of one pool and the work items that are queued for them. */
class Pool
{
public:
    /** @param members all published targets of the pool, as indexes into states */
    void rebuild(std::vector<std::size_t> members, std::vector<TargetState> &states, const FailureDomain &localDomain, MonotonicTime now);
    /** Call after each change to the state of the target. */
    void updateAvailability(std::size_t target, const std::vector<TargetState> &states, MonotonicTime now);
    /** Makes targets whose block has expired available again. */
    void unblock(std::vector<TargetState> &states, MonotonicTime now);
    /** Assigns no work to the target until the given time. */
    void block(std::size_t target, std::vector<TargetState> &states, MonotonicTime until, MonotonicTime now);
    /** Ejects a target that keeps failing or is unreachable, unless the ejected fraction of the pool would exceed ejectionLimit. */
    void recordOutcome(
        std::size_t target, std::vector<TargetState> &states, AttemptOutcome outcome, double ejectionLimit, MonotonicTime now);

    const std::vector<std::size_t> &members() const;
    bool hasAvailableTarget() const;
    /** Call only if hasAvailableTarget(). */
    std::size_t choose(const WorkItem &item, const std::vector<TargetState> &states, RandomSource &random) const;
    /** The target that is kept free for suspect requests; reserves one if none is reserved yet. Empty if none is available. */
    std::optional<std::size_t> reserve(std::vector<TargetState> &states, MonotonicTime now);
    void endReservation(std::vector<TargetState> &states, MonotonicTime now);
    /** Ends the reservation unless the reserved target has work in flight. */
    void endUnusedReservation(std::vector<TargetState> &states, MonotonicTime now);

    FairQueue queue;
    std::deque<WorkItem> suspects;
    RetryBudget retryBudget;
    std::size_t running = 0;

private:
    TargetGroup m_localTargets;
    TargetGroup m_remoteTargets;
    std::vector<std::size_t> m_members;
    std::vector<std::size_t> m_blocked;
    std::optional<std::size_t> m_reservedTarget;
    std::vector<bool> m_isLocal; ///< indexed by target
};

} // namespace CassiaRelay::Routing
