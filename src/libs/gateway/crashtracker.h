#pragma once

#include <common/common.h>

#include <set>
#include <unordered_map>
#include <vector>

namespace CassiaRelay::Gateway {

/** Target crashes that one daemon attributes to a request. */
struct CrashCount {
    Fingerprint fingerprint;
    int crashes = 0;
};

/**
 * Tracks which requests were running on targets that crashed, and bans a request after several crashes in a row.
 *
 * A lost connection alone does not count as a crash: it counts once the target is found to be down shortly afterwards.
 */
class CrashTracker
{
public:
    /** The connection was lost while the target ran the request. */
    void recordConnectionLoss(Fingerprint fingerprint, const TargetId &target, MonotonicTime now);
    /** The target refuses connections, has restarted or was removed. */
    void recordTargetDown(const TargetId &target, MonotonicTime now);
    /** The request completed, so it did not cause the crashes counted against it. */
    void recordCompletion(Fingerprint fingerprint);
    /** Takes over the counts of another daemon. */
    void merge(const VmId &from, const std::vector<CrashCount> &counts, MonotonicTime now);
    bool isBanned(Fingerprint fingerprint, MonotonicTime now) const;
    /** Recent crash counts observed by this daemon. */
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
    std::unordered_map<TargetId, std::vector<PendingLoss>> m_pendingLosses; ///< lost connections to targets not yet known to be down
};

} // namespace CassiaRelay::Gateway
