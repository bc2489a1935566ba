#pragma once

#include "decision.h"

#include <unordered_map>

namespace CassiaRelay::Routing {

/**
 * Tracks requests whose connections were lost while they ran on a target. After one loss a request is suspect, after two
 * it is quarantined, even before it is confirmed that the targets crashed.
 */
class Quarantine
{
public:
    QuarantineState state(Fingerprint fingerprint, MonotonicTime now);
    /** An attempt lost its connection while it ran on the target. Reported immediately, because another VM may get the request next. */
    Decisions onConnectionLost(Fingerprint fingerprint, const TargetId &target, MonotonicTime now);
    /** The target is down or was restarted, which confirms the losses on it. */
    void onTargetDead(const TargetId &target);
    /** The target still runs, so its connections were lost for another reason and the losses on it no longer count. */
    Decisions onTargetAlive(const TargetId &target);
    /** The request succeeded without crashing its target. */
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
