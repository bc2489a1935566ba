#pragma once

#include "targetrecord.h"

#include <map>
#include <optional>

namespace CassiaRelay::Gateway {

/** What a target has said in its responses about the requests that it wants. */
struct TargetStatement {
    bool isLeaving = false;
    std::optional<Duration> pause {}; ///< it has turned a request away and wants nothing from this daemon for so long
};

/**
 * Remembers what targets have said about the requests that they want. Each start of a target counts for itself. What is said holds
 * while the target is not listed, because its entry may come back unchanged.
 */
class TargetStatements
{
public:
    void apply(const TargetRecord &target, const TargetStatement &statement, MonotonicTime now);
    /** Whether the target has said that it is leaving. */
    bool isLeaving(const TargetRecord &target) const;
    /** When the target wants requests of this daemon again; in the past if it wants them now. */
    MonotonicTime pausedUntil(const TargetRecord &target) const;
    void removeExpired(MonotonicTime now);

private:
    struct State {
        bool isLeaving = false;
        MonotonicTime pausedUntil;
        MonotonicTime saidAt;
    };

    const State *find(const TargetRecord &target) const;

    std::map<std::pair<TargetId, StartTime>, State> m_states;
};

} // namespace CassiaRelay::Gateway
