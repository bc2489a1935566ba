#include "pool.h"

#include <algorithm>

namespace CassiaRelay::Routing {

namespace {

constexpr int CONSECUTIVE_FAILURES_TO_EJECT = 3;
constexpr int MAX_EJECTION_DOUBLINGS = 5;
constexpr std::chrono::milliseconds BASE_EJECTION_TIME { 500 };

bool isTargetFailure(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Failed || outcome == AttemptOutcome::ConnectionLost || outcome == AttemptOutcome::Unreachable
        || outcome == AttemptOutcome::TimedOut;
}

} // namespace

void Pool::rebuild(std::vector<std::size_t> members, std::vector<TargetState> &states, const FailureDomain &localDomain, MonotonicTime now)
{
    m_members = std::move(members);
    m_isLocal.assign(states.size(), false);
    std::vector<std::size_t> localMembers;
    std::vector<std::size_t> remoteMembers;
    for (const std::size_t target : m_members) {
        m_isLocal[target] = states[target].published.failureDomain == localDomain;
        (m_isLocal[target] ? localMembers : remoteMembers).push_back(target);
    }
    m_localTargets.rebuild(localMembers, states);
    m_remoteTargets.rebuild(remoteMembers, states);
    if (m_reservedTarget && !(states[*m_reservedTarget].isPublished && states[*m_reservedTarget].published.acceptsWork())) {
        endReservation(states, now);
    }
    for (const std::size_t target : m_members) {
        updateAvailability(target, states, now);
    }
}

void Pool::updateAvailability(std::size_t target, const std::vector<TargetState> &states, MonotonicTime now)
{
    if (target >= m_isLocal.size()) {
        return;
    }
    const bool available = states[target].hasFreeSlot() && states[target].blockedUntil <= now;
    (m_isLocal[target] ? m_localTargets : m_remoteTargets).setAvailable(target, available);
}

void Pool::unblock(std::vector<TargetState> &states, MonotonicTime now)
{
    const auto hasExpired = [&](std::size_t target) {
        if (states[target].blockedUntil > now) {
            return false;
        }
        states[target].isEjected = false;
        updateAvailability(target, states, now);
        return true;
    };
    m_blocked.erase(std::remove_if(m_blocked.begin(), m_blocked.end(), hasExpired), m_blocked.end());
}

void Pool::block(std::size_t target, std::vector<TargetState> &states, MonotonicTime until, MonotonicTime now)
{
    states[target].blockedUntil = std::max(states[target].blockedUntil, until);
    if (std::find(m_blocked.begin(), m_blocked.end(), target) == m_blocked.end()) {
        m_blocked.push_back(target);
    }
    updateAvailability(target, states, now);
}

void Pool::recordOutcome(
    std::size_t target, std::vector<TargetState> &states, AttemptOutcome outcome, double ejectionLimit, MonotonicTime now)
{
    TargetState &state = states[target];
    if (outcome == AttemptOutcome::Succeeded) {
        state.consecutiveFailures = 0;
        state.isProbationary = false;
    }
    if (!isTargetFailure(outcome)) {
        return;
    }
    ++state.consecutiveFailures;
    const bool shouldEject = state.consecutiveFailures >= CONSECUTIVE_FAILURES_TO_EJECT || outcome == AttemptOutcome::Unreachable;
    if (!shouldEject || state.isEjected) {
        return;
    }
    const auto ejected =
        std::count_if(m_members.begin(), m_members.end(), [&states](std::size_t other) { return states[other].isEjected; });
    if (static_cast<double>(ejected + 1) > ejectionLimit * static_cast<double>(m_members.size())) {
        return;
    }
    state.isEjected = true;
    state.isProbationary = true;
    const int doublings = std::min(MAX_EJECTION_DOUBLINGS, std::max(0, state.consecutiveFailures - CONSECUTIVE_FAILURES_TO_EJECT));
    block(target, states, now + BASE_EJECTION_TIME * (1 << doublings), now);
}

const std::vector<std::size_t> &Pool::members() const
{
    return m_members;
}

bool Pool::hasAvailableTarget() const
{
    return !m_localTargets.isEmpty() || !m_remoteTargets.isEmpty();
}

std::size_t Pool::choose(const WorkItem &item, const std::vector<TargetState> &states, RandomSource &random) const
{
    if (const auto target = m_localTargets.choose(item, states, random)) {
        return *target;
    }
    if (const auto target = m_remoteTargets.choose(item, states, random)) {
        return *target;
    }
    // The target that failed the last attempt is the only one available.
    return m_localTargets.isEmpty() ? m_remoteTargets.available().front() : m_localTargets.available().front();
}

std::optional<std::size_t> Pool::reserve(std::vector<TargetState> &states, MonotonicTime now)
{
    if (m_reservedTarget) {
        return m_reservedTarget;
    }
    for (const TargetGroup *group : { &m_localTargets, &m_remoteTargets }) {
        for (const std::size_t target : group->available()) {
            if (!m_reservedTarget || states[target].inFlight < states[*m_reservedTarget].inFlight) {
                m_reservedTarget = target;
            }
        }
    }
    if (m_reservedTarget) {
        states[*m_reservedTarget].isReserved = true;
        updateAvailability(*m_reservedTarget, states, now);
    }
    return m_reservedTarget;
}

void Pool::endReservation(std::vector<TargetState> &states, MonotonicTime now)
{
    if (!m_reservedTarget) {
        return;
    }
    states[*m_reservedTarget].isReserved = false;
    updateAvailability(*std::exchange(m_reservedTarget, std::nullopt), states, now);
}

void Pool::endUnusedReservation(std::vector<TargetState> &states, MonotonicTime now)
{
    if (m_reservedTarget && states[*m_reservedTarget].inFlight == 0) {
        endReservation(states, now);
    }
}

} // namespace CassiaRelay::Routing
