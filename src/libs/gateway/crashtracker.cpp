#include "crashtracker.h"

#include <algorithm>

namespace CassiaRelay::Gateway {

namespace {

constexpr std::size_t CRASHES_TO_BAN = 2; // one target may crash by itself under a request, two in a row rarely do
// Many requests share a part, so that it is on more targets that crash for other reasons.
constexpr std::size_t CRASHES_TO_BAN_PART = 3;
constexpr std::size_t CRASHES_TO_BAN_PROVEN_PART = 5; // requests with it have completed before
// Crashes under a part besides those under a single request, which may be the cause itself.
constexpr std::size_t CRASHES_BESIDES_ONE_REQUEST = 2;
constexpr std::chrono::minutes RETENTION { 10 };         // longer than callers pause before they send such a request again
constexpr std::chrono::milliseconds SILENCE { 500 };     // a sound target responds within this time, or it is confirmed to be gone
constexpr std::chrono::seconds CONFIRMATION_TIME { 10 }; // the store tells of a lost target within five seconds
constexpr std::chrono::seconds OPEN_END_TIME { 5 };      // the store tells of a target that restarts under its id within this time
constexpr std::chrono::milliseconds SAME_CRASH { 300 };
// Connections to so many targets are lost at once when the network resets them, not when targets crash.
constexpr std::size_t RESET_TARGETS = 3;
constexpr std::chrono::milliseconds FRESH_TIME { 1000 };      // three rounds of greetings reach each of 380 daemons
constexpr std::chrono::seconds CLEARED_RETENTION { 5 };       // longer than evidence is passed on
constexpr std::chrono::seconds FIRST_TRIAL_DELAY { 30 };      // crashed targets are back by then
constexpr std::chrono::seconds FIRST_PART_TRIAL_DELAY { 10 }; // a wrong ban of a part refuses the requests of many callers
constexpr int TRIAL_DELAY_FACTOR = 4;                         // three trials in ten minutes
constexpr int MAX_DELAY_INCREASES = 4;
constexpr std::size_t MAX_LOSSES = 512;    // of one target
constexpr std::size_t MAX_SUSPECTS = 4096; // a crash of one engine adds a few per slot
constexpr std::size_t MAX_COMPLETED_PARTS = 8192;
constexpr std::chrono::minutes COMPLETED_PART_RETENTION { 1 }; // once there are too many; the parts in use complete more often
constexpr int MAX_TELLINGS = 16;                               // daemons that one exchanges greetings with in a round
constexpr std::size_t MAX_REPORTS = 128;                       // in a greeting, about 10 kB
constexpr std::size_t MAX_BAN_REPORTS = 64;
constexpr std::size_t MAX_REPORTED_CRASHES = 8; // of one request or part; more do not change the decision
constexpr std::size_t MAX_EVENTS = 256;

} // namespace

void CrashTracker::setOwnerFunction(OwnerFunction isOwner)
{
    m_isOwner = std::move(isOwner);
}

void CrashTracker::recordConnectionLoss(const CrashSuspects &suspects, const TargetRecord &target, MonotonicTime now)
{
    addLoss(target, { suspects, now });
}

void CrashTracker::recordOpenEnd(const CrashSuspects &suspects, const TargetRecord &target, MonotonicTime now)
{
    addLoss(target, { suspects, now, true });
}

void CrashTracker::recordResponse(const TargetId &target, MonotonicTime sentAt)
{
    const auto found = m_losses.find(target);
    if (found == m_losses.end()) {
        return;
    }
    for (Loss &loss : found->second.losses) {
        loss.isAnswered = loss.isAnswered || loss.at < sentAt;
    }
}

void CrashTracker::recordTargetGone(const TargetId &target, MonotonicTime now)
{
    countCrash(target, CrashEvidence::Gone, now);
    decide(now);
}

void CrashTracker::recordTargetRestarted(const TargetId &target, MonotonicTime now)
{
    countCrash(target, CrashEvidence::Restarted, now);
    decide(now);
}

void CrashTracker::recordCompletion(const CrashSuspects &suspects, MonotonicTime now)
{
    applyCompletion(suspects, now, now);
    decide(now);
}

Admission CrashTracker::admit(const CrashSuspects &suspects, MonotonicTime now)
{
    std::vector<Suspect *> banned;
    bool isTrial = true;
    const auto check = [&](Fingerprint fingerprint) {
        if (!findBan(fingerprint, suspects, now)) {
            return;
        }
        Suspect &suspect = m_suspects.at(fingerprint);
        banned.push_back(&suspect);
        isTrial = isTrialDue(fingerprint, suspect, now) && isTrial;
        suspect.seenAt = now;
    };
    check(suspects.request);
    std::for_each(suspects.parts.begin(), suspects.parts.end(), check);
    if (banned.empty()) {
        return Admission::Allowed;
    }
    if (!isTrial) {
        return Admission::Banned;
    }
    for (Suspect *suspect : banned) {
        ++suspect->trials;
        suspect->trialAt = now;
        markChanged(*suspect, now);
    }
    return Admission::Trial;
}

bool CrashTracker::isBanned(const CrashSuspects &suspects, MonotonicTime now) const
{
    return findBan(suspects, now).has_value();
}

std::optional<CrashBan> CrashTracker::findBan(const CrashSuspects &suspects, MonotonicTime now) const
{
    const auto find = [this, &suspects, now](Fingerprint fingerprint) -> std::optional<CrashBan> {
        const Suspect *banned = findBan(fingerprint, suspects, now);
        return banned ? std::optional(CrashBan { fingerprint, banned->isPart, banned->crashes.size() }) : std::nullopt;
    };
    std::optional<CrashBan> ban = find(suspects.request);
    for (auto part = suspects.parts.begin(); part != suspects.parts.end() && !ban; ++part) {
        ban = find(*part);
    }
    return ban;
}

std::size_t CrashTracker::crashCount(Fingerprint fingerprint) const
{
    const auto found = m_suspects.find(fingerprint);
    return found == m_suspects.end() ? 0 : found->second.crashes.size();
}

// A daemon that has started or was cut off knows the bans with its first greeting, because its hash differs.
std::vector<SuspectReport> CrashTracker::takeReports(std::optional<std::uint64_t> otherBans, MonotonicTime now)
{
    const bool tellsBans = !otherBans || *otherBans != bansHash(now);
    std::vector<Entry *> banned;
    std::vector<Entry *> fresh;
    for (Entry &entry : m_suspects) {
        const Suspect &suspect = entry.second;
        if (tellsBans && isBanned(suspect, now)) {
            banned.push_back(&entry);
        } else if (suspect.changedAt + FRESH_TIME > now && suspect.tellings < MAX_TELLINGS) {
            fresh.push_back(&entry);
        }
    }
    // Parts come first: a ban of a part stops more requests.
    const auto keepNewest = [](std::vector<Entry *> &entries, std::size_t count, MonotonicTime Suspect::*time) {
        std::sort(entries.begin(), entries.end(), [time](const Entry *left, const Entry *right) {
            return std::tie(left->second.isPart, left->second.*time) > std::tie(right->second.isPart, right->second.*time);
        });
        entries.resize(std::min(entries.size(), count));
    };
    keepNewest(banned, MAX_BAN_REPORTS, &Suspect::seenAt);
    keepNewest(fresh, MAX_REPORTS - banned.size(), &Suspect::changedAt);
    banned.insert(banned.end(), fresh.begin(), fresh.end());
    std::vector<SuspectReport> result;
    result.reserve(banned.size());
    for (Entry *entry : banned) {
        ++entry->second.tellings;
        result.push_back(report(entry->first, entry->second, now));
    }
    return result;
}

std::uint64_t CrashTracker::bansHash(MonotonicTime now) const
{
    std::uint64_t hash = 0;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        if (isBanned(suspect, now)) {
            hash ^= fingerprint.value();
        }
    }
    return hash;
}

