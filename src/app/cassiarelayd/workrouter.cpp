#include "workrouter.h"

namespace CassiaRelay::Daemon {

namespace {

constexpr std::uint64_t WORK_IDS_PER_REQUEST = 4096;

MonotonicTime now()
{
    return std::chrono::steady_clock::now();
}

WorkId workOf(const Routing::Decision &decision)
{
    return std::visit([](const auto &body) { return body.work; }, decision);
}

} // namespace

WorkRouter::WorkRouter(std::uint64_t seed)
    : m_dispatcher(seed)
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
        const WorkId work = workOf(decision);
        std::shared_ptr<WorkOwner> owner;
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_owners.find(work);
            owner = found == m_owners.end() ? nullptr : found->second.lock();
        }
        if (owner) {
            owner->onDecision(decision);
        } else if (std::holds_alternative<Routing::Assign>(decision)) {
            finished(work, Routing::AttemptOutcome::Cancelled, Duration {});
        }
        if (std::holds_alternative<Routing::Reject>(decision)) {
            forget(work);
        }
    }
}

void WorkRouter::forget(WorkId work)
{
    const std::lock_guard lock(m_mutex);
    m_owners.erase(work);
}

} // namespace CassiaRelay::Daemon
