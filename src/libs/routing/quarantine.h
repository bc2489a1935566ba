#pragma once

#include "decision.h"

#include <unordered_map>

namespace CassiaRelay::Routing {

/**
 * Requests that were aboard targets that died. After one loss a request is a suspect, after two it is quarantined,
 * also while the deaths are not confirmed yet.
 */
class Quarantine
{
public:
    QuarantineState state(Fingerprint fingerprint, MonotonicTime now);
    /** An attempt lost its connection while it ran on the target. The cell is told at once: the request may come next to another VM. */
    Decisions onConnectionLost(Fingerprint fingerprint, const TargetId &target, MonotonicTime now);
    /** The target is dead, or a new process: what was lost with it stays counted. */
    void onTargetDead(const TargetId &target);
    /** The target still runs: its losses had another reason. */
    Decisions onTargetAlive(const TargetId &target);
    /** The request ended without harm to its target. */
    Decisions onSucceeded(Fingerprint fingerprint);
    void applyCellState(Fingerprint fingerprint, QuarantineState state, MonotonicTime now);

private:
    struct Entry {
        std::vector<TargetId> unconfirmedLosses;
        int confirmedLosses = 0;
        QuarantineState cellState = QuarantineState::Cleared;
        MonotonicTime updatedAt;
    };

    std::vector<Fingerprint> takeUnconfirmedLosses(const TargetId &target);
    void evictOldest();

    std::unordered_map<Fingerprint, Entry> m_entries;
    std::unordered_map<TargetId, std::vector<Fingerprint>> m_lossesByTarget;
};

} // namespace CassiaRelay::Routing
