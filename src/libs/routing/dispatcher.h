#pragma once

#include "decision.h"
#include "loadreport.h"
#include "targettable.h"
#include "workitem.h"

#include <deque>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace CassiaRelay::Routing {

/**
 * Holds the work of one daemon until a target has a slot for it.
 *
 * Every call returns what follows from it, also for work of other callers. Calls may come from any thread.
 */
class Dispatcher
{
public:
    /** @param failureDomain where this daemon runs; its targets are preferred */
    Dispatcher(std::uint64_t seed, VmId self, FailureDomain failureDomain);

    /** Takes over a new target table; waiting work is judged anew. */
    Decisions adopt(std::shared_ptr<const TargetTable> table, std::shared_ptr<const Settings::FleetSettings> settings, MonotonicTime now);
    /** Queues the work, or starts or rejects it at once. */
    Decisions submit(const WorkItem &item, MonotonicTime now);
    /** Frees the slot that the work held on a target. */
    Decisions finished(WorkId work, AttemptOutcome outcome, Duration serviceTime, MonotonicTime now);
    /** Forgets waiting work. */
    Decisions withdraw(WorkId work, MonotonicTime now);
    /** Rejects what can no longer be done in time. Call every few milliseconds. */
    Decisions tick(MonotonicTime now);
    /** The steward's answer to NeedPermit. */
    Decisions onPermit(WorkId work, const TargetId &target, bool granted, MonotonicTime now);
    Decisions onLoadReport(const TargetId &target, const LoadReport &report, MonotonicTime now);
    /** What the cell has found out about a request that was aboard a dead target. */
    Decisions onQuarantine(Fingerprint fingerprint, QuarantineState state, MonotonicTime now);
    void adoptShares(DemandShares shares);
    /** Running and waiting work by pool, for the other daemons of the cell. */
    std::vector<PoolDemand> demand();

private:
    struct Running {
        TargetId target;
    };

    Decisions startWaiting(const PoolName &pool, MonotonicTime now);
    std::optional<TargetId> chooseTarget(const WorkItem &item);

    std::mutex m_mutex;
    VmId m_self;
    FailureDomain m_failureDomain;
    DemandShares m_shares;
    RandomSource m_random;
    std::shared_ptr<const TargetTable> m_table;
    std::shared_ptr<const Settings::FleetSettings> m_settings;
    std::unordered_map<PoolName, std::deque<WorkItem>> m_waiting;
    std::unordered_map<WorkId, Running> m_running;
    std::unordered_map<TargetId, int> m_inFlight;
};

} // namespace CassiaRelay::Routing
