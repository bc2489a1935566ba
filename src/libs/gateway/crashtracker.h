#pragma once

#include "targetrecord.h"

#include <common/common.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace CassiaRelay::Gateway {

/** Identifies one start of a target: a target that restarts under its id begins a new run. */
using TargetRun = StrongId<struct TargetRunTag, std::uint64_t>;

/** What a crash may be due to: a request as a whole, or one of the prompt parts that it shares with others. */
struct CrashSuspects {
    Fingerprint request;
    std::vector<Fingerprint> parts;
};

/** What daemons tell each other about a request, or a prompt part of requests, that was running on targets that crashed. */
struct SuspectReport {
    struct Crash {
        TargetRun run;
        Duration age {};
    };

    Fingerprint fingerprint;
    bool isPart = false;
    std::vector<Crash> crashes;           ///< since the last completion
    std::optional<Duration> completedAge; ///< time since such a request last completed
    Duration seenAge {};                  ///< time since such a request last came
    int trials = 0;                       ///< times that a banned request was let through
    std::optional<Duration> trialAge;     ///< time since the last trial
};

/** What shows that a target has crashed. */
enum class CrashEvidence {
    Gone,      ///< it refuses connections, or its entry was removed, or another target has its address
    Restarted, ///< it has restarted under its id
    Silent,    ///< it did not respond to anything after it closed connections
};

/** A crash was counted against the requests that were running on the target. */
struct CrashCounted {
    TargetId target;
    CrashEvidence evidence = CrashEvidence::Gone;
    std::set<Fingerprint> requests;
    std::set<Fingerprint> parts;
    MonotonicTime at;
};

/** Requests with this fingerprint, or with a prompt part of this fingerprint, are not sent to targets. */
struct CrashBan {
    Fingerprint fingerprint;
    bool isPart = false;
    std::size_t crashes = 0;
};

/** A banned request has completed here or at another daemon, or the crashes are due to something else. */
struct BanLifted {
    Fingerprint fingerprint;
    bool isPart = false;
};

/** Decision of a CrashTracker, for the log. */
using CrashEvent = std::variant<CrashCounted, CrashBan, BanLifted>;

/** Whether a request may be sent to a target. */
enum class Admission {
    Allowed,
    Trial, ///< banned, but let through to a single target to find out whether the ban is right
    Banned,
};

/**
 * Tracks which requests were running on targets that crashed. Bans a request, or all requests with a prompt part, after several crashes
 * without a completion in between. Parts that were always on the same targets are banned together: a request with only some of them is
 * allowed, and tells them apart.
 *
 * A lost connection counts as a crash when the target turns out to be gone or stays silent. All daemons gather the same evidence: crashes
 * are identified by target run, so that each counts once, and a completion voids all earlier ones.
 */
class CrashTracker
{
public:
    using OwnerFunction = std::function<bool(Fingerprint)>;

    /** Sets which of the daemons decides when a banned request is let through; without it, this one does. */
    void setOwnerFunction(OwnerFunction isOwner);

    /** The connection was lost while the target ran the request. */
    void recordConnectionLoss(const CrashSuspects &suspects, const TargetRecord &target, MonotonicTime now);
    /** A response without length or chunks ended with its connection: it is complete, or the target has crashed. */
    void recordOpenEnd(const CrashSuspects &suspects, const TargetRecord &target, MonotonicTime now);
    /** The target responded to something that was sent to it at the given time. */
    void recordResponse(const TargetId &target, MonotonicTime sentAt);
    /** The target refuses connections, was removed, or another target has its address. */
    void recordTargetGone(const TargetId &target, MonotonicTime now);
    /** The target has restarted under its id. */
    void recordTargetRestarted(const TargetId &target, MonotonicTime now);
    /** The request completed, so neither it nor its parts caused the crashes counted against them. */
    void recordCompletion(const CrashSuspects &suspects, MonotonicTime now);

    /** Decides about a request that has arrived. */
    Admission admit(const CrashSuspects &suspects, MonotonicTime now);
    bool isBanned(const CrashSuspects &suspects, MonotonicTime now) const;
    /** Returns why a request must not be sent, if so. */
    std::optional<CrashBan> findBan(const CrashSuspects &suspects, MonotonicTime now) const;
    /** Number of crashes counted against the request or part. */
    std::size_t crashCount(Fingerprint fingerprint) const;

