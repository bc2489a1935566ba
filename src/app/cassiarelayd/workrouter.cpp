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
    deliver(m_dispatcher.finished(work, outcome, serviceTime, now()));
}

void WorkRouter::withdraw(WorkId work)
{
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
        const std::shared_ptr<WorkOwner> owner = ownerOf(workOf(decision));
        if (owner) {
            owner->onDecision(decision);
            continue;
        }
        if (const auto *assign = std::get_if<Routing::Assign>(&decision)) {
            finished(assign->work, Routing::AttemptOutcome::Cancelled, Duration {});
        }
    }
}

std::shared_ptr<WorkOwner> WorkRouter::ownerOf(WorkId work)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_owners.find(blockOf(work));
    return found == m_owners.end() ? nullptr : found->second.lock();
}

} // namespace CassiaRelay::Daemon
