#pragma once

#include "membership.h"

#include <map>

namespace CassiaRelay::Fleet {

/** Request bodies with which targets were lost, as the whole cell knows them. */
class Quarantine
{
public:
    Outputs reportLoss(Fingerprint fingerprint, const TargetId &target, const Members &members, MonotonicTime now);
    /** The target of a reported loss lives. */
    Outputs retractLoss(Fingerprint fingerprint, const TargetId &target, const Members &members, MonotonicTime now);
    /** Clears a suspect; a quarantined body stays so until its time is over. */
    Outputs reportSurvived(Fingerprint fingerprint, const Members &members, MonotonicTime now);
    Outputs onReport(const Schema::QuarantineReport &report, MonotonicTime now);
    /** Everything known, for a daemon that has just started. */
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