    /**
     * Takes the reports for another daemon: what has changed a moment ago, unless enough daemons were told, and all bans unless the other
     * daemon knows the same.
     * @param otherBans its bansHash(); no value if it is not known
     */
    std::vector<SuspectReport> takeReports(std::optional<std::uint64_t> otherBans, MonotonicTime now);
    /** Hash of all that is banned, equal at daemons that have banned the same; 0 if nothing is. */
    std::uint64_t bansHash(MonotonicTime now) const;
    void merge(const std::vector<SuspectReport> &reports, MonotonicTime now);

    /** Counts the losses whose target stayed silent, and removes what is too old. Call every few hundred milliseconds. */
    void expire(MonotonicTime now);
    std::vector<CrashEvent> takeEvents();

private:
    struct Suspect {
        bool isPart = false;
        std::map<TargetRun, MonotonicTime> crashes; ///< since the last completion
        std::optional<MonotonicTime> completedAt;
        MonotonicTime seenAt;
        MonotonicTime changedAt;
        int tellings = 0; ///< reports of the latest change
        int trials = 0;
        std::optional<MonotonicTime> trialAt;
        bool isBanned = false;
        bool wasBanned = false;
        std::vector<Fingerprint> inseparable; ///< other banned parts under which exactly the same targets crashed
    };
    using Entry = std::pair<const Fingerprint, Suspect>;
    struct Loss {
        CrashSuspects suspects;
        MonotonicTime at;
        bool isOpenEnd = false;
        bool isAnswered = false; ///< the target has responded to something sent later
    };
    struct TargetLosses {
        TargetRun run;
        std::vector<Loss> losses;
    };

    static TargetRun runOf(const TargetRecord &target);
    static bool isBanned(const Suspect &suspect, MonotonicTime now);
    static void markChanged(Suspect &suspect, MonotonicTime now);
    /** Returns the ban of the fingerprint if it applies to the request. */
    const Suspect *findBan(Fingerprint fingerprint, const CrashSuspects &request, MonotonicTime now) const;
    static std::size_t crashesToBan(const Suspect &suspect);
    static bool isExpired(const Loss &loss, MonotonicTime now);
    void addLoss(const TargetRecord &target, Loss loss);
    void countCrash(const TargetId &target, CrashEvidence evidence, MonotonicTime now);
    void countSilentTargets(MonotonicTime now);
    void countReportedCrash(TargetRun run, MonotonicTime now);
    std::size_t targetsLostAround(MonotonicTime at) const;
    bool isTrialDue(Fingerprint fingerprint, const Suspect &banned, MonotonicTime now) const;
    Suspect &suspect(Fingerprint fingerprint, bool isPart, MonotonicTime now);
    void addCrash(Fingerprint fingerprint, bool isPart, TargetRun run, MonotonicTime at, MonotonicTime now);
    void applyCompletion(const CrashSuspects &suspects, MonotonicTime completedAt, MonotonicTime now);
    void applyCompletion(Suspect &suspect, MonotonicTime completedAt, MonotonicTime now);
    /** Counts the response as complete if the target answered afterwards. */
    void completeOpenEnd(const Loss &loss, MonotonicTime now);
    void makeRoom(MonotonicTime now);
    void forgetCompletedParts(MonotonicTime now);
    /** Decides anew which suspects are banned if the evidence has changed. */
    void decide(MonotonicTime now);
    std::vector<Entry *> suspectedParts();
    void groupBannedParts(const std::vector<Entry *> &suspected);
    void setBanned(Entry &entry, bool isBanned, MonotonicTime now);
    void addEvent(CrashEvent event);
    SuspectReport report(Fingerprint fingerprint, const Suspect &suspect, MonotonicTime now) const;

    OwnerFunction m_isOwner;
    std::unordered_map<Fingerprint, Suspect> m_suspects;
    std::unordered_map<Fingerprint, MonotonicTime> m_completedParts; ///< latest completion of a request with the part
    bool m_hasChanged = false;                                       ///< the evidence, since the last decision
    std::map<TargetId, TargetLosses> m_losses;                       ///< of targets that are not yet known to have crashed
    std::vector<CrashEvent> m_events;
};

/** Text for the log. */
std::string_view toString(CrashEvidence evidence);

} // namespace CassiaRelay::Gateway