void CrashTracker::merge(const std::vector<SuspectReport> &reports, MonotonicTime now)
{
    for (const SuspectReport &report : reports) {
        if (m_suspects.count(report.fingerprint) == 0 && report.crashes.empty()) {
            continue;
        }
        Suspect &known = suspect(report.fingerprint, report.isPart, now);
        if (report.completedAge && known.completedAt.value_or(MonotonicTime::min()) < now - *report.completedAge) {
            applyCompletion(known, now - *report.completedAge, now);
        }
        known.seenAt = std::max(known.seenAt, now - report.seenAge);
        if (known.trials < report.trials && report.trialAge) {
            known.trials = report.trials;
            known.trialAt = now - *report.trialAge;
        }
        for (const SuspectReport::Crash &crash : report.crashes) {
            addCrash(report.fingerprint, report.isPart, crash.run, now - crash.age, now);
            countReportedCrash(crash.run, now);
        }
    }
    decide(now);
}

void CrashTracker::expire(MonotonicTime now)
{
    countSilentTargets(now);
    for (auto target = m_losses.begin(); target != m_losses.end();) {
        std::vector<Loss> &losses = target->second.losses;
        const auto expired = std::stable_partition(losses.begin(), losses.end(), [now](const Loss &loss) { return !isExpired(loss, now); });
        for (auto loss = expired; loss != losses.end(); ++loss) {
            completeOpenEnd(*loss, now);
        }
        losses.erase(expired, losses.end());
        target = losses.empty() ? m_losses.erase(target) : std::next(target);
    }
    for (auto entry = m_suspects.begin(); entry != m_suspects.end();) {
        const Suspect &suspect = entry->second;
        const bool isCleared = suspect.crashes.empty() && !suspect.wasBanned;
        const MonotonicTime end = isCleared ? suspect.changedAt + CLEARED_RETENTION : suspect.seenAt + RETENTION;
        entry = end <= now ? m_suspects.erase(entry) : std::next(entry);
    }
    forgetCompletedParts(now);
    decide(now);
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
    return suspect.isBanned && suspect.seenAt + RETENTION > now;
}

