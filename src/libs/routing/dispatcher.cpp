#include "dispatcher.h"

#include "limitshare.h"

#include <algorithm>

namespace CassiaRelay::Routing {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds REFUSED_PERMIT_BACKOFF { 25 };
constexpr milliseconds MIN_RETRY_AFTER { 200 };
constexpr milliseconds MAX_RETRY_AFTER { 10000 };

void append(Decisions &decisions, Decisions more)
{
    std::move(more.begin(), more.end(), std::back_inserter(decisions));
}

} // namespace

Dispatcher::Dispatcher(std::uint64_t seed, VmId self, FailureDomain failureDomain)
    : m_self(std::move(self))
    , m_failureDomain(std::move(failureDomain))
    , m_random(seed)
    , m_table(std::make_shared<const TargetTable>())
{
}

Decisions Dispatcher::applyConfiguration(std::shared_ptr<const TargetTable> table,
                                         std::shared_ptr<const Settings::FleetSettings> settings,
                                         MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    const bool isNewPolicy = settings && (!m_settings || settings->defaults().policy != m_settings->defaults().policy);
    m_table = std::move(table);
    m_settings = std::move(settings);
    if (isNewPolicy) {
        m_policy = makePolicy(m_settings->defaults().policy);
    }
    if (m_settings) {
        m_defaultOrganisationLimits.requestsPerSecond = m_settings->defaults().requestsPerSecond;
        m_defaultOrganisationLimits.concurrency = m_settings->defaults().organisationConcurrency;
    }
    Decisions decisions;
    updateTargets();
    applyShares(sharesOfTargets(*m_table, m_cellDemand));
    rebuildPools(now);
    for (auto &[name, pool] : m_pools) {
        startQueued(pool, now, decisions);
    }
    return decisions;
}

Decisions Dispatcher::submit(const WorkItem &item, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    if (!isManaged(m_policy)) {
        return submitUnmanaged(item, now);
    }
    Decisions decisions;
    Pool &pool = m_pools[item.pool];
    WorkItem accepted = item;
    if (auto refusal = checkAdmission(accepted, pool, now)) {
        decisions.push_back(Reject { item.id, std::move(*refusal) });
        return decisions;
    }
    if (item.attempt == 0) {
        pool.retryBudget.onFirstAttempt(m_settings->defaults().retryBudget);
    }
    if (pool.queue.size() == 0 && pool.hasAvailableTarget()) {
        start(std::move(accepted), pool, now, decisions);
        return decisions;
    }
    const auto capacity = static_cast<std::size_t>(m_settings->defaults().queueLength);
    if (auto evicted = pool.queue.push(std::move(accepted), limitsOf(item.organisation).weight, capacity)) {
        const Duration wait = m_serviceTimes.remaining(*evicted);
        reject(*evicted,
               { ErrorKind::Overloaded, Outcome::NotRun, "the queue of pool " + item.pool.value() + " is full", jitteredRetryAfter(wait) },
               decisions);
    }
    startQueued(pool, now, decisions);
    return decisions;
}

Decisions Dispatcher::submitUnmanaged(const WorkItem &item, MonotonicTime now)
{
    Pool &pool = m_pools[item.pool];
    const std::optional<std::size_t> target = chooseUnmanaged(m_policy, pool.members(), m_targets, m_random);
    if (!target) {
        return { Reject {
            item.id, { ErrorKind::NoTargetAvailable, Outcome::NotRun, "pool " + item.pool.value() + " has no target", MIN_RETRY_AFTER } } };
    }
    m_targets[*target].acquireSlot();
    ++pool.running;
    m_placements.emplace(item.id, Placement { item, *target, now, false, false, false });
    return { Assign { item.id, m_targets[*target].published.id } };
}

Decisions Dispatcher::onFinished(WorkId work, AttemptOutcome outcome, Duration serviceTime, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    Decisions decisions;
    const auto found = m_placements.find(work);
    if (found == m_placements.end() || found->second.isAwaitingPermit) {
        return decisions;
    }
    const Placement placement = std::move(found->second);
    m_placements.erase(found);
    Pool &pool = m_pools[placement.item.pool];
    TargetState &target = m_targets[placement.target];
    --pool.running;
    m_admission.release(placement.item.organisation);
    target.onFinished(outcome, m_serviceTimes.relativeTime(placement.item, serviceTime), now);
    // An attempt that timed out took at least this long; leaving it out would bias the median towards fast attempts.
    if (outcome == AttemptOutcome::Succeeded || outcome == AttemptOutcome::TimedOut) {
        m_serviceTimes.record(placement.item.pool, placement.item.priorityClass, serviceTime, now);
    }
    if (placement.hasPermit) {
        decisions.push_back(ReturnPermit { work, target.published.id, outcome == AttemptOutcome::Succeeded });
    }
    recordOutcome(placement, outcome, pool, now, decisions);
    if (placement.isExclusive) {
        pool.endReservation(m_targets, now);
    }
    pool.updateAvailability(placement.target, m_targets, now);
    startQueued(pool, now, decisions);
    return decisions;
}

