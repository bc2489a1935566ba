#include "targetstatements.h"

namespace CassiaRelay::Gateway {

namespace {

constexpr std::chrono::minutes RETENTION { 10 }; // longer than a target that is leaving stays, or its entry is missing

} // namespace

void TargetStatements::apply(const TargetRecord &target, const TargetStatement &statement, MonotonicTime now)
{
    if (!statement.isLeaving) {
        return;
    }
    State &state = m_states[{ target.id, target.startedAt }];
    state.isLeaving = true;
    state.saidAt = now;
}

bool TargetStatements::isLeaving(const TargetRecord &target) const
{
    const State *state = find(target);
    return state && state->isLeaving;
}

void TargetStatements::removeExpired(MonotonicTime now)
{
    for (auto state = m_states.begin(); state != m_states.end();) {
        const bool isOld = state->second.saidAt + RETENTION <= now;
        state = isOld ? m_states.erase(state) : std::next(state);
    }
}

const TargetStatements::State *TargetStatements::find(const TargetRecord &target) const
{
    const auto found = m_states.find({ target.id, target.startedAt });
    return found == m_states.end() ? nullptr : &found->second;
}

} // namespace CassiaRelay::Gateway
