#pragma once

#include "admission.h"
#include "decision.h"
#include "loadreport.h"
#include "policy.h"
#include "pool.h"
#include "quarantine.h"
#include "servicetimes.h"
#include "targettable.h"
#include "workitem.h"

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
    Decisions applyConfiguration(std::shared_ptr<const TargetTable> table,
                                 std::shared_ptr<const Settings::FleetSettings> settings,
                                 MonotonicTime now);
    /** Queues the work, or starts or rejects it at once. */
    Decisions submit(const WorkItem &item, MonotonicTime now);
    /** Frees the slot that the work held on a target. */
    Decisions onFinished(WorkId work, AttemptOutcome outcome, Duration serviceTime, MonotonicTime now);
    /** Forgets waiting work. */
    Decisions withdraw(WorkId work, MonotonicTime now);
    /** Rejects what can no longer be done in time. Call every few milliseconds. */
    Decisions tick(MonotonicTime now);
    /** The steward's answer to RequestPermit. */
    Decisions onPermit(WorkId work, const TargetId &target, bool granted, MonotonicTime now);
    Decisions onLoadReport(const TargetId &target, const LoadReport &report, MonotonicTime now);
    /** What the cell has found out about a request that was aboard a dead target. */
    Decisions onQuarantine(Fingerprint fingerprint, QuarantineState state, MonotonicTime now);
    /** Takes effect with the next tick. */
    void setCellDemand(CellDemand cellDemand);
    /** Running and waiting work by pool, for the other daemons of the cell. */
    std::vector<PoolDemand> demand();

private:
    /** Work that has a slot, or waits for the permit for one. */
    struct Placement {
        WorkItem item;
        std::size_t target = 0;
        MonotonicTime startedAt;
        bool isAwaitingPermit = false;
        bool hasPermit = false;
        bool isExclusive = false;
    };

    Decisions submitUnmanaged(const WorkItem &item, MonotonicTime now);
    std::optional<Refusal> checkAdmission(WorkItem &item, Pool &pool, MonotonicTime now);
    std::optional<Refusal> checkDeadline(WorkItem &item, const Pool &pool, MonotonicTime now);
    std::optional<Refusal> checkStart(const WorkItem &item, MonotonicTime now);
    void startQueued(Pool &pool, MonotonicTime now, Decisions &decisions);
    void start(WorkItem item, Pool &pool, MonotonicTime now, Decisions &decisions);
    void startSuspects(Pool &pool, MonotonicTime now, Decisions &decisions);
    void place(WorkItem item, std::size_t target, bool isExclusive, Pool &pool, MonotonicTime now, Decisions &decisions);
    void releaseSlot(const Placement &placement, Pool &pool, MonotonicTime now);
    void reject(const WorkItem &item, Refusal refusal, Decisions &decisions);
    void recordOutcome(const Placement &placement, AttemptOutcome outcome, Pool &pool, MonotonicTime now, Decisions &decisions);
    const Settings::OrganisationSettings &limitsOf(const OrganisationId &organisation) const;
    std::chrono::milliseconds jitteredRetryAfter(Duration time);
    void updateTargets();
    void rebuildPools(MonotonicTime now);
    void applyShares(const std::unordered_map<TargetId, int> &shares);

    std::mutex m_mutex;
    VmId m_self;
    FailureDomain m_failureDomain;
    RandomSource m_random;
    std::shared_ptr<const TargetTable> m_table;
    std::shared_ptr<const Settings::FleetSettings> m_settings;
    Settings::OrganisationSettings m_defaultOrganisationLimits; ///< limits of those that the settings don't name
    Policy m_policy = ManagedPolicy {};
    Admission m_admission;
    ServiceTimes m_serviceTimes;
    Quarantine m_quarantine;
    std::vector<TargetState> m_targets; ///< entries are never removed, so that indexes stay valid
    std::unordered_map<TargetId, std::size_t> m_targetIndex;
    std::unordered_map<PoolName, Pool> m_pools;
    std::unordered_map<WorkId, Placement> m_placements;
    CellDemand m_cellDemand;
    bool m_haveSharesChanged = false;
};

} // namespace CassiaRelay::Routing