Decisions Dispatcher::withdraw(WorkId work, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    Decisions decisions;
    const auto found = m_placements.find(work);
    if (found != m_placements.end() && found->second.isAwaitingPermit) {
        const Placement placement = std::move(found->second);
        m_placements.erase(found);
        Pool &pool = m_pools[placement.item.pool];
        m_admission.release(placement.item.organisation);
        releaseSlot(placement, pool, now);
        startQueued(pool, now, decisions);
        return decisions;
    }
    for (auto &[name, pool] : m_pools) {
        if (const auto item = pool.queue.remove(work)) {
            m_admission.release(item->organisation);
            break;
        }
        const auto suspect =
            std::find_if(pool.suspects.begin(), pool.suspects.end(), [work](const WorkItem &item) { return item.id == work; });
        if (suspect != pool.suspects.end()) {
            m_admission.release(suspect->organisation);
            pool.suspects.erase(suspect);
            break;
        }
    }
    return decisions;
}

Decisions Dispatcher::tick(MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    Decisions decisions;
    const bool haveSharesChanged = std::exchange(m_haveSharesChanged, false);
    for (auto &[name, pool] : m_pools) {
        for (const WorkItem &item : pool.queue.removeExpired(now)) {
            reject(item, { ErrorKind::DeadlineExceeded, Outcome::NotRun, "no target was free in time", MIN_RETRY_AFTER }, decisions);
        }
        pool.unblock(m_targets, now);
        for (const std::size_t target : haveSharesChanged ? pool.members() : std::vector<std::size_t>()) {
            pool.updateAvailability(target, m_targets, now);
        }
        startQueued(pool, now, decisions);
    }
    return decisions;
}

Decisions Dispatcher::onPermit(WorkId work, const TargetId &target, bool granted, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    Decisions decisions;
    const auto found = m_placements.find(work);
    const bool isExpected =
        found != m_placements.end() && found->second.isAwaitingPermit && m_targets[found->second.target].published.id == target;
    if (!isExpected) {
        if (granted) {
            decisions.push_back(ReturnPermit { work, target, false });
        }
        return decisions;
    }
    Placement &placement = found->second;
    const TargetState &state = m_targets[placement.target];
    if (granted && state.isPublished && state.published.acceptsWork() && now < placement.item.deadline) {
        placement.isAwaitingPermit = false;
        placement.hasPermit = true;
        placement.startedAt = now;
        decisions.push_back(Assign { work, target });
        return decisions;
    }
    if (granted) {
        decisions.push_back(ReturnPermit { work, target, false });
    }
    const Placement refused = std::move(placement);
    m_placements.erase(found);
    Pool &pool = m_pools[refused.item.pool];
    pool.block(refused.target, m_targets, now + REFUSED_PERMIT_BACKOFF, now);
    WorkItem item = refused.item;
    releaseSlot(refused, pool, now);
    const double weight = limitsOf(item.organisation).weight;
    pool.queue.push(std::move(item), weight, std::numeric_limits<std::size_t>::max());
    startQueued(pool, now, decisions);
    return decisions;
}

Decisions Dispatcher::onLoadReport(const TargetId &target, const LoadReport &report, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    Decisions decisions;
    const auto found = m_targetIndex.find(target);
    if (found == m_targetIndex.end()) {
        return decisions;
    }
    TargetState &state = m_targets[found->second];
    state.reportedQueueLength = report.queued;
    if (state.observeIncarnation(report.incarnation)) {
        m_quarantine.onTargetDead(target);
    }
    if (report.cold) {
        state.markCold();
    }
    m_pools[state.published.pool].updateAvailability(found->second, m_targets, now);
    return decisions;
}

Decisions Dispatcher::onQuarantine(Fingerprint fingerprint, QuarantineState state, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    m_quarantine.applyCellState(fingerprint, state, now);
    return {};
}

void Dispatcher::setCellDemand(CellDemand cellDemand)
{
    std::shared_ptr<const TargetTable> table;
    {
        const std::lock_guard lock(m_mutex);
        table = m_table;
    }
    const auto targetShares = sharesOfTargets(*table, cellDemand);
    const std::lock_guard lock(m_mutex);
    m_cellDemand = std::move(cellDemand);
    applyShares(targetShares);
    m_haveSharesChanged = true;
}

