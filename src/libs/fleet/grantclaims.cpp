#include "grantclaims.h"

#include <algorithm>

namespace CassiaRelay::Fleet {

namespace {

/**
 * Time after which the other members are asked even if the first one has not answered.
 * Asking the same member first serialises the claims of several daemons.
 */
constexpr std::chrono::milliseconds FIRST_MEMBER_TIMEOUT { 20 };
constexpr std::chrono::milliseconds ATTEMPT_TIMEOUT { 500 };
constexpr std::chrono::milliseconds RETRY_DELAY { 20 };
constexpr std::uint64_t RETRY_JITTER_MS = 60;
/** No attempt starts later than this after the arrival of the claim. */
constexpr std::chrono::seconds CLAIM_TIMEOUT { 5 };
constexpr std::chrono::seconds START_WINDOW { 2 };
constexpr std::chrono::milliseconds HOLDER_QUERY_INTERVAL { 100 };
constexpr std::chrono::seconds HOLDER_TIMEOUT { 2 };
constexpr std::chrono::milliseconds REFUSAL_RETRY_AFTER { 1000 };
constexpr std::size_t MAX_RESULT_BYTES = 4096;

VmId firstMember(const GrantKey &key, const Members &members)
{
    const std::string text = key.organisation.value() + '\n' + key.idempotencyKey + '\n' + key.stage.value();
    const auto rank = [&text](const VmId &vm) { return stableHash(vm.value(), stableHash(text)); };
    return *std::max_element(
        members.begin(), members.end(), [&rank](const VmId &left, const VmId &right) { return rank(left) < rank(right); });
}

} // namespace

GrantClaims::GrantClaims(VmId self, Incarnation incarnation, GrantRules rules)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_rules(rules)
{
}

void GrantClaims::setRetention(std::chrono::milliseconds retention)
{
    m_retention = retention;
}

Outputs GrantClaims::claim(const GrantClaim &claim, const Membership &membership, MonotonicTime now)
{
    const auto ended = m_ended.find(claim.key);
    if (ended != m_ended.end()) {
        return answerEnded(claim, ended->second.record);
    }
    Outputs outputs;
    const auto [item, added] = m_entries.try_emplace(claim.key, Entry { claim.fingerprint, {}, BackingOff { now } });
    if (item->second.fingerprint != claim.fingerprint) {
        refuse(claim.id, ErrorKind::IdempotencyKeyReused, "the key is in use with another body", outputs);
        return outputs;
    }
    m_keys[claim.id] = claim.key;
    item->second.pending.push_back({ claim, now });
    if (added) {
        startAttempt(*item, membership, now, outputs);
    }
    return outputs;
}

Outputs GrantClaims::answerEnded(const GrantClaim &claim, const Schema::GrantRecord &record)
{
    Outputs outputs;
    Entry entry { claim.fingerprint, { { claim, {} } }, BackingOff {} };
    if (static_cast<std::uint64_t>(record.fingerprint) != claim.fingerprint.value()) {
        refuseAll(entry, ErrorKind::IdempotencyKeyReused, "the key was used with another body", outputs);
    } else {
        resolve(entry, record.state, record.result, outputs);
    }
    return outputs;
}

Outputs GrantClaims::finish(ClaimId claim, GrantEnd end, const std::string &result, const Membership &membership, MonotonicTime now)
{
    const auto key = m_keys.find(claim);
    const auto item = key == m_keys.end() ? m_entries.end() : m_entries.find(key->second);
    if (item == m_entries.end()) {
        return {};
    }
    m_keys.erase(key);
    Outputs outputs;
    Entry &entry = item->second;
    const Running *running = std::get_if<Running>(&entry.phase);
    if (running != nullptr && running->claim == claim) {
        endRunning(*item, end, result, membership, now, outputs);
        return outputs;
    }
    const auto withdrawn = [claim](const PendingClaim &pending) { return pending.claim.id == claim; };
    entry.pending.erase(std::remove_if(entry.pending.begin(), entry.pending.end(), withdrawn), entry.pending.end());
    return outputs;
}

void GrantClaims::endRunning(
    Entries::value_type &item, GrantEnd end, const std::string &result, const Membership &membership, MonotonicTime now, Outputs &outputs)
{
    Entry &entry = item.second;
    const std::int64_t attempt = std::get<Running>(entry.phase).attempt;
    m_attempts.erase(attempt);
    if (end == GrantEnd::NotRun || (end == GrantEnd::Unknown && !m_rules.keepUnknown)) {
        release(item.first, attempt, membership, outputs);
        entry.phase = BackingOff { now };
        return;
    }
    Schema::GrantRecord ended = record(item.first, entry, attempt);
    ended.state = end == GrantEnd::Succeeded ? Schema::GrantState::Succeeded : Schema::GrantState::Unknown;
    if (end == GrantEnd::Succeeded && result.size() <= MAX_RESULT_BYTES) {
        ended.result = result;
    }
    m_ended[item.first] = { ended, now };
    for (const VmId &vm : membership.members()) {
        outputs.push_back(SendMessage { vm, Schema::GrantFinish { ended } });
    }
    resolve(entry, ended.state, end == GrantEnd::Succeeded ? std::optional(result) : std::nullopt, outputs);
    m_entries.erase(GrantKey(item.first));
}

Outputs GrantClaims::tick(const Membership &membership, MonotonicTime now)
{
    Outputs outputs;
    for (auto item = m_entries.begin(); item != m_entries.end();) {
        tickEntry(*item, membership, now, outputs);
        const bool done = item->second.pending.empty() && !std::holds_alternative<Running>(item->second.phase);
        if (!done) {
            ++item;
            continue;
        }
        if (const Voting *voting = std::get_if<Voting>(&item->second.phase)) {
            release(item->first, voting->attempt, membership, outputs);
            m_attempts.erase(voting->attempt);
        }
        item = m_entries.erase(item);
    }
    for (auto ended = m_ended.begin(); ended != m_ended.end();) {
        ended = now - ended->second.endedAt > m_retention ? m_ended.erase(ended) : std::next(ended);
    }
    return outputs;
}

Outputs GrantClaims::onReply(const VmId &from, const Schema::GrantReply &reply, const Membership &membership, MonotonicTime now)
{
    const auto item = findAttempt(reply.attempt);
    Voting *voting = item == m_entries.end() ? nullptr : std::get_if<Voting>(&item->second.phase);
    if (voting == nullptr) {
        return {};
    }
    Outputs outputs;
    for (const Schema::VmIncarnation &known : reply.known) {
        std::int64_t &highest = voting->knownIncarnations[VmId(known.vm)];
        highest = std::max(highest, known.incarnation);
    }
    if (reply.verdict == Schema::GrantVerdict::Refused && reply.record) {
        onRefused(*item, *reply.record, membership, now, outputs);
        dropEmpty(GrantKey(item->first));
        return outputs;
    }
    if (reply.verdict != Schema::GrantVerdict::Granted) {
        voting->denials[from] = reply.verdict;
        requestRemainingVotes(*item, *voting, membership, outputs);
        return outputs;
    }
    std::int64_t &vote = voting->votes[from];
    vote = std::max(vote, reply.incarnation);
    if (validVotes(*voting) >= neededVotes(*voting, membership)) {
        acquire(*item, now, outputs);
    } else {
        requestRemainingVotes(*item, *voting, membership, outputs);
    }
    return outputs;
}

Outputs GrantClaims::onQuery(const VmId &from, const Schema::HolderQuery &query, const Membership &membership) const
{
    const Schema::GrantRecord &asked = query.record;
    Schema::HolderReply reply;
    reply.organisation = asked.organisation;
    reply.key = asked.key;
    reply.stage = asked.stage;
    reply.holderIncarnation = asked.holderIncarnation;
    reply.attempt = asked.attempt;
    Outputs outputs;
    const auto ended = m_ended.find(keyOf(asked));
    if (asked.holderIncarnation != static_cast<std::int64_t>(m_incarnation.value()) || asked.attempt > m_lastAttempt) {
        reply.state = Schema::HolderState::Unknown;
    } else if (m_attempts.count(asked.attempt) > 0) {
        reply.state = Schema::HolderState::Running;
    } else if (ended != m_ended.end() && ended->second.record.attempt == asked.attempt) {
        const bool succeeded = ended->second.record.state == Schema::GrantState::Succeeded;
        reply.state = succeeded ? Schema::HolderState::Succeeded : Schema::HolderState::Unknown;
        reply.result = ended->second.record.result;
    } else {
        reply.state = Schema::HolderState::Released;
        release(keyOf(asked), asked.attempt, membership, outputs);
    }
    outputs.push_back(SendMessage { from, reply });
    return outputs;
}

Outputs GrantClaims::onHolderReply(const VmId &from, const Schema::HolderReply &reply, MonotonicTime now)
{
    const auto item = m_entries.find({ OrganisationId(reply.organisation), reply.key, StageName(reply.stage) });
    WaitingForHolder *waiting = item == m_entries.end() ? nullptr : std::get_if<WaitingForHolder>(&item->second.phase);
    if (waiting == nullptr || waiting->record.holder != from.value() || waiting->record.attempt != reply.attempt
        || waiting->record.holderIncarnation != reply.holderIncarnation) {
        return {};
    }
    Outputs outputs;
    waiting->lastAnswer = now;
    switch (reply.state) {
    case Schema::HolderState::Running:
        break;
    case Schema::HolderState::Released:
        backOff(*item, now);
        break;
    case Schema::HolderState::Succeeded:
        resolve(item->second, Schema::GrantState::Succeeded, reply.result, outputs);
        break;
    case Schema::HolderState::Unknown:
        resolve(item->second, Schema::GrantState::Unknown, std::nullopt, outputs);
        break;
    }
    dropEmpty(GrantKey(item->first));
    return outputs;
}

Outputs GrantClaims::announceOutcomes(const Membership &membership) const
{
    Outputs outputs;
    for (const auto &[key, ended] : m_ended) {
        for (const VmId &vm : membership.members()) {
            outputs.push_back(SendMessage { vm, Schema::GrantFinish { ended.record } });
        }
    }
    return outputs;
}

bool GrantClaims::isIdle() const
{
    return m_entries.empty();
}

Schema::GrantRecord GrantClaims::record(const GrantKey &key, const Entry &entry, std::int64_t attempt) const
{
    Schema::GrantRecord record;
    record.organisation = key.organisation.value();
    record.key = key.idempotencyKey;
    record.stage = key.stage.value();
    record.holder = m_self.value();
    record.holderIncarnation = static_cast<std::int64_t>(m_incarnation.value());
    record.attempt = attempt;
    record.fingerprint = static_cast<std::int64_t>(entry.fingerprint.value());
    record.state = Schema::GrantState::Held;
    record.ageMs = 0;
    return record;
}

GrantClaims::Entries::iterator GrantClaims::findAttempt(std::int64_t attempt)
{
    const auto found = m_attempts.find(attempt);
    return found == m_attempts.end() ? m_entries.end() : m_entries.find(found->second);
}

void GrantClaims::startAttempt(Entries::value_type &item, const Membership &membership, MonotonicTime now, Outputs &outputs)
{
    Entry &entry = item.second;
    // A restarted granter may vote after the resend window without the records from before its start. An attempt for a claim that
    // has waited for longer could reach it after that, although the key was granted before.
    while (!entry.pending.empty() && now - entry.pending.front().arrivedAt > CLAIM_TIMEOUT) {
        refuse(entry.pending.front().claim.id, ErrorKind::GrantUnavailable, "no majority of the cell in time", outputs);
        entry.pending.pop_front();
    }
    if (entry.pending.empty() || membership.members().empty()) {
        backOff(item, now);
        return;
    }
    Voting voting;
    voting.attempt = ++m_lastAttempt;
    voting.revision = membership.revision();
    voting.startedAt = now;
    m_attempts[voting.attempt] = item.first;
    const VmId first = firstMember(item.first, membership.members());
    outputs.push_back(SendMessage { first, Schema::GrantRequest { record(item.first, entry, voting.attempt), voting.revision } });
    entry.phase = voting;
}

void GrantClaims::requestRemainingVotes(Entries::value_type &item, Voting &voting, const Membership &membership, Outputs &outputs)
{
    if (voting.allRequested || voting.revision != membership.revision()) {
        return;
    }
    voting.allRequested = true;
    const Schema::GrantRequest request { record(item.first, item.second, voting.attempt), voting.revision };
    for (const VmId &vm : membership.members()) {
        if (voting.votes.count(vm) == 0 && voting.denials.count(vm) == 0) {
            outputs.push_back(SendMessage { vm, request });
        }
    }
}

void GrantClaims::backOff(Entries::value_type &item, MonotonicTime now)
{
    const std::uint64_t jitter = stableHash(m_self.value(), static_cast<std::uint64_t>(m_lastAttempt)) % RETRY_JITTER_MS;
    item.second.phase = BackingOff { now + RETRY_DELAY + std::chrono::milliseconds(jitter) };
}

void GrantClaims::release(const GrantKey &key, std::int64_t attempt, const Membership &membership, Outputs &outputs) const
{
    const Schema::GrantRelease release {
        attempt, static_cast<std::int64_t>(m_incarnation.value()), key.idempotencyKey, key.organisation.value(), key.stage.value()
    };
    for (const VmId &vm : membership.members()) {
        outputs.push_back(SendMessage { vm, release });
    }
}

void GrantClaims::tickEntry(Entries::value_type &item, const Membership &membership, MonotonicTime now, Outputs &outputs)
{
    expirePending(item.second, now, outputs);
    if (item.second.pending.empty()) {
        return;
    }
    if (std::holds_alternative<Voting>(item.second.phase)) {
        tickVoting(item, membership, now, outputs);
    } else if (const BackingOff *backingOff = std::get_if<BackingOff>(&item.second.phase)) {
        if (now >= backingOff->until) {
            startAttempt(item, membership, now, outputs);
        }
    } else if (std::holds_alternative<WaitingForHolder>(item.second.phase)) {
        tickWaitingForHolder(item, now, outputs);
    }
}

void GrantClaims::tickVoting(Entries::value_type &item, const Membership &membership, MonotonicTime now, Outputs &outputs)
{
    Voting &voting = std::get<Voting>(item.second.phase);
    const bool viewChanged = voting.revision != membership.revision();
    const bool allAnswered = voting.votes.size() + voting.denials.size() == membership.members().size();
    if (!viewChanged && !allAnswered && now - voting.startedAt < ATTEMPT_TIMEOUT) {
        if (now - voting.startedAt >= FIRST_MEMBER_TIMEOUT) {
            requestRemainingVotes(item, voting, membership, outputs);
        }
        return;
    }
    std::size_t tooOld = 0;
    for (const auto &[vm, verdict] : voting.denials) {
        tooOld += verdict == Schema::GrantVerdict::KeyTooOld ? 1 : 0;
    }
    release(item.first, voting.attempt, membership, outputs);
    m_attempts.erase(voting.attempt);
    if (!viewChanged && tooOld > membership.members().size() - membership.majority()) {
        refuseAll(item.second, ErrorKind::OutcomeUnknown, "the key is older than the memory of the cell", outputs);
    }
    backOff(item, now);
}

void GrantClaims::tickWaitingForHolder(Entries::value_type &item, MonotonicTime now, Outputs &outputs)
{
    WaitingForHolder &waiting = std::get<WaitingForHolder>(item.second.phase);
    if (now - waiting.lastAnswer > HOLDER_TIMEOUT) {
        refuseAll(item.second, ErrorKind::OutcomeUnknown, "the VM that may have run the stage does not answer", outputs);
        return;
    }
    if (now >= waiting.nextQuery) {
        waiting.nextQuery = now + HOLDER_QUERY_INTERVAL;
        outputs.push_back(SendMessage { VmId(waiting.record.holder), Schema::HolderQuery { waiting.record } });
    }
}

void GrantClaims::expirePending(Entry &entry, MonotonicTime now, Outputs &outputs)
{
    std::deque<PendingClaim> kept;
    for (const PendingClaim &pending : entry.pending) {
        if (now < pending.claim.deadline) {
            kept.push_back(pending);
            continue;
        }
        refuse(pending.claim.id, ErrorKind::DeadlineExceeded, "no grant before the deadline", outputs);
    }
    entry.pending.swap(kept);
}

void GrantClaims::acquire(Entries::value_type &item, MonotonicTime now, Outputs &outputs)
{
    Entry &entry = item.second;
    const Voting voting = std::get<Voting>(entry.phase);
    // The votes may be outdated after a suspension of the process; the next tick ends the attempt.
    if (now - voting.startedAt > ATTEMPT_TIMEOUT || entry.pending.empty()) {
        return;
    }
    const GrantClaim claim = entry.pending.front().claim;
    entry.pending.pop_front();
    entry.phase = Running { voting.attempt, claim.id };
    outputs.push_back(GrantDecided { claim.id, GrantHeld { std::min<MonotonicTime>(claim.deadline, now + START_WINDOW) } });
}

std::size_t GrantClaims::validVotes(const Voting &voting) const
{
    std::size_t valid = 0;
    for (const auto &[vm, incarnation] : voting.votes) {
        const auto known = voting.knownIncarnations.find(vm);
        const bool replaced = known != voting.knownIncarnations.end() && known->second > incarnation;
        valid += replaced && m_rules.ignoreReplacedIncarnations ? 0 : 1;
    }
    return valid;
}

std::size_t GrantClaims::neededVotes(const Voting &voting, const Membership &membership) const
{
    if (!m_rules.majorityOfMembers) {
        return (voting.votes.size() + voting.denials.size()) / 2 + 1;
    }
    // Votes count only in the view of the attempt. After a change of the view no number of votes suffices, and the next tick ends it.
    return voting.revision == membership.revision() ? membership.majority() : voting.votes.size() + 1;
}

void GrantClaims::onRefused(
    Entries::value_type &item, const Schema::GrantRecord &record, const Membership &membership, MonotonicTime now, Outputs &outputs)
{
    Entry &entry = item.second;
    const std::int64_t attempt = std::get<Voting>(entry.phase).attempt;
    release(item.first, attempt, membership, outputs);
    m_attempts.erase(attempt);
    if (static_cast<std::uint64_t>(record.fingerprint) != entry.fingerprint.value()) {
        refuseAll(entry, ErrorKind::IdempotencyKeyReused, "the key was used with another body", outputs);
        return;
    }
    if (record.state != Schema::GrantState::Held) {
        resolve(entry, record.state, record.result, outputs);
        return;
    }
    const bool isOwn = record.holder == m_self.value() && record.holderIncarnation == static_cast<std::int64_t>(m_incarnation.value());
    if (isOwn) {
        release(item.first, record.attempt, membership, outputs);
        backOff(item, now);
        return;
    }
    entry.phase = WaitingForHolder { record, now, now + HOLDER_QUERY_INTERVAL };
    outputs.push_back(SendMessage { VmId(record.holder), Schema::HolderQuery { record } });
}

void GrantClaims::resolve(Entry &entry, Schema::GrantState state, const std::optional<std::string> &result, Outputs &outputs)
{
    if (state != Schema::GrantState::Succeeded || !result) {
        refuseAll(entry, ErrorKind::OutcomeUnknown, "the stage ran or may have run; its result is not known here", outputs);
        return;
    }
    for (const PendingClaim &pending : entry.pending) {
        m_keys.erase(pending.claim.id);
        outputs.push_back(GrantDecided { pending.claim.id, GrantReplayed { *result } });
    }
    entry.pending.clear();
}

void GrantClaims::refuseAll(Entry &entry, ErrorKind kind, const std::string &detail, Outputs &outputs)
{
    for (const PendingClaim &pending : entry.pending) {
        refuse(pending.claim.id, kind, detail, outputs);
    }
    entry.pending.clear();
}

// This daemon does not know whether the stage has run for the key, so a refusal never states that it has not.
void GrantClaims::refuse(ClaimId claim, ErrorKind kind, const std::string &detail, Outputs &outputs)
{
    m_keys.erase(claim);
    outputs.push_back(GrantDecided { claim, GrantRefused { { kind, Outcome::Unknown, detail, REFUSAL_RETRY_AFTER } } });
}

void GrantClaims::dropEmpty(const GrantKey &key)
{
    const auto item = m_entries.find(key);
    if (item != m_entries.end() && item->second.pending.empty()) {
        m_entries.erase(item);
    }
}

} // namespace CassiaRelay::Fleet
