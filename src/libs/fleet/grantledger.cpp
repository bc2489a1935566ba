#include "grantledger.h"

#include "keytime.h"

namespace CassiaRelay::Fleet {

GrantKey keyOf(const Schema::GrantRecord &record)
{
    return { OrganisationId(record.organisation), record.key, StageName(record.stage) };
}

bool isSameAttempt(const Schema::GrantRecord &left, const Schema::GrantRecord &right)
{
    return left.holder == right.holder && left.holderIncarnation == right.holderIncarnation && left.attempt == right.attempt;
}

GrantLedger::GrantLedger(Incarnation incarnation, GrantRules rules)
    : m_incarnation(incarnation)
    , m_rules(rules)
{
}

void GrantLedger::setRetention(std::chrono::milliseconds retention)
{
    m_retention = retention;
}

Schema::GrantReply GrantLedger::onRequest(const Schema::GrantRequest &request, const Membership &membership, MonotonicTime now)
{
    Schema::GrantReply reply;
    reply.attempt = request.record.attempt;
    reply.incarnation = static_cast<std::int64_t>(m_incarnation.value());
    reply.known = membership.knownIncarnations();
    reply.verdict = decide(request, membership, now);
    if (reply.verdict == Schema::GrantVerdict::Refused) {
        reply.record = m_entries.at(keyOf(request.record)).record;
    }
    return reply;
}

void GrantLedger::onRelease(const VmId &from, const Schema::GrantRelease &release)
{
    const auto found = m_entries.find({ OrganisationId(release.organisation), release.key, StageName(release.stage) });
    if (found == m_entries.end()) {
        return;
    }
    const Schema::GrantRecord &record = found->second.record;
    const bool same =
        record.holder == from.value() && record.holderIncarnation == release.holderIncarnation && record.attempt == release.attempt;
    if (same && record.state == Schema::GrantState::Held) {
        m_entries.erase(found);
    }
}

void GrantLedger::onFinish(const Schema::GrantRecord &record, MonotonicTime now)
{
    mergeOne(record, now);
}

void GrantLedger::merge(const std::vector<Schema::GrantRecord> &records, MonotonicTime now)
{
    for (const Schema::GrantRecord &record : records) {
        mergeOne(record, now);
    }
}

std::vector<Schema::GrantRecord> GrantLedger::records(MonotonicTime now) const
{
    std::vector<Schema::GrantRecord> records;
    for (const auto &[key, entry] : m_entries) {
        records.push_back(entry.record);
        records.back().ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.changedAt).count();
    }
    return records;
}

std::size_t GrantLedger::size() const
{
    return m_entries.size();
}

void GrantLedger::expire(MonotonicTime now)
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        entry = now - entry->second.changedAt > m_retention ? m_entries.erase(entry) : std::next(entry);
    }
}

Schema::GrantVerdict GrantLedger::decide(const Schema::GrantRequest &request, const Membership &membership, MonotonicTime now)
{
    if (request.revision != membership.revision()) {
        return Schema::GrantVerdict::OtherView;
    }
    const GrantKey key = keyOf(request.record);
    const auto found = m_entries.find(key);
    if (found != m_entries.end()) {
        const Entry &entry = found->second;
        const bool vote = entry.vote || !m_rules.pulledRecordIsNoVote;
        const bool isRepeat = vote && isSameAttempt(entry.record, request.record) && entry.record.state == Schema::GrantState::Held;
        return isRepeat ? Schema::GrantVerdict::Granted : Schema::GrantVerdict::Refused;
    }
    const std::optional<WallTime> issued = timeOfIssue(key.idempotencyKey);
    if (!membership.mayGrant(issued)) {
        return membership.isTooOld(issued) ? Schema::GrantVerdict::KeyTooOld : Schema::GrantVerdict::Unseasoned;
    }
    m_entries[key] = { request.record, true, now };
    return Schema::GrantVerdict::Granted;
}

void GrantLedger::mergeOne(const Schema::GrantRecord &record, MonotonicTime now)
{
    const MonotonicTime changedAt = now - std::chrono::milliseconds(record.ageMs);
    const auto [found, added] = m_entries.try_emplace(keyOf(record), Entry { record, false, changedAt });
    // An outcome is final. It replaces a grant without outcome, which only states that the key may have run.
    if (!added && found->second.record.state == Schema::GrantState::Held && record.state != Schema::GrantState::Held) {
        found->second = { record, false, changedAt };
    }
}

} // namespace CassiaRelay::Fleet
