#pragma once

#include "membership.h"

#include <map>

namespace CassiaRelay::Fleet {

/** Request bodies that were running on targets when the targets were lost. All members of the cell share the entries. */
class Quarantine
{
public:
    Outputs reportLoss(Fingerprint fingerprint, const TargetId &target, const Members &members, MonotonicTime now);
    /** Retracts a reported loss because the target is alive. */
    Outputs retractLoss(Fingerprint fingerprint, const TargetId &target, const Members &members, MonotonicTime now);
    /** Clears a suspect body. A quarantined body stays quarantined until it expires. */
    Outputs reportSurvived(Fingerprint fingerprint, const Members &members, MonotonicTime now);
    Outputs onReport(const Schema::QuarantineReport &report, MonotonicTime now);
    /** Returns reports of all entries for a daemon that has just started. */
    Outputs reportsFor(const VmId &vm, MonotonicTime now) const;
    Outputs expire(MonotonicTime now);

private:
    struct Entry {
        std::set<TargetId> targets;
        MonotonicTime expiresAt;
    };

    static QuarantineState stateOf(const Entry &entry);
    Outputs onRetracted(Fingerprint fingerprint, const std::vector<std::string> &targets);
    Schema::QuarantineReport report(Fingerprint fingerprint, const Entry &entry, MonotonicTime now) const;
    void dropOldest(Outputs &outputs);

    std::map<Fingerprint, Entry> m_entries;
};

} // namespace CassiaRelay::Fleet