std::vector<PoolDemand> Dispatcher::demand()
{
    const std::lock_guard lock(m_mutex);
    std::vector<PoolDemand> demand;
    for (const auto &[name, pool] : m_pools) {
        demand.push_back({ name, static_cast<double>(pool.running + pool.queue.size() + pool.suspects.size()) });
    }
    return demand;
}

std::optional<Refusal> Dispatcher::checkAdmission(WorkItem &item, Pool &pool, MonotonicTime now)
{
    if (!m_settings || pool.members().empty()) {
        return Refusal { ErrorKind::NoTargetAvailable, Outcome::NotRun, "pool " + item.pool.value() + " has no target", MIN_RETRY_AFTER };
    }
    if (m_quarantine.state(item.fingerprint, now) == QuarantineState::Quarantined) {
        return Refusal { ErrorKind::Quarantined, Outcome::NotRun, "targets died while they ran this request", {} };
    }
    if (item.attempt > 0 && !pool.retryBudget.tryConsume()) {
        return Refusal {
            ErrorKind::Overloaded, Outcome::NotRun, "the retry budget of pool " + item.pool.value() + " is spent", jitteredRetryAfter({})
        };
    }
    if (auto refusal = checkDeadline(item, pool, now)) {
        return refusal;
    }
    return m_admission.admit(item, limitsOf(item.organisation), now);
}

std::optional<Refusal> Dispatcher::checkDeadline(WorkItem &item, const Pool &pool, MonotonicTime now)
{
    const auto service = m_serviceTimes.median(item.pool, item.priorityClass);
    if (!service) {
        return std::nullopt;
    }
    const auto ahead =
        static_cast<std::int64_t>(pool.hasAvailableTarget() ? 0 : pool.queue.countAhead(item.priorityClass, item.organisation));
    const auto slots = static_cast<std::int64_t>(std::max<std::size_t>(1, pool.running));
    const Duration wait = *service * ahead / slots;
    if (now + wait + m_serviceTimes.remaining(item) <= item.deadline) {
        return std::nullopt;
    }
    item.isProbe = m_serviceTimes.tryStartProbe(item.pool, item.priorityClass, now);
    if (item.isProbe) {
        return std::nullopt;
    }
    return Refusal { ErrorKind::DeadlineUnreachable,
                     Outcome::NotRun,
                     "the remaining stages take longer than the deadline leaves",
                     jitteredRetryAfter(wait) };
}

std::optional<Refusal> Dispatcher::checkStart(const WorkItem &item, MonotonicTime now)
{
    if (m_quarantine.state(item.fingerprint, now) == QuarantineState::Quarantined) {
        return Refusal { ErrorKind::Quarantined, Outcome::NotRun, "targets died while they ran this request", {} };
    }
    if (item.deadline <= now) {
        return Refusal { ErrorKind::DeadlineExceeded, Outcome::NotRun, "no target was free in time", MIN_RETRY_AFTER };
    }
    const Duration remaining = m_serviceTimes.remaining(item);
    if (now + remaining > item.deadline && !item.isProbe) {
        return Refusal {
            ErrorKind::DeadlineUnreachable, Outcome::NotRun, "a target was free too late for the deadline", jitteredRetryAfter(remaining)
        };
    }
    return std::nullopt;
}

void Dispatcher::startQueued(Pool &pool, MonotonicTime now, Decisions &decisions)
{
    startSuspects(pool, now, decisions);
    while (pool.hasAvailableTarget()) {
        std::optional<WorkItem> item = pool.queue.pop();
        if (!item) {
            return;
        }
        start(std::move(*item), pool, now, decisions);
    }
}

void Dispatcher::start(WorkItem item, Pool &pool, MonotonicTime now, Decisions &decisions)
{
    if (auto refusal = checkStart(item, now)) {
        reject(item, std::move(*refusal), decisions);
        return;
    }
    if (m_quarantine.state(item.fingerprint, now) == QuarantineState::Suspect) {
        pool.suspects.push_back(std::move(item));
        startSuspects(pool, now, decisions);
        return;
    }
    const std::size_t target = pool.choose(item, m_targets, m_random);
    place(std::move(item), target, false, pool, now, decisions);
}

void Dispatcher::startSuspects(Pool &pool, MonotonicTime now, Decisions &decisions)
{
    while (!pool.suspects.empty()) {
        if (auto refusal = checkStart(pool.suspects.front(), now)) {
            reject(pool.suspects.front(), std::move(*refusal), decisions);
            pool.suspects.pop_front();
            continue;
        }
        const std::optional<std::size_t> target = pool.reserve(m_targets, now);
        if (!target || m_targets[*target].inFlight > 0) {
            return;
        }
        WorkItem item = std::move(pool.suspects.front());
        pool.suspects.pop_front();
        place(std::move(item), *target, true, pool, now, decisions);
    }
    pool.endUnusedReservation(m_targets, now);
}

