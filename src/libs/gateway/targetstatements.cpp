#include "targetstatements.h"

namespace CassiaRelay::Gateway {

namespace {

constexpr std::chrono::minutes RETENTION { 10 }; // longer than a target that is leaving stays, or its entry is missing

} // namespace

void TargetStatements::apply(const TargetRecord &target, const TargetStatement &statement, MonotonicTime now)
{
    if (!statement.isLeaving && !statement.pause) {
        return;
    }
    State &state = m_states[{ target.id, target.startedAt }];
    state.isLeaving = state.isLeaving || statement.isLeaving;
    state.pausedUntil = std::max(state.pausedUntil, now + statement.pause.value_or(Duration::zero()));
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

void TargetStatements::removeExpired(MonotonicTime now)
{
    for (auto state = m_states.begin(); state != m_states.end();) {
        const bool isOld = std::max(state->second.saidAt + RETENTION, state->second.pausedUntil) <= now;
        state = isOld ? m_states.erase(state) : std::next(state);
    }
}

const TargetStatements::State *TargetStatements::find(const TargetRecord &target) const
{
    const auto found = m_states.find({ target.id, target.startedAt });
    return found == m_states.end() ? nullptr : &found->second;
}

} // namespace CassiaRelay::Gateway
