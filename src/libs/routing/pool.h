#pragma once

#include "fairqueue.h"
#include "retrybudget.h"
#include "targetgroup.h"

#include <deque>

namespace CassiaRelay::Routing {

/** The targets of one pool and the work that waits for them. */
class Pool
{
public:
    /** @param members indexes into states of every published target of the pool */
    void rebuild(std::vector<std::size_t> members, std::vector<TargetState> &states, const FailureDomain &localDomain, MonotonicTime now);
    /** Call after each change of the state of a target. */
    void updateAvailability(std::size_t target, const std::vector<TargetState> &states, MonotonicTime now);
    /** Lets blocked targets whose time is over have work again. */
    void unblock(std::vector<TargetState> &states, MonotonicTime now);
    /** Gives the target no work until then. */
    void block(std::size_t target, std::vector<TargetState> &states, MonotonicTime until, MonotonicTime now);
    /** Ejects a target that keeps failing, unless too large a part of the pool is ejected. */
    void recordOutcome(
        std::size_t target, std::vector<TargetState> &states, AttemptOutcome outcome, double ejectionLimit, MonotonicTime now);

    const std::vector<std::size_t> &members() const;
    bool hasAvailableTarget() const;
    /** Call only while there is room. */
    std::size_t choose(const WorkItem &item, const std::vector<TargetState> &states, RandomSource &random) const;
    /** The target that is kept free for suspected requests; reserves one when there is none. */
    std::optional<std::size_t> reserve(std::vector<TargetState> &states, MonotonicTime now);
    void endReservation(std::vector<TargetState> &states, MonotonicTime now);
    /** Ends the reservation unless the reserved target has work. */
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
    std::vector<bool> m_isLocal; ///< by target
};

} // namespace CassiaRelay::Routing