void CrashTracker::markChanged(Suspect &suspect, MonotonicTime now)
{
    suspect.changedAt = now;
    suspect.tellings = 0;
}

const CrashTracker::Suspect *CrashTracker::findBan(Fingerprint fingerprint, const CrashSuspects &request, MonotonicTime now) const
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || !isBanned(found->second, now)) {
        return nullptr;
    }
    const std::vector<Fingerprint> &others = found->second.inseparable;
    const bool isWhole = std::all_of(others.begin(), others.end(), [&request](Fingerprint other) {
        return std::find(request.parts.begin(), request.parts.end(), other) != request.parts.end();
    });
    return isWhole ? &found->second : nullptr;
}

std::size_t CrashTracker::crashesToBan(const Suspect &suspect)
{
    if (!suspect.isPart) {
        return CRASHES_TO_BAN;
    }
    return suspect.completedAt ? CRASHES_TO_BAN_PROVEN_PART : CRASHES_TO_BAN_PART;
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
    if (losses.losses.size() == MAX_LOSSES) {
        // Most responses with an open end are complete.
        const auto first = std::find_if(losses.losses.begin(), losses.losses.end(), [](const Loss &entry) { return entry.isOpenEnd; });
        if (first == losses.losses.end()) {
            return;
        }
        completeOpenEnd(*first, loss.at);
        losses.losses.erase(first);
    }
    losses.losses.push_back(std::move(loss));
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
    CrashCounted crash { target, evidence, {}, {}, now };
    for (const Loss &loss : losses.losses) {
        if ((loss.isAnswered && evidence != CrashEvidence::Restarted) || isExpired(loss, now)) {
            continue;
        }
        crash.at = std::min(crash.at, loss.at);
        crash.requests.insert(loss.suspects.request);
        addCrash(loss.suspects.request, false, losses.run, loss.at, now);
        for (const Fingerprint &part : loss.suspects.parts) {
            crash.parts.insert(part);
            addCrash(part, true, losses.run, loss.at, now);
        }
    }
    if (!crash.requests.empty()) {
        addEvent(std::move(crash));
    }
}

