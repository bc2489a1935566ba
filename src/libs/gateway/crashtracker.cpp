#include "crashtracker.h"

#include <algorithm>
#include <set>

namespace CassiaRelay::Gateway {

namespace {

constexpr std::size_t CRASHES_TO_BAN = 2;                // one target may crash by itself under a request, two in a row rarely do
constexpr std::chrono::minutes RETENTION { 10 };         // longer than callers pause before they send such a request again
constexpr std::chrono::milliseconds SILENCE { 500 };     // a sound target responds within this time, or it is confirmed to be gone
constexpr std::chrono::seconds CONFIRMATION_TIME { 10 }; // the store tells of a lost target within five seconds
constexpr std::chrono::seconds OPEN_END_TIME { 3 };      // a target that is found to be gone later has crashed for another reason
constexpr std::chrono::milliseconds SAME_CRASH { 300 };
// Connections to so many targets are lost at once when the network resets them, not when targets crash.
constexpr std::size_t RESET_TARGETS = 3;
constexpr std::chrono::milliseconds FRESH_TIME { 1000 }; // three rounds of greetings reach each of 380 daemons
constexpr std::chrono::seconds CLEARED_RETENTION { 5 };  // longer than evidence is passed on
constexpr std::chrono::seconds FIRST_TRIAL_DELAY { 30 }; // crashed targets are back by then
constexpr int TRIAL_DELAY_FACTOR = 4;                    // three trials in ten minutes
constexpr int MAX_TRIAL_DOUBLINGS = 4;
constexpr std::size_t MAX_LOSSES = 512;    // of one target
constexpr std::size_t MAX_SUSPECTS = 4096; // a crash of one engine adds at most one per slot
constexpr std::size_t MAX_REPORTS = 128;   // in a greeting, about 10 kB
constexpr std::size_t MAX_BAN_REPORTS = 64;
constexpr std::size_t MAX_REPORTED_CRASHES = 8; // of one request; more do not change the decision
constexpr std::size_t MAX_EVENTS = 256;

} // namespace

void CrashTracker::setOwnerFunction(OwnerFunction isOwner)
{
    m_isOwner = std::move(isOwner);
}

void CrashTracker::recordConnectionLoss(Fingerprint fingerprint, const TargetRecord &target, MonotonicTime now)
{
    addLoss(target, { fingerprint, now });
}

void CrashTracker::recordOpenEnd(Fingerprint fingerprint, const TargetRecord &target, MonotonicTime now)
{
    addLoss(target, { fingerprint, now, true });
}

void CrashTracker::recordResponse(const TargetId &target, MonotonicTime sentAt)
{
    const auto found = m_losses.find(target);
    if (found == m_losses.end()) {
        return;
    }
    std::vector<Loss> &losses = found->second.losses;
    for (Loss &loss : losses) {
        loss.isAnswered = loss.isAnswered || loss.at < sentAt;
        if (loss.isAnswered && loss.isOpenEnd) {
            recordCompletion(loss.fingerprint, loss.at);
        }
    }
    const auto isComplete = [](const Loss &loss) { return loss.isAnswered && loss.isOpenEnd; };
    losses.erase(std::remove_if(losses.begin(), losses.end(), isComplete), losses.end());
}

void CrashTracker::recordTargetGone(const TargetId &target, MonotonicTime now)
{
    countCrash(target, CrashEvidence::Gone, now);
}

void CrashTracker::recordTargetRestarted(const TargetId &target, MonotonicTime now)
{
    countCrash(target, CrashEvidence::Restarted, now);
}

void CrashTracker::recordCompletion(Fingerprint fingerprint, MonotonicTime now)
{
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end()) {
        applyCompletion(fingerprint, found->second, now, now);
    }
}

