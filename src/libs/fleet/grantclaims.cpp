#include "grantclaims.h"

#include <algorithm>

namespace CassiaRelay::Fleet {

namespace {

/** Time for the first member to answer alone; it orders claims that arrive at several daemons. */
constexpr std::chrono::milliseconds FIRST_MEMBER_TIMEOUT { 20 };
constexpr std::chrono::milliseconds ATTEMPT_TIMEOUT { 500 };
constexpr std::chrono::milliseconds RETRY_DELAY { 20 };
constexpr std::uint64_t RETRY_JITTER_MS = 60;
/** No attempt starts later than this after the claim arrived. */
constexpr std::chrono::seconds CLAIM_LIMIT { 5 };
constexpr std::chrono::seconds START_LIMIT { 2 };
constexpr std::chrono::milliseconds HOLDER_QUERY_INTERVAL { 100 };
constexpr std::chrono::seconds HOLDER_SILENCE_LIMIT { 2 };
constexpr std::chrono::milliseconds REFUSAL_RETRY_AFTER { 1000 };
constexpr std::size_t LARGEST_RESULT_BYTES = 4096;

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
    const auto [item, added] = m_entries.try_emplace(claim.key, Entry { claim.fingerprint, {}, Pausing { now } });
    if (item->second.fingerprint != claim.fingerprint) {
        refuse(claim.id, ErrorKind::IdempotencyKeyReused, "the key is in use with another body", outputs);
        return outputs;
    }
    m_keys[claim.id] = claim.key;
    item->second.waiting.push_back({ claim, now });
    if (added) {
        start(*item, membership, now, outputs);
    }
    return outputs;
}

Outputs GrantClaims::answerEnded(const GrantClaim &claim, const Schema::GrantRecord &record)
{
    Outputs outputs;
    Entry entry { claim.fingerprint, { { claim, {} } }, Pausing {} };
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
    const auto withdrawn = [claim](const Waiting &waiting) { return waiting.claim.id == claim; };
    entry.waiting.erase(std::remove_if(entry.waiting.begin(), entry.waiting.end(), withdrawn), entry.waiting.end());
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
        entry.phase = Pausing { now };
        return;
    }
    Schema::GrantRecord ended = record(item.first, entry, attempt);
    ended.state = end == GrantEnd::Succeeded ? Schema::GrantState::Succeeded : Schema::GrantState::Unknown;
    if (end == GrantEnd::Succeeded && result.size() <= LARGEST_RESULT_BYTES) {
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
        const bool done = item->second.waiting.empty() && !std::holds_alternative<Running>(item->second.phase);
        if (!done) {
            ++item;
            continue;
        }
        if (const Asking *asking = std::get_if<Asking>(&item->second.phase)) {
            release(item->first, asking->attempt, membership, outputs);
            m_attempts.erase(asking->attempt);
        }
        item = m_entries.erase(item);
    }
    for (auto ended = m_ended.begin(); ended != m_ended.end();) {
        ended = now - ended->second.at > m_retention ? m_ended.erase(ended) : std::next(ended);
    }
    return outputs;
}