// A target that restarted under its id answers as well, so an answer alone does not show that a response with an open end was complete.
void CrashTracker::completeOpenEnd(const Loss &loss, MonotonicTime now)
{
    if (loss.isOpenEnd && loss.isAnswered) {
        applyCompletion(loss.suspects, loss.at, now);
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

bool CrashTracker::isTrialDue(Fingerprint fingerprint, const Suspect &banned, MonotonicTime now) const
{
    Duration delay = banned.isPart ? FIRST_PART_TRIAL_DELAY : FIRST_TRIAL_DELAY;
    for (int trial = 0; trial < std::min(banned.trials, MAX_DELAY_INCREASES); ++trial) {
        delay *= TRIAL_DELAY_FACTOR;
    }
    const auto latestCrash = std::max_element(
        banned.crashes.begin(), banned.crashes.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    const MonotonicTime since = std::max(latestCrash->second, banned.trialAt.value_or(latestCrash->second));
    return since + delay <= now && (!m_isOwner || m_isOwner(fingerprint));
}

CrashTracker::Suspect &CrashTracker::suspect(Fingerprint fingerprint, bool isPart, MonotonicTime now)
{
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end()) {
        return found->second;
    }
    makeRoom(now);
    Suspect &added = m_suspects[fingerprint];
    added.isPart = isPart;
    added.seenAt = now;
    added.changedAt = now;
    const auto completed = m_completedParts.find(fingerprint);
    if (completed != m_completedParts.end()) {
        added.completedAt = completed->second;
    }
    return added;
}

// A crash before the last completion is repeated evidence of a daemon that has not heard of the completion; it is told again.
void CrashTracker::addCrash(Fingerprint fingerprint, bool isPart, TargetRun run, MonotonicTime at, MonotonicTime now)
{
    Suspect &accused = suspect(fingerprint, isPart, now);
    if (accused.completedAt && at <= *accused.completedAt) {
        markChanged(accused, now);
        return;
    }
    const auto [crash, isNew] = accused.crashes.emplace(run, at);
    crash->second = std::min(crash->second, at);
    if (!isNew) {
        return;
    }
    markChanged(accused, now);
    accused.seenAt = std::max(accused.seenAt, at);
    m_hasChanged = true;
}

void CrashTracker::applyCompletion(const CrashSuspects &suspects, MonotonicTime completedAt, MonotonicTime now)
{
    const auto clear = [this, completedAt, now](Fingerprint fingerprint) {
        const auto found = m_suspects.find(fingerprint);
        if (found != m_suspects.end()) {
            applyCompletion(found->second, completedAt, now);
        }
    };
    clear(suspects.request);
    for (const Fingerprint &part : suspects.parts) {
        MonotonicTime &latest = m_completedParts.try_emplace(part, completedAt).first->second;
        latest = std::max(latest, completedAt);
        clear(part);
    }
}

void CrashTracker::applyCompletion(Suspect &suspect, MonotonicTime completedAt, MonotonicTime now)
{
    const std::size_t before = suspect.crashes.size();
    for (auto crash = suspect.crashes.begin(); crash != suspect.crashes.end();) {
        crash = crash->second <= completedAt ? suspect.crashes.erase(crash) : std::next(crash);
    }
    suspect.completedAt = std::max(suspect.completedAt.value_or(completedAt), completedAt);
    if (suspect.crashes.size() == before) {
        return;
    }
    markChanged(suspect, now);
    suspect.trials = 0;
    suspect.trialAt.reset();
    m_hasChanged = true;
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

void CrashTracker::forgetCompletedParts(MonotonicTime now)
{
    if (m_completedParts.size() <= MAX_COMPLETED_PARTS) {
        return;
    }
    for (auto part = m_completedParts.begin(); part != m_completedParts.end();) {
        part = part->second + COMPLETED_PART_RETENTION <= now ? m_completedParts.erase(part) : std::next(part);
    }
}

// The part with the most crashes explains them for the other parts that were on the same targets, unless requests with it have completed
// before: then it may have been there by chance.
void CrashTracker::decide(MonotonicTime now)
{
    if (!std::exchange(m_hasChanged, false)) {
        return;
    }
    const std::vector<Entry *> suspected = suspectedParts();
    for (Entry &entry : m_suspects) {
        if (!entry.second.isPart) {
            setBanned(entry, entry.second.crashes.size() >= CRASHES_TO_BAN, now);
        } else if (entry.second.isBanned && std::find(suspected.begin(), suspected.end(), &entry) == suspected.end()) {
            setBanned(entry, false, now);
        }
    }
    std::map<TargetRun, std::size_t> explained; // crashes of the part that explains the one of this run
    for (Entry *entry : suspected) {
        const Suspect &part = entry->second;
        const auto unexplained = std::count_if(part.crashes.begin(), part.crashes.end(), [&](const auto &crash) {
            const auto found = explained.find(crash.first);
            return found == explained.end() || found->second <= part.crashes.size();
        });
        setBanned(*entry, static_cast<std::size_t>(unexplained) >= crashesToBan(part), now);
        for (auto crash = part.crashes.begin(); crash != part.crashes.end() && part.isBanned && !part.completedAt; ++crash) {
            explained.emplace(crash->first, part.crashes.size());
        }
    }
    groupBannedParts(suspected);
}

// Returns the parts under which enough targets have crashed, those with the most crashes first.
std::vector<CrashTracker::Entry *> CrashTracker::suspectedParts()
{
    std::unordered_map<TargetRun, std::vector<const Suspect *>> requests;
    std::vector<Entry *> suspected;
    for (Entry &entry : m_suspects) {
        if (entry.second.isPart && entry.second.crashes.size() >= crashesToBan(entry.second)) {
            suspected.push_back(&entry);
        }
        for (auto crash = entry.second.crashes.begin(); crash != entry.second.crashes.end() && !entry.second.isPart; ++crash) {
            requests[crash->first].push_back(&entry.second);
        }
    }
    const auto isDueToOneRequest = [&requests](const Entry *entry) {
        std::unordered_map<const Suspect *, std::size_t> counts;
        std::size_t most = 0;
        for (const auto &[run, at] : entry->second.crashes) {
            for (const Suspect *request : requests[run]) {
                most = std::max(most, ++counts[request]);
            }
        }
        return entry->second.crashes.size() < most + CRASHES_BESIDES_ONE_REQUEST;
    };
    suspected.erase(std::remove_if(suspected.begin(), suspected.end(), isDueToOneRequest), suspected.end());
    std::sort(suspected.begin(), suspected.end(), [](const Entry *left, const Entry *right) {
        return left->second.crashes.size() > right->second.crashes.size();
    });
    return suspected;
}

void CrashTracker::groupBannedParts(const std::vector<Entry *> &suspected)
{
    const auto hasSameCrashes = [](const Suspect &left, const Suspect &right) {
        return left.crashes.size() == right.crashes.size()
            && std::equal(left.crashes.begin(), left.crashes.end(), right.crashes.begin(), [](const auto &first, const auto &second) {
                   return first.first == second.first;
               });
    };
    for (Entry *entry : suspected) {
        entry->second.inseparable.clear();
        for (const Entry *other : suspected) {
            if (other != entry && other->second.isBanned && hasSameCrashes(entry->second, other->second)) {
                entry->second.inseparable.push_back(other->first);
            }
        }
    }
}

void CrashTracker::setBanned(Entry &entry, bool isBanned, MonotonicTime now)
{
    Suspect &suspect = entry.second;
    if (std::exchange(suspect.isBanned, isBanned) == isBanned) {
        return;
    }
    markChanged(suspect, now);
    if (isBanned) {
        suspect.wasBanned = true;
        addEvent(CrashBan { entry.first, suspect.isPart, suspect.crashes.size() });
    } else {
        addEvent(BanLifted { entry.first, suspect.isPart });
    }
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
    report.isPart = suspect.isPart;
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