Admission CrashTracker::admit(Fingerprint fingerprint, MonotonicTime now)
{
    if (!isBanned(fingerprint, now)) {
        return Admission::Allowed;
    }
    Suspect &banned = m_suspects.at(fingerprint);
    banned.seenAt = now;
    const auto latestCrash = std::max_element(
        banned.crashes.begin(), banned.crashes.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    Duration delay = FIRST_TRIAL_DELAY;
    for (int trial = 0; trial < std::min(banned.trials, MAX_TRIAL_DOUBLINGS); ++trial) {
        delay *= TRIAL_DELAY_FACTOR;
    }
    if (std::max(latestCrash->second, banned.trialAt.value_or(latestCrash->second)) + delay > now
        || (m_isOwner && !m_isOwner(fingerprint))) {
        return Admission::Banned;
    }
    ++banned.trials;
    banned.trialAt = now;
    banned.changedAt = now;
    return Admission::Trial;
}

bool CrashTracker::isBanned(Fingerprint fingerprint, MonotonicTime now) const
{
    const auto found = m_suspects.find(fingerprint);
    return found != m_suspects.end() && isBanned(found->second, now);
}

std::size_t CrashTracker::crashCount(Fingerprint fingerprint) const
{
    const auto found = m_suspects.find(fingerprint);
    return found == m_suspects.end() ? 0 : found->second.crashes.size();
}

// Bans go into each greeting, so that a daemon that has started or was cut off knows them at once.
std::vector<SuspectReport> CrashTracker::reports(MonotonicTime now) const
{
    using Entry = std::unordered_map<Fingerprint, Suspect>::value_type;
    std::vector<const Entry *> banned;
    std::vector<const Entry *> fresh;
    for (const Entry &entry : m_suspects) {
        if (isBanned(entry.second, now)) {
            banned.push_back(&entry);
        } else if (entry.second.changedAt + FRESH_TIME > now) {
            fresh.push_back(&entry);
        }
    }
    const auto keepNewest = [](std::vector<const Entry *> &entries, std::size_t count, MonotonicTime Suspect::*time) {
        std::sort(entries.begin(), entries.end(), [time](const Entry *left, const Entry *right) {
            return left->second.*time > right->second.*time;
        });
        entries.resize(std::min(entries.size(), count));
    };
    keepNewest(banned, MAX_BAN_REPORTS, &Suspect::seenAt);
    keepNewest(fresh, MAX_REPORTS - banned.size(), &Suspect::changedAt);
    banned.insert(banned.end(), fresh.begin(), fresh.end());
    std::vector<SuspectReport> result;
    result.reserve(banned.size());
    for (const Entry *entry : banned) {
        result.push_back(report(entry->first, entry->second, now));
    }
    return result;
}

void CrashTracker::merge(const std::vector<SuspectReport> &reports, MonotonicTime now)
{
    for (const SuspectReport &report : reports) {
        if (m_suspects.count(report.fingerprint) == 0 && report.crashes.empty()) {
            continue;
        }
        Suspect &known = suspect(report.fingerprint, now);
        if (report.completedAge && known.completedAt.value_or(MonotonicTime::min()) < now - *report.completedAge) {
            applyCompletion(report.fingerprint, known, now - *report.completedAge, now);
        }
        known.seenAt = std::max(known.seenAt, now - report.seenAge);
        if (known.trials < report.trials && report.trialAge) {
            known.trials = report.trials;
            known.trialAt = now - *report.trialAge;
        }
        for (const SuspectReport::Crash &crash : report.crashes) {
            addCrash(report.fingerprint, crash.run, now - crash.age, now);
            countReportedCrash(crash.run, now);
        }
    }
}

void CrashTracker::expire(MonotonicTime now)
{
    countSilentTargets(now);
    for (auto target = m_losses.begin(); target != m_losses.end();) {
        std::vector<Loss> &losses = target->second.losses;
        losses.erase(std::remove_if(losses.begin(), losses.end(), [now](const Loss &loss) { return isExpired(loss, now); }), losses.end());
        target = losses.empty() ? m_losses.erase(target) : std::next(target);
    }
    for (auto entry = m_suspects.begin(); entry != m_suspects.end();) {
        const Suspect &suspect = entry->second;
        const bool isCleared = suspect.crashes.empty() && !suspect.wasBanned;
        const MonotonicTime end = isCleared ? suspect.changedAt + CLEARED_RETENTION : suspect.seenAt + RETENTION;
        entry = end <= now ? m_suspects.erase(entry) : std::next(entry);
    }
}

std::vector<CrashEvent> CrashTracker::takeEvents()
{
    return std::exchange(m_events, {});
}

TargetRun CrashTracker::runOf(const TargetRecord &target)
{
    return TargetRun(stableHash(target.id.value(), static_cast<std::uint64_t>(target.startedAt.time_since_epoch().count())));
}

bool CrashTracker::isBanned(const Suspect &suspect, MonotonicTime now)
{
    return suspect.crashes.size() >= CRASHES_TO_BAN && suspect.seenAt + RETENTION > now;
}

bool CrashTracker::isExpired(const Loss &loss, MonotonicTime now)
{
    return loss.at + (loss.isOpenEnd ? OPEN_END_TIME : CONFIRMATION_TIME) <= now;
}

void CrashTracker::addLoss(const TargetRecord &target, Loss loss)
{
    const TargetRun run = runOf(target);
    const auto known = m_losses.find(target.id);
    if (known != m_losses.end() && known->second.run != run) {
        countCrash(target.id, CrashEvidence::Restarted, loss.at);
    }
    TargetLosses &losses = m_losses[target.id];
    losses.run = run;
    if (losses.losses.size() < MAX_LOSSES) {
        losses.losses.push_back(loss);
    }
}

// A response after the loss may come from a target that has restarted under the same id, but not from another target.
void CrashTracker::countCrash(const TargetId &target, CrashEvidence evidence, MonotonicTime now)
{
    const auto found = m_losses.find(target);
    if (found == m_losses.end()) {
        return;
    }
    const TargetLosses losses = std::move(found->second);
    m_losses.erase(found);
    std::set<Fingerprint> suspects;
    MonotonicTime earliest = now;
    for (const Loss &loss : losses.losses) {
        if ((loss.isAnswered && evidence != CrashEvidence::Restarted) || isExpired(loss, now)) {
            continue;
        }
        earliest = std::min(earliest, loss.at);
        if (suspects.insert(loss.fingerprint).second) {
            addCrash(loss.fingerprint, losses.run, loss.at, now);
        }
    }
    if (!suspects.empty()) {
        addEvent(CrashCounted { target, evidence, { suspects.begin(), suspects.end() }, earliest });
    }
}

// Another daemon has found out that a target crashed on which requests of this one were running.
void CrashTracker::countReportedCrash(TargetRun run, MonotonicTime now)
{
    const auto target = std::find_if(m_losses.begin(), m_losses.end(), [run](const auto &entry) { return entry.second.run == run; });
    if (target != m_losses.end()) {
        countCrash(TargetId(target->first), CrashEvidence::Gone, now);
    }
}

void CrashTracker::countSilentTargets(MonotonicTime now)
{
    std::vector<TargetId> silent;
    for (const auto &[target, losses] : m_losses) {
        const bool isSilent = std::any_of(losses.losses.begin(), losses.losses.end(), [this, now](const Loss &loss) {
            return !loss.isOpenEnd && !loss.isAnswered && loss.at + SILENCE <= now && targetsLostAround(loss.at) < RESET_TARGETS;
        });
        if (isSilent) {
            silent.push_back(target);
        }
    }
    for (const TargetId &target : silent) {
        countCrash(target, CrashEvidence::Silent, now);
    }
}

std::size_t CrashTracker::targetsLostAround(MonotonicTime at) const
{
    return static_cast<std::size_t>(std::count_if(m_losses.begin(), m_losses.end(), [at](const auto &entry) {
        return std::any_of(entry.second.losses.begin(), entry.second.losses.end(), [at](const Loss &loss) {
            return !loss.isOpenEnd && loss.at - at < SAME_CRASH && at - loss.at < SAME_CRASH;
        });
    }));
}

CrashTracker::Suspect &CrashTracker::suspect(Fingerprint fingerprint, MonotonicTime now)
{
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end()) {
        return found->second;
    }
    makeRoom(now);
    Suspect &added = m_suspects[fingerprint];
    added.seenAt = now;
    added.changedAt = now;
    return added;
}

