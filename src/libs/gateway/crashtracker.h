#pragma once

#include "targetrecord.h"

#include <common/common.h>

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace CassiaRelay::Gateway {

/** Identifies one start of a target: a target that restarts under its id begins a new run. */
using TargetRun = StrongId<struct TargetRunTag, std::uint64_t>;

/** What daemons tell each other about a request that was running on targets that crashed. */
struct SuspectReport {
    struct Crash {
        TargetRun run;
        Duration age {};
    };

    Fingerprint fingerprint;
    std::vector<Crash> crashes;           ///< since the last completion
    std::optional<Duration> completedAge; ///< time since the request last completed
    Duration seenAge {};                  ///< time since the request last came
    int trials = 0;                       ///< times that the banned request was let through
    std::optional<Duration> trialAge;     ///< time since the last trial
};

/** What shows that a target has crashed. */
enum class CrashEvidence {
    Gone,      ///< it refuses connections, or its entry was removed, or another target has its address
    Restarted, ///< it has restarted under its id
    Silent,    ///< it did not respond to anything after it closed connections
};

/** A crash was attributed to the requests that were running on the target. */
struct CrashCounted {
    TargetId target;
    CrashEvidence evidence = CrashEvidence::Gone;
    std::vector<Fingerprint> suspects;
    MonotonicTime at;
};

struct RequestBanned {
    Fingerprint fingerprint;
    std::size_t crashes = 0;
};

/** The banned request has completed here or at another daemon. */
struct BanLifted {
    Fingerprint fingerprint;
};

/** Decision of a CrashTracker, for the log. */
using CrashEvent = std::variant<CrashCounted, RequestBanned, BanLifted>;

/** Whether a request may be sent to a target. */
enum class Admission {
    Allowed,
    Trial, ///< banned, but let through to a single target to find out whether the ban is right
    Banned,
};

/**
 * Tracks which requests were running on targets that crashed, and bans a request after several crashes without a completion in between.
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
    void recordConnectionLoss(Fingerprint fingerprint, const TargetRecord &target, MonotonicTime now);
    /** A response without length or chunks ended with its connection: it is complete, or the target has crashed. */
    void recordOpenEnd(Fingerprint fingerprint, const TargetRecord &target, MonotonicTime now);
    /** The target responded to something that was sent to it at the given time. */
    void recordResponse(const TargetId &target, MonotonicTime sentAt);
    /** The target refuses connections, was removed, or another target has its address. */
    void recordTargetGone(const TargetId &target, MonotonicTime now);
    /** The target has restarted under its id. */
    void recordTargetRestarted(const TargetId &target, MonotonicTime now);
    /** The request completed, so it did not cause the crashes counted against it. */
    void recordCompletion(Fingerprint fingerprint, MonotonicTime now);

    /** Decides about a request that has arrived. */
    Admission admit(Fingerprint fingerprint, MonotonicTime now);
    bool isBanned(Fingerprint fingerprint, MonotonicTime now) const;
    /** Number of crashes counted against the request. */
    std::size_t crashCount(Fingerprint fingerprint) const;

    /** Reports for another daemon: all bans, and what has changed a moment ago. */
    std::vector<SuspectReport> reports(MonotonicTime now) const;
    void merge(const std::vector<SuspectReport> &reports, MonotonicTime now);

    /** Counts the losses whose target stayed silent, and removes what is too old. Call every few hundred milliseconds. */
    void expire(MonotonicTime now);
    std::vector<CrashEvent> takeEvents();

private:
    struct Suspect {
        std::map<TargetRun, MonotonicTime> crashes; ///< since the last completion
        std::optional<MonotonicTime> completedAt;
        MonotonicTime seenAt;
        MonotonicTime changedAt;
        int trials = 0;
        std::optional<MonotonicTime> trialAt;
        bool wasBanned = false;
    };
    struct Loss {
        Fingerprint fingerprint;
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
    static bool isExpired(const Loss &loss, MonotonicTime now);
    void addLoss(const TargetRecord &target, Loss loss);
    void countCrash(const TargetId &target, CrashEvidence evidence, MonotonicTime now);
    void countSilentTargets(MonotonicTime now);
    void countReportedCrash(TargetRun run, MonotonicTime now);
    std::size_t targetsLostAround(MonotonicTime at) const;
    Suspect &suspect(Fingerprint fingerprint, MonotonicTime now);
    void addCrash(Fingerprint fingerprint, TargetRun run, MonotonicTime at, MonotonicTime now);
    void applyCompletion(Fingerprint fingerprint, Suspect &suspect, MonotonicTime completedAt, MonotonicTime now);
    void makeRoom(MonotonicTime now);
    void addEvent(CrashEvent event);
    SuspectReport report(Fingerprint fingerprint, const Suspect &suspect, MonotonicTime now) const;

    OwnerFunction m_isOwner;
    std::unordered_map<Fingerprint, Suspect> m_suspects;
    std::map<TargetId, TargetLosses> m_losses; ///< of targets that are not yet known to have crashed
    std::vector<CrashEvent> m_events;
};

/** Text for the log. */
std::string_view toString(CrashEvidence evidence);

} // namespace CassiaRelay::Gateway
