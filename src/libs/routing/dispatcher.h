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
 * Queues the work items of one daemon and assigns them to targets with a free slot.
 *
 * Every call returns the decisions that result from it, including those about work items of other callers. Thread-safe.
 */
class Dispatcher
{
public:
    /** @param failureDomain where this daemon runs; targets in it are preferred */
    Dispatcher(std::uint64_t seed, VmId self, FailureDomain failureDomain);

    /** Replaces the target table and the settings, then starts or rejects queued work items accordingly. */
    Decisions applyConfiguration(std::shared_ptr<const TargetTable> table,
                                 std::shared_ptr<const Settings::FleetSettings> settings,
                                 MonotonicTime now);
    /** Queues the work item, or starts or rejects it immediately. */
    Decisions submit(const WorkItem &item, MonotonicTime now);
    /** Frees the slot that the work item held on a target. */
    Decisions onFinished(WorkId work, AttemptOutcome outcome, Duration serviceTime, MonotonicTime now);
    /** Removes a work item that is queued or waits for a permit. */
    Decisions withdraw(WorkId work, MonotonicTime now);
    /** Rejects expired work items and starts queued ones on targets that are no longer blocked. Call every few milliseconds. */
    Decisions tick(MonotonicTime now);
    /** The target owner's answer to RequestPermit. */
    Decisions onPermit(WorkId work, const TargetId &target, bool granted, MonotonicTime now);
    Decisions onLoadReport(const TargetId &target, const LoadReport &report, MonotonicTime now);
    /** Applies the quarantine state that the cell has decided on for the request. */
    Decisions onQuarantine(Fingerprint fingerprint, QuarantineState state, MonotonicTime now);
    /** Sets the demand by which the limits of warm targets are divided. Takes effect with the next tick. */
    void setCellDemand(CellDemand cellDemand);
    /** Number of running and queued work items by pool, for the other daemons of the cell. */
    std::vector<PoolDemand> demand();

private:
    /** A work item that has a slot, or waits for the permit to use it. */
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
    Settings::OrganisationSettings m_defaultOrganisationLimits; ///< for organisations that the settings don't list
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
