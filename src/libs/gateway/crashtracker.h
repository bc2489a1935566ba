#pragma once

#include <common/common.h>

#include <set>
#include <unordered_map>
#include <vector>

namespace CassiaRelay::Gateway {

/** Crashes that one daemon has seen of one request. */
struct CrashCount {
    Fingerprint fingerprint;
    int crashes = 0;
};

/**
 * Remembers requests that were aboard targets when these crashed, and turns away those that crash one after the other.
 *
 * A lost connection alone is no crash: it counts once the target is seen to be down soon after.
 */
class CrashTracker
{
public:
    /** The connection was lost while the target ran the request. */
    void recordConnectionLoss(Fingerprint fingerprint, const TargetId &target, MonotonicTime now);
    /** The target refuses connections, has started anew or is gone. */
    void recordTargetDown(const TargetId &target, MonotonicTime now);
    /** The request ran to its end, so it was only aboard. */
    void recordCompletion(Fingerprint fingerprint);
    /** What another daemon has seen. */
    void merge(const VmId &from, const std::vector<CrashCount> &counts, MonotonicTime now);
    bool isBanned(Fingerprint fingerprint, MonotonicTime now) const;
    /** What this daemon itself has seen lately. */
    std::vector<CrashCount> localCounts(MonotonicTime now) const;
    void removeExpired(MonotonicTime now);

private:
    struct Observation {
        int crashes = 0;
        MonotonicTime lastAt;
    };
    struct Entry {
        Observation own;
        std::unordered_map<VmId, Observation> others;
    };
    struct PendingLoss {
        Fingerprint fingerprint;
        MonotonicTime at;
    };

    std::unordered_map<Fingerprint, Entry> m_entries;
    std::unordered_map<TargetId, std::vector<PendingLoss>> m_pendingLosses; ///< not known yet whether the target crashed
};

} // namespace CassiaRelay::Gateway
