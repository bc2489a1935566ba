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
class CrashRegister
{
public:
    /** The connection was lost while the target ran the request. */
    void noteLost(Fingerprint fingerprint, const TargetId &target, MonotonicTime now);
    /** The target refuses connections, has started anew or is gone. */
    void noteDown(const TargetId &target, MonotonicTime now);
    /** The request ran to its end, so it was only aboard. */
    void noteSurvived(Fingerprint fingerprint);
    /** What another daemon has seen. */
    void merge(const VmId &from, const std::vector<CrashCount> &counts, MonotonicTime now);
    bool isBanned(Fingerprint fingerprint, MonotonicTime now) const;
    /** What this daemon itself has seen lately. */
    std::vector<CrashCount> own(MonotonicTime now) const;
    void forgetOld(MonotonicTime now);

private:
    struct Seen {
        int crashes = 0;
        MonotonicTime lastAt;
    };
    struct Entry {
        Seen own;
        std::unordered_map<VmId, Seen> others;
    };
    struct Lost {
        Fingerprint fingerprint;
        MonotonicTime at;
    };

    std::unordered_map<Fingerprint, Entry> m_entries;
    std::unordered_map<TargetId, std::vector<Lost>> m_lost; ///< not known yet whether the target crashed
};

} // namespace CassiaRelay::Gateway
