#include "workrouter.h"

namespace CassiaRelay::Daemon {

namespace {

constexpr std::uint64_t WORK_IDS_PER_REQUEST = 4096;

MonotonicTime now()
{
    return std::chrono::steady_clock::now();
}

std::uint64_t blockOf(WorkId work)
{
    return work.value() / WORK_IDS_PER_REQUEST;
}

} // namespace

WorkRouter::WorkRouter(std::uint64_t seed, VmId self, FailureDomain failureDomain, CellLink cell)
    : m_dispatcher(seed, std::move(self), std::move(failureDomain))
    , m_cell(std::move(cell))
{
}

WorkId WorkRouter::reserveWorkIds()
{
    return WorkId(m_nextBlock.fetch_add(1, std::memory_order_relaxed) * WORK_IDS_PER_REQUEST);
}

void WorkRouter::addOwner(WorkId firstWork, const std::shared_ptr<WorkOwner> &owner)
{
    const std::lock_guard lock(m_mutex);
    m_owners[blockOf(firstWork)] = owner;
}

void WorkRouter::removeOwner(WorkId firstWork)
{
    const std::lock_guard lock(m_mutex);
    m_owners.erase(blockOf(firstWork));
}

void WorkRouter::submit(const Routing::WorkItem &item)
{
    deliver(m_dispatcher.submit(item, now()));
}

void WorkRouter::finished(WorkId work, Routing::AttemptOutcome outcome, Duration serviceTime)
{
    deliver(m_dispatcher.onFinished(work, outcome, serviceTime, now()));
}

void WorkRouter::withdraw(WorkId work)
{
    deliver(m_dispatcher.withdraw(work, now()));
}

void WorkRouter::adopt(std::shared_ptr<const Routing::TargetTable> table, std::shared_ptr<const Settings::FleetSettings> settings)
{
    deliver(m_dispatcher.applyConfiguration(std::move(table), std::move(settings), now()));
}

void WorkRouter::tick()
{
    deliver(m_dispatcher.tick(now()));
}

void WorkRouter::onPermit(WorkId work, const TargetId &target, bool granted)
{
    deliver(m_dispatcher.onPermit(work, target, granted, now()));
}

void WorkRouter::onLoadReport(const TargetId &target, const Routing::LoadReport &report)
{
    deliver(m_dispatcher.onLoadReport(target, report, now()));
}

void WorkRouter::onQuarantine(Fingerprint fingerprint, Routing::QuarantineState state)
{
    deliver(m_dispatcher.onQuarantine(fingerprint, state, now()));
}

void WorkRouter::adoptShares(Routing::CellDemand shares)
{
    m_dispatcher.setCellDemand(std::move(shares));
}

std::vector<Routing::PoolDemand> WorkRouter::demand()
{
    return m_dispatcher.demand();
}

void WorkRouter::deliver(const Routing::Decisions &decisions)
{
    for (const Routing::Decision &decision : decisions) {
        std::visit([this](const auto &body) { perform(body); }, decision);
    }
}

void WorkRouter::perform(const Routing::Assign &assign)
{
    if (const auto owner = ownerOf(assign.work)) {
        owner->onDecision(assign);
        return;
    }
    finished(assign.work, Routing::AttemptOutcome::Cancelled, Duration {});
}

void WorkRouter::perform(const Routing::Reject &reject)
{
    if (const auto owner = ownerOf(reject.work)) {
        owner->onDecision(reject);
    }
}

void WorkRouter::perform(const Routing::RequestPermit &need)
{
    m_cell.requestPermit(need);
}

void WorkRouter::perform(const Routing::ReturnPermit &permit)
{
    m_cell.returnPermit(permit);
}

void WorkRouter::perform(const Routing::ReportLoss &report)
{
    m_cell.reportLoss(report);
}

void WorkRouter::perform(const Routing::RetractLoss &report)
{
    m_cell.retractLoss(report);
}

void WorkRouter::perform(const Routing::ReportSurvived &report)
{
    m_cell.reportSurvived(report);
}

std::shared_ptr<WorkOwner> WorkRouter::ownerOf(WorkId work)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_owners.find(blockOf(work));
    return found == m_owners.end() ? nullptr : found->second.lock();
}

} // namespace CassiaRelay::Daemon
