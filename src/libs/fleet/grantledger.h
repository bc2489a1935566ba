#pragma once

#include "grant.h"
#include "membership.h"

#include <map>

namespace CassiaRelay::Fleet {

GrantKey keyOf(const Schema::GrantRecord &record);
/** Returns whether both records belong to the same attempt of the same process. */
bool isSameAttempt(const Schema::GrantRecord &left, const Schema::GrantRecord &right);

/** The grant records that one member keeps as a granter, that is, to vote on the claims of all members. */
class GrantLedger
{
public:
    GrantLedger(Incarnation incarnation, GrantRules rules);

    void setRetention(std::chrono::milliseconds retention);
    Schema::GrantReply onRequest(const Schema::GrantRequest &request, const Membership &membership, MonotonicTime now);
    void onRelease(const VmId &from, const Schema::GrantRelease &release);
    void onFinish(const Schema::GrantRecord &record, MonotonicTime now);
    /** Adds the records of another granter. */
    void merge(const std::vector<Schema::GrantRecord> &records, MonotonicTime now);
    std::vector<Schema::GrantRecord> records(MonotonicTime now) const;
    std::size_t size() const;
    void expire(MonotonicTime now);

private:
    struct Entry {
        Schema::GrantRecord record;
        bool vote = false; ///< granted by this incarnation, not received from another granter
        MonotonicTime changedAt;
    };

    Schema::GrantVerdict decide(const Schema::GrantRequest &request, const Membership &membership, MonotonicTime now);
    void mergeOne(const Schema::GrantRecord &record, MonotonicTime now);

    Incarnation m_incarnation;
    GrantRules m_rules;
    std::chrono::milliseconds m_retention { std::chrono::hours(1) };
    std::map<GrantKey, Entry> m_entries;
};

} // namespace CassiaRelay::Fleet