Outputs GrantClaims::onReply(const VmId &from, const Schema::GrantReply &reply, const Membership &membership, MonotonicTime now)
{
    const auto item = findAttempt(reply.attempt);
    Asking *asking = item == m_entries.end() ? nullptr : std::get_if<Asking>(&item->second.phase);
    if (asking == nullptr) {
        return {};
    }
    Outputs outputs;
    for (const Schema::VmIncarnation &known : reply.known) {
        std::int64_t &highest = asking->known[VmId(known.vm)];
        highest = std::max(highest, known.incarnation);
    }
    if (reply.verdict == Schema::GrantVerdict::Refused && reply.record) {
        onRefused(*item, *reply.record, membership, now, outputs);
        dropEmpty(GrantKey(item->first));
        return outputs;
    }
    if (reply.verdict != Schema::GrantVerdict::Granted) {
        asking->denials[from] = reply.verdict;
        askRest(*item, *asking, membership, outputs);
        return outputs;
    }
    std::int64_t &vote = asking->votes[from];
    vote = std::max(vote, reply.incarnation);
    if (validVotes(*asking) >= neededVotes(*asking, membership)) {
        win(*item, now, outputs);
    } else {
        askRest(*item, *asking, membership, outputs);
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
    Watching *watching = item == m_entries.end() ? nullptr : std::get_if<Watching>(&item->second.phase);
    if (watching == nullptr || watching->record.holder != from.value() || watching->record.attempt != reply.attempt
        || watching->record.holderIncarnation != reply.holderIncarnation) {
        return {};
    }
    Outputs outputs;
    watching->lastAnswer = now;
    switch (reply.state) {
    case Schema::HolderState::Running:
        break;
    case Schema::HolderState::Released:
        pause(*item, now);
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

void GrantClaims::start(Entries::value_type &item, const Membership &membership, MonotonicTime now, Outputs &outputs)
{
    Entry &entry = item.second;
    // A claim that waited long may be older than what a restarted granter must remember.
    while (!entry.waiting.empty() && now - entry.waiting.front().arrivedAt > CLAIM_LIMIT) {
        refuse(entry.waiting.front().claim.id, ErrorKind::GrantUnavailable, "no majority of the cell in time", outputs);
        entry.waiting.pop_front();
    }
    if (entry.waiting.empty() || membership.members().empty()) {
        pause(item, now);
        return;
    }
    Asking asking;
    asking.attempt = ++m_lastAttempt;
    asking.revision = membership.revision();
    asking.startedAt = now;
    m_attempts[asking.attempt] = item.first;
    const VmId first = firstMember(item.first, membership.members());
    outputs.push_back(SendMessage { first, Schema::GrantRequest { record(item.first, entry, asking.attempt), asking.revision } });
    entry.phase = asking;
}

void GrantClaims::askRest(Entries::value_type &item, Asking &asking, const Membership &membership, Outputs &outputs)
{
    if (asking.allAsked || asking.revision != membership.revision()) {
        return;
    }
    asking.allAsked = true;
    const Schema::GrantRequest request { record(item.first, item.second, asking.attempt), asking.revision };
    for (const VmId &vm : membership.members()) {
        if (asking.votes.count(vm) == 0 && asking.denials.count(vm) == 0) {
            outputs.push_back(SendMessage { vm, request });
        }
    }
}

void GrantClaims::pause(Entries::value_type &item, MonotonicTime now)
{
    const std::uint64_t jitter = stableHash(m_self.value(), static_cast<std::uint64_t>(m_lastAttempt)) % RETRY_JITTER_MS;
    item.second.phase = Pausing { now + RETRY_DELAY + std::chrono::milliseconds(jitter) };
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
    expireWaiting(item.second, now, outputs);
    if (item.second.waiting.empty()) {
        return;
    }
    if (std::holds_alternative<Asking>(item.second.phase)) {
        tickAsking(item, membership, now, outputs);
    } else if (const Pausing *pausing = std::get_if<Pausing>(&item.second.phase)) {
        if (now >= pausing->until) {
            start(item, membership, now, outputs);
        }
    } else if (std::holds_alternative<Watching>(item.second.phase)) {
        tickWatching(item, now, outputs);
    }
}

void GrantClaims::tickAsking(Entries::value_type &item, const Membership &membership, MonotonicTime now, Outputs &outputs)
{
    Asking &asking = std::get<Asking>(item.second.phase);
    const bool moved = asking.revision != membership.revision();
    const bool allDenied = asking.votes.size() + asking.denials.size() == membership.members().size();
    if (!moved && !allDenied && now - asking.startedAt < ATTEMPT_TIMEOUT) {
        if (now - asking.startedAt >= FIRST_MEMBER_TIMEOUT) {
            askRest(item, asking, membership, outputs);
        }
        return;
    }
    std::size_t tooOld = 0;
    for (const auto &[vm, verdict] : asking.denials) {
        tooOld += verdict == Schema::GrantVerdict::KeyTooOld ? 1 : 0;
    }
    release(item.first, asking.attempt, membership, outputs);
    m_attempts.erase(asking.attempt);
    if (!moved && tooOld > membership.members().size() - membership.majority()) {
        refuseAll(item.second, ErrorKind::OutcomeUnknown, "the key is older than the memory of the cell", outputs);
    }
    pause(item, now);
}

void GrantClaims::tickWatching(Entries::value_type &item, MonotonicTime now, Outputs &outputs)
{
    Watching &watching = std::get<Watching>(item.second.phase);
    if (now - watching.lastAnswer > HOLDER_SILENCE_LIMIT) {
        refuseAll(item.second, ErrorKind::OutcomeUnknown, "the VM that may have run the stage does not answer", outputs);
        return;
    }
    if (now >= watching.nextQuery) {
        watching.nextQuery = now + HOLDER_QUERY_INTERVAL;
        outputs.push_back(SendMessage { VmId(watching.record.holder), Schema::HolderQuery { watching.record } });
    }
}

void GrantClaims::expireWaiting(Entry &entry, MonotonicTime now, Outputs &outputs)
{
    std::deque<Waiting> kept;
    for (const Waiting &waiting : entry.waiting) {
        if (now < waiting.claim.deadline) {
            kept.push_back(waiting);
            continue;
        }
        refuse(waiting.claim.id, ErrorKind::DeadlineExceeded, "no grant before the deadline", outputs);
    }
    entry.waiting.swap(kept);
}

void GrantClaims::win(Entries::value_type &item, MonotonicTime now, Outputs &outputs)
{
    Entry &entry = item.second;
    const Asking asking = std::get<Asking>(entry.phase);
    // A pause may have made the votes old; the next tick gives the attempt up.
    if (now - asking.startedAt > ATTEMPT_TIMEOUT || entry.waiting.empty()) {
        return;
    }
    const GrantClaim claim = entry.waiting.front().claim;
    entry.waiting.pop_front();
    entry.phase = Running { asking.attempt, claim.id };
    outputs.push_back(GrantDecided { claim.id, GrantHeld { std::min<MonotonicTime>(claim.deadline, now + START_LIMIT) } });
}

std::size_t GrantClaims::validVotes(const Asking &asking) const
{
    std::size_t valid = 0;
    for (const auto &[vm, incarnation] : asking.votes) {
        const auto known = asking.known.find(vm);
        const bool replaced = known != asking.known.end() && known->second > incarnation;
        valid += replaced && m_rules.dropIncarnations ? 0 : 1;
    }
    return valid;
}

std::size_t GrantClaims::neededVotes(const Asking &asking, const Membership &membership) const
{
    if (!m_rules.majorityOfMembers) {
        return (asking.votes.size() + asking.denials.size()) / 2 + 1;
    }
    // The view of the attempt counts; with another one in force now the attempt ends at the next tick.
    return asking.revision == membership.revision() ? membership.majority() : asking.votes.size() + 1;
}

void GrantClaims::onRefused(
    Entries::value_type &item, const Schema::GrantRecord &record, const Membership &membership, MonotonicTime now, Outputs &outputs)
{
    Entry &entry = item.second;
    const std::int64_t attempt = std::get<Asking>(entry.phase).attempt;
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
    const bool own = record.holder == m_self.value() && record.holderIncarnation == static_cast<std::int64_t>(m_incarnation.value());
    if (own) {
        release(item.first, record.attempt, membership, outputs);
        pause(item, now);
        return;
    }
    entry.phase = Watching { record, now, now + HOLDER_QUERY_INTERVAL };
    outputs.push_back(SendMessage { VmId(record.holder), Schema::HolderQuery { record } });
}

void GrantClaims::resolve(Entry &entry, Schema::GrantState state, const std::optional<std::string> &result, Outputs &outputs)
{
    if (state != Schema::GrantState::Succeeded || !result) {
        refuseAll(entry, ErrorKind::OutcomeUnknown, "the stage ran or may have run; its result is not known here", outputs);
        return;
    }
    for (const Waiting &waiting : entry.waiting) {
        m_keys.erase(waiting.claim.id);
        outputs.push_back(GrantDecided { waiting.claim.id, GrantReplayed { *result } });
    }
    entry.waiting.clear();
}

void GrantClaims::refuseAll(Entry &entry, ErrorKind kind, const std::string &detail, Outputs &outputs)
{
    for (const Waiting &waiting : entry.waiting) {
        refuse(waiting.claim.id, kind, detail, outputs);
    }
    entry.waiting.clear();
}

// Whether the key has run is not known here, so a refusal never claims that it has not.
void GrantClaims::refuse(ClaimId claim, ErrorKind kind, const std::string &detail, Outputs &outputs)
{
    m_keys.erase(claim);
    outputs.push_back(GrantDecided { claim, GrantRefused { { kind, Outcome::Unknown, detail, REFUSAL_RETRY_AFTER } } });
}

void GrantClaims::dropEmpty(const GrantKey &key)
{
    const auto item = m_entries.find(key);
    if (item != m_entries.end() && item->second.waiting.empty()) {
        m_entries.erase(item);
    }
}

} // namespace CassiaRelay::Fleet