// A crash before the last completion is repeated evidence of a daemon that has not heard of the completion; it is told again.
void CrashTracker::addCrash(Fingerprint fingerprint, TargetRun run, MonotonicTime at, MonotonicTime now)
{
    Suspect &accused = suspect(fingerprint, now);
    if (accused.completedAt && at <= *accused.completedAt) {
        accused.changedAt = now;
        return;
    }
    const auto [crash, isNew] = accused.crashes.emplace(run, at);
    crash->second = std::min(crash->second, at);
    if (!isNew) {
        return;
    }
    accused.changedAt = now;
    accused.seenAt = std::max(accused.seenAt, at);
    if (isBanned(accused, now) && !std::exchange(accused.wasBanned, true)) {
        addEvent(RequestBanned { fingerprint, accused.crashes.size() });
    }
}

void CrashTracker::applyCompletion(Fingerprint fingerprint, Suspect &suspect, MonotonicTime completedAt, MonotonicTime now)
{
    const bool wasBanned = isBanned(suspect, now);
    const std::size_t before = suspect.crashes.size();
    for (auto crash = suspect.crashes.begin(); crash != suspect.crashes.end();) {
        crash = crash->second <= completedAt ? suspect.crashes.erase(crash) : std::next(crash);
    }
    suspect.completedAt = std::max(suspect.completedAt.value_or(completedAt), completedAt);
    if (suspect.crashes.size() == before) {
        return;
    }
    suspect.changedAt = now;
    suspect.trials = 0;
    suspect.trialAt.reset();
    if (wasBanned && !isBanned(suspect, now)) {
        addEvent(BanLifted { fingerprint });
    }
}

