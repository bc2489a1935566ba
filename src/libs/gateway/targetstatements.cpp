#include "targetstatements.h"

namespace CassiaRelay::Gateway {

namespace {

constexpr std::chrono::minutes RETENTION { 10 }; // longer than a target that is leaving stays, or its entry is missing

} // namespace

void TargetStatements::apply(const TargetRecord &target, const TargetStatement &statement, MonotonicTime now)
{
    if (statement.maxRefusals) {
        m_maxRefusals[target.service] = *statement.maxRefusals;
    } else {
        m_maxRefusals.erase(target.service);
    }
    if (statement.isLeaving) {
        setLeaving(target, now);
    }
    if (statement.pause) {
        State &state = m_states[{ target.id, target.startedAt }];
        state.pausedUntil = std::max(state.pausedUntil, now + *statement.pause);
        state.saidAt = now;
    }
}

void TargetStatements::setLeaving(const TargetRecord &target, MonotonicTime now)
{
    State &state = m_states[{ target.id, target.startedAt }];
    state.isLeaving = true;
    state.saidAt = now;
}

bool TargetStatements::isLeaving(const TargetRecord &target) const
{
    const State *state = find(target);
    return state && state->isLeaving;
}

MonotonicTime TargetStatements::pausedUntil(const TargetRecord &target) const
{
    const State *state = find(target);
    return state ? state->pausedUntil : MonotonicTime::min();
}

std::optional<double> TargetStatements::maxRefusals(const ServiceName &service) const
{
    const auto found = m_maxRefusals.find(service);
    return found == m_maxRefusals.end() ? std::nullopt : std::optional(found->second);
}

void TargetStatements::removeExpired(MonotonicTime now)
{
    for (auto state = m_states.begin(); state != m_states.end();) {
        const bool isOld = std::max(state->second.saidAt + RETENTION, state->second.pausedUntil) <= now;
        state = isOld ? m_states.erase(state) : std::next(state);
    }
}

const TargetStatements::State *TargetStatements::find(const TargetRecord &target) const
{
    // The key would be a copy of the id, and most targets never state anything.
    if (m_states.empty()) {
        return nullptr;
    }
    const auto found = m_states.find({ target.id, target.startedAt });
    return found == m_states.end() ? nullptr : &found->second;
}

} // namespace CassiaRelay::Gateway
