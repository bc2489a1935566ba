#include "pool.h"

#include <algorithm>

namespace CassiaRelay::Routing {

namespace {

constexpr int FAILURES_TO_EJECT = 3;
constexpr int MAX_BACKOFF_STEPS = 5;
constexpr std::chrono::milliseconds EJECTION_TIME { 500 };

bool isTargetFailure(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Failed || outcome == AttemptOutcome::ConnectionLost || outcome == AttemptOutcome::Unreachable
        || outcome == AttemptOutcome::TimedOut;
}

} // namespace

void Pool::rebuild(std::vector<std::size_t> members, std::vector<TargetState> &states, const FailureDomain &near, MonotonicTime now)
{
    m_members = std::move(members);
    m_isNear.assign(states.size(), false);
    std::vector<std::size_t> nearMembers;
    std::vector<std::size_t> farMembers;
    for (const std::size_t target : m_members) {
        m_isNear[target] = states[target].published.failureDomain == near;
        (m_isNear[target] ? nearMembers : farMembers).push_back(target);
    }
    m_near.rebuild(nearMembers, states);
    m_far.rebuild(farMembers, states);
    if (m_reserved && !(states[*m_reserved].isPublished && states[*m_reserved].published.acceptsWork())) {
        endReservation(states, now);
    }
    for (const std::size_t target : m_members) {
        refresh(target, states, now);
    }
}

void Pool::refresh(std::size_t target, const std::vector<TargetState> &states, MonotonicTime now)
{
    if (target >= m_isNear.size()) {
        return;
    }
    const bool available = states[target].hasRoom() && states[target].blockedUntil <= now;
    (m_isNear[target] ? m_near : m_far).setAvailable(target, available);
}

void Pool::unblock(std::vector<TargetState> &states, MonotonicTime now)
{
    const auto isOver = [&](std::size_t target) {
        if (states[target].blockedUntil > now) {
            return false;
        }
        states[target].isEjected = false;
        refresh(target, states, now);
        return true;
    };
    m_blocked.erase(std::remove_if(m_blocked.begin(), m_blocked.end(), isOver), m_blocked.end());
}

void Pool::block(std::size_t target, std::vector<TargetState> &states, MonotonicTime until, MonotonicTime now)
{
    states[target].blockedUntil = std::max(states[target].blockedUntil, until);
    if (std::find(m_blocked.begin(), m_blocked.end(), target) == m_blocked.end()) {
        m_blocked.push_back(target);
    }
    refresh(target, states, now);
}

void Pool::observe(std::size_t target, std::vector<TargetState> &states, AttemptOutcome outcome, double ejectionLimit, MonotonicTime now)
{
    TargetState &state = states[target];
    if (outcome == AttemptOutcome::Succeeded) {
        state.failuresInRow = 0;
        state.isProbing = false;
    }
    if (!isTargetFailure(outcome)) {
        return;
    }
    ++state.failuresInRow;
    const bool isDue = state.failuresInRow >= FAILURES_TO_EJECT || outcome == AttemptOutcome::Unreachable;
    if (!isDue || state.isEjected) {
        return;
    }
    const auto ejected =
        std::count_if(m_members.begin(), m_members.end(), [&states](std::size_t other) { return states[other].isEjected; });
    if (static_cast<double>(ejected + 1) > ejectionLimit * static_cast<double>(m_members.size())) {
        return;
    }
    state.isEjected = true;
    state.isProbing = true;
    const int steps = std::min(MAX_BACKOFF_STEPS, std::max(0, state.failuresInRow - FAILURES_TO_EJECT));
    block(target, states, now + EJECTION_TIME * (1 << steps), now);
}

const std::vector<std::size_t> &Pool::members() const
{
    return m_members;
}

bool Pool::hasRoom() const
{
    return !m_near.isEmpty() || !m_far.isEmpty();
}

std::size_t Pool::choose(const WorkItem &item, const std::vector<TargetState> &states, RandomSource &random) const
{
    if (const auto target = m_near.choose(item, states, random)) {
        return *target;
    }
    if (const auto target = m_far.choose(item, states, random)) {
        return *target;
    }
    // Only the target that failed the last attempt has room.
    return m_near.isEmpty() ? m_far.available().front() : m_near.available().front();
}

std::optional<std::size_t> Pool::reserve(std::vector<TargetState> &states, MonotonicTime now)
{
    if (m_reserved) {
        return m_reserved;
    }
    for (const TargetGroup *group : { &m_near, &m_far }) {
        for (const std::size_t target : group->available()) {
            if (!m_reserved || states[target].inFlight < states[*m_reserved].inFlight) {
                m_reserved = target;
            }
        }
    }
    if (m_reserved) {
        states[*m_reserved].isReserved = true;
        refresh(*m_reserved, states, now);
    }
    return m_reserved;
}

void Pool::endReservation(std::vector<TargetState> &states, MonotonicTime now)
{
    if (!m_reserved) {
        return;
    }
    states[*m_reserved].isReserved = false;
    refresh(*std::exchange(m_reserved, std::nullopt), states, now);
}

void Pool::endIdleReservation(std::vector<TargetState> &states, MonotonicTime now)
{
    if (m_reserved && states[*m_reserved].inFlight == 0) {
        endReservation(states, now);
    }
}

} // namespace CassiaRelay::Routing