void Dispatcher::place(WorkItem item, std::size_t target, bool isExclusive, Pool &pool, MonotonicTime now, Decisions &decisions)
{
    TargetState &state = m_targets[target];
    const bool needsPermit = state.needsPermit();
    const WorkId work = item.id;
    state.acquireSlot();
    ++pool.running;
    pool.updateAvailability(target, m_targets, now);
    if (needsPermit) {
        decisions.push_back(
            RequestPermit { work, state.published.id, state.published.incarnation, state.published.limits.coldConcurrency, item.deadline });
    } else {
        decisions.push_back(Assign { work, state.published.id });
    }
    m_placements.emplace(work, Placement { std::move(item), target, now, needsPermit, false, isExclusive });
}

void Dispatcher::releaseSlot(const Placement &placement, Pool &pool, MonotonicTime now)
{
    m_targets[placement.target].releaseSlot();
    --pool.running;
    if (placement.isExclusive) {
        pool.endReservation(m_targets, now);
    }
    pool.updateAvailability(placement.target, m_targets, now);
}

void Dispatcher::reject(const WorkItem &item, Refusal refusal, Decisions &decisions)
{
    m_admission.release(item.organisation);
    decisions.push_back(Reject { item.id, std::move(refusal) });
}

void Dispatcher::recordOutcome(const Placement &placement, AttemptOutcome outcome, Pool &pool, MonotonicTime now, Decisions &decisions)
{
    TargetState &state = m_targets[placement.target];
    const TargetId &id = state.published.id;
    pool.retryBudget.onFinished(outcome);
    pool.recordOutcome(placement.target, m_targets, outcome, m_settings ? m_settings->defaults().ejectionLimit : 0, now);
    if (outcome == AttemptOutcome::ConnectionLost) {
        state.lostAt = now;
        // An operator may have stopped a target that is out of service, so the loss does not count against its requests.
        if (state.isPublished && state.published.acceptsWork()) {
            append(decisions, m_quarantine.onConnectionLost(placement.item.fingerprint, id, now));
        }
    }
    if (outcome == AttemptOutcome::Unreachable) {
        m_quarantine.onTargetDead(id);
    }
    if (outcome != AttemptOutcome::Succeeded) {
        return;
    }
    if (placement.startedAt > state.lostAt) {
        append(decisions, m_quarantine.onTargetAlive(id));
    }
    append(decisions, m_quarantine.onSucceeded(placement.item.fingerprint));
}

const Settings::OrganisationSettings &Dispatcher::limitsOf(const OrganisationId &organisation) const
{
    const auto found = m_settings->organisations().find(organisation);
    if (found != m_settings->organisations().end()) {
        return found->second;
    }
    return m_defaultOrganisationLimits;
}

// Jitter keeps callers that were refused at the same time from retrying at the same time.
milliseconds Dispatcher::jitteredRetryAfter(Duration time)
{
    const auto base = std::clamp(std::chrono::duration_cast<milliseconds>(time), MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    return milliseconds(std::uniform_int_distribution<std::int64_t>(base.count() / 2, base.count() * 3 / 2)(m_random));
}

void Dispatcher::updateTargets()
{
    for (TargetState &state : m_targets) {
        if (m_table->find(state.published.id) == nullptr) {
            state.markUnpublished();
        }
    }
    for (const auto &[id, target] : m_table->targets()) {
        const auto [entry, isNew] = m_targetIndex.emplace(id, m_targets.size());
        if (isNew) {
            m_targets.emplace_back();
        }
        TargetState &state = m_targets[entry->second];
        state.update(target);
        if (state.observeIncarnation(target.incarnation)) {
            m_quarantine.onTargetDead(id);
        }
    }
}

void Dispatcher::rebuildPools(MonotonicTime now)
{
    std::unordered_map<PoolName, std::vector<std::size_t>> members;
    for (const auto &[name, pool] : m_pools) {
        members[name];
    }
    for (const auto &[id, target] : m_table->targets()) {
        members[target.pool];
    }
    for (auto &[name, indexes] : members) {
        for (const TargetId &id : m_table->pool(name)) {
            indexes.push_back(m_targetIndex.at(id));
        }
        m_pools[name].rebuild(indexes, m_targets, m_failureDomain, now);
    }
}

void Dispatcher::applyShares(const std::unordered_map<TargetId, int> &shares)
{
    for (const auto &[id, share] : shares) {
        const auto found = m_targetIndex.find(id);
        if (found != m_targetIndex.end()) {
            m_targets[found->second].setShare(share);
        }
    }
}

} // namespace CassiaRelay::Routing
