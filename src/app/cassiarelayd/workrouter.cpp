#include "workrouter.h"

namespace CassiaRelay::Daemon {

namespace {

constexpr std::uint64_t WORK_IDS_PER_REQUEST = 4096;

MonotonicTime now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

WorkRouter::WorkRouter(std::uint64_t seed, VmId self, FailureDomain failureDomain)
    : m_dispatcher(seed, std::move(self), std::move(failureDomain))
{
}

WorkId WorkRouter::reserveWorkIds()
{
    return WorkId(m_nextBlock.fetch_add(1, std::memory_order_relaxed) * WORK_IDS_PER_REQUEST);
}

void WorkRouter::submit(const Routing::WorkItem &item, const std::shared_ptr<WorkOwner> &owner)
{
    {
        const std::lock_guard lock(m_mutex);
        m_owners[item.id] = owner;
    }
    deliver(m_dispatcher.submit(item, now()));
}

void WorkRouter::finished(WorkId work, Routing::AttemptOutcome outcome, Duration serviceTime)
{
    forget(work);
    deliver(m_dispatcher.finished(work, outcome, serviceTime, now()));
}

void WorkRouter::withdraw(WorkId work)
{
    // The owner stays known: an assignment may be under way to it, and only it can give the slot back.
    deliver(m_dispatcher.withdraw(work, now()));
}

void WorkRouter::adopt(std::shared_ptr<const Routing::TargetTable> table, std::shared_ptr<const Settings::FleetSettings> settings)
{
    deliver(m_dispatcher.adopt(std::move(table), std::move(settings), now()));
}

void WorkRouter::tick()
{
    deliver(m_dispatcher.tick(now()));
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
    } else {
        finished(assign.work, Routing::AttemptOutcome::Cancelled, Duration {});
    }
}

void WorkRouter::perform(const Routing::Reject &reject)
{
    if (const auto owner = ownerOf(reject.work)) {
        owner->onDecision(reject);
    }
    forget(reject.work);
}

// Without a steward each daemon bounds the work on a cold target for itself.
void WorkRouter::perform(const Routing::NeedPermit &need)
{
    deliver(m_dispatcher.onPermit(need.work, need.target, true, now()));
}

void WorkRouter::perform(const Routing::ReturnPermit & /*permit*/)
{
}

void WorkRouter::perform(const Routing::ReportDeath & /*report*/)
{
}

void WorkRouter::perform(const Routing::ReportSurvived & /*report*/)
{
}

std::shared_ptr<WorkOwner> WorkRouter::ownerOf(WorkId work)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_owners.find(work);
    return found == m_owners.end() ? nullptr : found->second.lock();
}

void WorkRouter::forget(WorkId work)
{
    const std::lock_guard lock(m_mutex);
    m_owners.erase(work);
}

} // namespace CassiaRelay::Daemon
