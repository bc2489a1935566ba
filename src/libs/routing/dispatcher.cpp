#include "dispatcher.h"

#include <algorithm>

namespace CassiaRelay::Routing {

Dispatcher::Dispatcher(std::uint64_t seed, VmId self, FailureDomain failureDomain)
    : m_self(std::move(self))
    , m_failureDomain(std::move(failureDomain))
    , m_random(seed)
    , m_table(std::make_shared<const TargetTable>())
{
}

Decisions Dispatcher::adopt(std::shared_ptr<const TargetTable> table,
                            std::shared_ptr<const Settings::FleetSettings> settings,
                            MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    m_table = std::move(table);
    m_settings = std::move(settings);
    Decisions decisions;
    for (const auto &[pool, waiting] : m_waiting) {
        Decisions more = startWaiting(pool, now);
        decisions.insert(decisions.end(), more.begin(), more.end());
    }
    return decisions;
}

Decisions Dispatcher::submit(const WorkItem &item, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    std::deque<WorkItem> &waiting = m_waiting[item.pool];
    const std::size_t limit = m_settings ? static_cast<std::size_t>(m_settings->defaults().queueLength) : 0;
    if (waiting.size() >= limit) {
        return { Reject {
            item.id,
            { ErrorKind::Overloaded, Outcome::NotRun, "the queue of pool " + item.pool.value() + " is full", std::chrono::seconds(1) } } };
    }
    waiting.push_back(item);
    return startWaiting(item.pool, now);
}

Decisions Dispatcher::finished(WorkId work, AttemptOutcome /*outcome*/, Duration /*serviceTime*/, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    const auto running = m_running.find(work);
    if (running == m_running.end()) {
        return {};
    }
    const TargetId target = running->second.target;
    m_running.erase(running);
    --m_inFlight[target];
    const Target *entry = m_table->find(target);
    return entry == nullptr ? Decisions {} : startWaiting(entry->pool, now);
}

Decisions Dispatcher::withdraw(WorkId work, MonotonicTime /*now*/)
{
    const std::lock_guard lock(m_mutex);
    for (auto &[pool, waiting] : m_waiting) {
        waiting.erase(std::remove_if(waiting.begin(), waiting.end(), [work](const WorkItem &item) { return item.id == work; }),
                      waiting.end());
    }
    return {};
}

Decisions Dispatcher::tick(MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    Decisions decisions;
    for (auto &[pool, waiting] : m_waiting) {
        Decisions more = startWaiting(pool, now);
        decisions.insert(decisions.end(), more.begin(), more.end());
    }
    return decisions;
}

Decisions Dispatcher::onPermit(WorkId /*work*/, const TargetId & /*target*/, bool /*granted*/, MonotonicTime /*now*/)
{
    return {};
}

Decisions Dispatcher::onLoadReport(const TargetId & /*target*/, const LoadReport & /*report*/, MonotonicTime /*now*/)
{
    return {};
}

Decisions Dispatcher::onQuarantine(Fingerprint /*fingerprint*/, QuarantineState /*state*/, MonotonicTime /*now*/)
{
    return {};
}

void Dispatcher::adoptShares(DemandShares shares)
{
    const std::lock_guard lock(m_mutex);
    m_shares = std::move(shares);
}

std::vector<PoolDemand> Dispatcher::demand()
{
    const std::lock_guard lock(m_mutex);
    std::vector<PoolDemand> demand;
    for (const auto &[pool, waiting] : m_waiting) {
        double running = 0;
        for (const TargetId &target : m_table->pool(pool)) {
            running += m_inFlight[target];
        }
        demand.push_back({ pool, running + static_cast<double>(waiting.size()) });
    }
    return demand;
}

Decisions Dispatcher::startWaiting(const PoolName &pool, MonotonicTime now)
{
    Decisions decisions;
    std::deque<WorkItem> &waiting = m_waiting[pool];
    while (!waiting.empty()) {
        const WorkItem &item = waiting.front();
        if (item.deadline <= now) {
            decisions.push_back(Reject {
                item.id, { ErrorKind::DeadlineExceeded, Outcome::NotRun, "no target was free in time", std::chrono::seconds(1) } });
            waiting.pop_front();
            continue;
        }
        const std::optional<TargetId> target = chooseTarget(item);
        if (!target) {
            break;
        }
        ++m_inFlight[*target];
        m_running[item.id] = Running { *target };
        decisions.push_back(Assign { item.id, *target });
        waiting.pop_front();
    }
    return decisions;
}

std::optional<TargetId> Dispatcher::chooseTarget(const WorkItem &item)
{
    std::optional<TargetId> best;
    int bestInFlight = 0;
    for (const TargetId &id : m_table->pool(item.pool)) {
        const Target *target = m_table->find(id);
        const int inFlight = m_inFlight[id];
        if (!target->acceptsWork() || inFlight >= target->limits.concurrency || item.avoid == id) {
            continue;
        }
        if (!best || inFlight < bestInFlight) {
            best = id;
            bestInFlight = inFlight;
        }
    }
    return best;
}

} // namespace CassiaRelay::Routing
