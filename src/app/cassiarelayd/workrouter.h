#pragma once

#include <common/common.h>
#include <routing/routing.h>

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace CassiaRelay::Daemon {

/** Receives what the dispatcher decides about the work of one request. From any thread. */
class WorkOwner
{
public:
    virtual ~WorkOwner() = default;
    virtual void onDecision(const Routing::Decision &decision) = 0;
};

/** Carries the dispatcher's questions and reports to the cell. Called from any thread; must not call back at once. */
struct CellLink {
    std::function<void(const Routing::RequestPermit &)> requestPermit;
    std::function<void(const Routing::ReturnPermit &)> returnPermit;
    std::function<void(const Routing::ReportLoss &)> reportLoss;
    std::function<void(const Routing::RetractLoss &)> retractLoss;
    std::function<void(const Routing::ReportSurvived &)> reportSurvived;
};

/** Connects the dispatcher with the requests whose work it holds, and with the cell. Safe from any thread. */
class WorkRouter
{
public:
    WorkRouter(std::uint64_t seed, VmId self, FailureDomain failureDomain, CellLink cell);

    /** First id of a block that no other request uses. */
    WorkId reserveWorkIds();
    /** Decisions about work of the block go to this owner. */
    void addOwner(WorkId firstWork, const std::shared_ptr<WorkOwner> &owner);
    /** Slots that are still assigned to the block are freed as soon as they are. */
    void removeOwner(WorkId firstWork);
    void submit(const Routing::WorkItem &item);
    void finished(WorkId work, Routing::AttemptOutcome outcome, Duration serviceTime);
    void withdraw(WorkId work);
    void adopt(std::shared_ptr<const Routing::TargetTable> table, std::shared_ptr<const Settings::FleetSettings> settings);
    void onPermit(WorkId work, const TargetId &target, bool granted);
    void onLoadReport(const TargetId &target, const Routing::LoadReport &report);
    void onQuarantine(Fingerprint fingerprint, Routing::QuarantineState state);
    void adoptShares(Routing::CellDemand shares);
    std::vector<Routing::PoolDemand> demand();
    void tick();

private:
    void deliver(const Routing::Decisions &decisions);
    void perform(const Routing::Assign &assign);
    void perform(const Routing::Reject &reject);
    void perform(const Routing::RequestPermit &need);
    void perform(const Routing::ReturnPermit &permit);
    void perform(const Routing::ReportLoss &report);
    void perform(const Routing::RetractLoss &report);
    void perform(const Routing::ReportSurvived &report);
    std::shared_ptr<WorkOwner> ownerOf(WorkId work);

    Routing::Dispatcher m_dispatcher;
    CellLink m_cell;
    std::atomic<std::uint64_t> m_nextBlock { 1 };
    std::mutex m_mutex;
    std::unordered_map<std::uint64_t, std::weak_ptr<WorkOwner>> m_owners; ///< by block
};

} // namespace CassiaRelay::Daemon