void CrashTracker::makeRoom(MonotonicTime now)
{
    if (m_suspects.size() < MAX_SUSPECTS) {
        return;
    }
    const auto oldest = std::min_element(m_suspects.begin(), m_suspects.end(), [now](const auto &left, const auto &right) {
        const bool leftBanned = isBanned(left.second, now);
        const bool rightBanned = isBanned(right.second, now);
        return leftBanned != rightBanned ? rightBanned : left.second.seenAt < right.second.seenAt;
    });
    m_suspects.erase(oldest);
}

void CrashTracker::addEvent(CrashEvent event)
{
    if (m_events.size() < MAX_EVENTS) {
        m_events.push_back(std::move(event));
    }
}

SuspectReport CrashTracker::report(Fingerprint fingerprint, const Suspect &suspect, MonotonicTime now) const
{
    SuspectReport report;
    report.fingerprint = fingerprint;
    for (const auto &[run, at] : suspect.crashes) {
        if (report.crashes.size() == MAX_REPORTED_CRASHES) {
            break;
        }
        report.crashes.push_back({ run, now - at });
    }
    if (suspect.completedAt) {
        report.completedAge = now - *suspect.completedAt;
    }
    report.seenAge = now - suspect.seenAt;
    report.trials = suspect.trials;
    if (suspect.trialAt) {
        report.trialAge = now - *suspect.trialAt;
    }
    return report;
}

std::string_view toString(CrashEvidence evidence)
{
    switch (evidence) {
    case CrashEvidence::Gone:
        return "gone";
    case CrashEvidence::Restarted:
        return "restarted";
    case CrashEvidence::Silent:
        return "silent";
    }
    return "";
}

} // namespace CassiaRelay::Gateway
