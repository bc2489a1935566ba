#pragma once

#include "placementpolicy.h"
#include "recentattempts.h"
#include "slidingwindowcounter.h"
#include "streamdirectory.h"
#include "targethealth.h"
#include "targetpace.h"
#include "targetratelimits.h"
#include "targetrecord.h"
#include "targetreports.h"
#include "targetstatements.h"
#include "usualtimes.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace CassiaRelay::Gateway {

/** What a request requires of its target. */
struct TargetRequirements {
    ServiceName service;
    std::set<TargetId> avoid;                   ///< targets that the request has already been sent to
    std::optional<std::uint64_t> cacheKey;      ///< hash of the shared prompt parts; requests with equal keys prefer the same target
    std::int64_t tokens = 0;                    ///< prompt tokens that the target has to process
    MonotonicTime softDeadline;                 ///< a response after this time is late
    std::int64_t sharedTokens = 0;              ///< those of the shared prompt parts, which the preferred target may have cached
    std::optional<FailureDomain> inputDomain;   ///< domain that stores the large inputs of the request
    std::vector<Region> allowedRegions;         ///< all regions if empty
    std::optional<std::string> softwareVersion; ///< of the target; any if absent
    bool mayRequestPermits = false;             ///< PermitsNeeded is a possible choice
    std::optional<TargetId> preferredTarget;    ///< PermitsNeeded::best once permits were requested, or what the owner selected
};

/** What a placement by expected finish is based on. */
struct PlacementFigures {
    Duration expectedFinish {}; ///< until the first event or the response
    double pace = 1;
    std::optional<Duration> loadAge;    ///< no value: load unknown
    std::optional<Duration> toldAge;    ///< no value: pace not reported
    std::optional<Duration> learnedAge; ///< no value: pace not measured
    bool isCachePreferred = false;
    std::size_t passedOver = 0; ///< candidates that would have finished later
};

struct ChosenTarget {
    TargetRecord record;
    std::size_t candidates = 0; ///< targets that could have been chosen
    double cost = 0;            ///< expected wait, in units of running requests
    bool isCold = false;
    std::optional<PlacementFigures> placement; ///< if targets are chosen by expected finish
};

/** Counts of placements by expected finish, and what is known of the targets now. */
struct PlacementStatistics {
    std::uint64_t placements = 0;
    std::uint64_t passedOver = 0;   ///< candidates that would have finished later, over all placements
    std::size_t toldTargets = 0;    ///< with a valid reported pace
    std::size_t learnedTargets = 0; ///< with a valid measured pace
    std::size_t slowTargets = 0;    ///< that are expected to take clearly longer than usual
};

struct NoTarget {
    std::string reason;
    Duration retryAfter {};
};

/** The best target has a rate limit, and another daemon may issue permits for it. */
struct PermitsNeeded {
    TargetId best;
};

using TargetChoice = std::variant<ChosenTarget, PermitsNeeded, NoTarget>;

/** Load that a target reports about itself. */
struct ReportedLoad {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    std::optional<std::int64_t> pacePercent {}; ///< how long work takes there at the moment; 100 is usual
};

/** Limits the request rate of a target that has just started to Service::coldRate * factor + slack requests per second. */
struct ColdLimits {
    double factor = 1;
    double slack = 0;
};

/** Stores the state of all targets as one daemon sees it, and selects targets for requests. */
class TargetRegistry
{
public:
    TargetRegistry(ColdLimits coldLimits, std::unordered_map<FailureDomain, Region> regions, std::uint64_t seed);

    void put(const TargetRecord &record, MonotonicTime now);
    void remove(const TargetId &id);
    void setDomainDisabled(const FailureDomain &domain, bool isDisabled);
    void setServices(const std::vector<Service> &services);
    void setColdLimits(ColdLimits limits);
    /** Sets the number of VMs whose daemons share the rate limit of cold targets and the connections of each target. */
    void setVmCount(int vmCount);
    /** Sets whether targets are chosen by expected finish. If not, loads and paces of other daemons are ignored, and none are reported. */
    void setPlacesByExpectedFinish(bool isEnabled);

    /** Selects a target and counts the attempt as running there until finishAttempt(). */
    TargetChoice choose(const TargetRequirements &requirements, MonotonicTime now);
    /** Returns the domain of the target that choose() would probably select now. */
    std::optional<FailureDomain> likelyDomain(const TargetRequirements &requirements, MonotonicTime now);
    /**
     * Returns the expected time until the first target that choose() could select starts one more request.
     *
     * No value if there is no such target, or if the load or the response time of one of them is not known.
     */
    std::optional<Duration> earliestStart(const TargetRequirements &requirements, MonotonicTime now);
    /** Counts an attempt at a target that choose() did not select. Returns false and counts nothing if it must not be used now. */
    bool startAttempt(const TargetId &id, std::int64_t tokens, MonotonicTime now);
    /** Subtracts prompt tokens from the load of the target after it has processed them. */
    void promptProcessed(const TargetId &id, std::int64_t tokens);
    void finishAttempt(const TargetId &id, AttemptResult result, std::int64_t pendingPromptTokens, MonotonicTime now);
    void addLatencySample(const TargetId &id, Duration latency);
    /** Records how long a target took for an amount of work. */
    void addWorkSample(const TargetId &id, const Work &work, Duration duration, MonotonicTime now);
    void setReportedLoad(const TargetId &id, const ReportedLoad &load, MonotonicTime now);
    /** Applies what another daemon reports about a target. */
    void applyReport(const TargetReport &report, MonotonicTime now);
    /** Returns the reports that are worth sending to another daemon, at most TargetReportBoard::MAX_REPORTS_PER_GREETING. */
    std::vector<TargetReport> relevantReports(MonotonicTime now) const;
    void setColdTime(const TargetId &id, Duration coldFor, MonotonicTime now);
    /** Applies what a response of the target said about its request rate limit. */
    void setRateLimit(const TargetRecord &target, const RateLimitStatement &statement, MonotonicTime now);

    /** Applies what a response of the target said about the requests that it wants. */
    void applyStatement(const TargetRecord &target, const TargetStatement &statement, MonotonicTime now);
    /** Another daemon has heard that the target is leaving. */
    void setLeaving(const TargetRecord &target, MonotonicTime now);
    /** Another target answers at the address of this one; it gets nothing for a while, longer each time, until it is published anew. */
    void setMisdirected(const TargetRecord &target, MonotonicTime now);
    /** Whether the target is still published as in this record, and may be given work. */
    bool mayReceive(const TargetRecord &record) const;
    /** Whether the target is still published as in this record, and no other one has answered at its address. */
    bool isAtItsAddress(const TargetRecord &record, MonotonicTime now) const;
    void removeExpiredStatements(MonotonicTime now);
    void removeExpiredReports(MonotonicTime now);

    /** Returns the targets of the service that may be given work now. */
    std::vector<TargetRecord> usableTargets(const ServiceName &service, MonotonicTime now) const;
    /** Returns the usable targets of the service in the regions, without the cold ones if there are others. */
    std::vector<const TargetRecord *> placementTargets(const ServiceName &service,
                                                       const std::vector<Region> &regions,
                                                       MonotonicTime now) const;
    std::size_t usableTargetCount(const ServiceName &service, MonotonicTime now) const;
    /** Calls visit with the record of each target that usableTargets() would return, in the same order. */
    template<typename Visitor>
    void forEachUsableTarget(const ServiceName &service, MonotonicTime now, Visitor visit) const;
    /** Returns the domains with targets of the service that are in order, even if each of them is at a limit for the moment. */
    std::set<FailureDomain> domainsInOrder(const ServiceName &service, MonotonicTime now) const;
    /** Whether the target has turned a request of this daemon away and wants nothing for a while. */
    bool isPaused(const TargetRecord &target, MonotonicTime now) const;
    /** Returns up to so many targets of the service that may be given work, chosen at random, whatever their health. */
    std::vector<TargetRecord> sample(const ServiceName &service, std::size_t maxCount);
    /** Returns the region of a failure domain; no value if it is unknown. */
    std::optional<Region> regionOf(const FailureDomain &domain) const;
    std::optional<TargetRecord> find(const TargetId &id) const;
    /** Returns the recent mean response time of the target, or 0 if it is unknown. */
    Duration latency(const TargetId &id) const;
    /** Returns the factor by which work of the target is expected to take longer than usual; 1 unless placed by expected finish. */
    double pace(const TargetId &id, MonotonicTime now) const;
    PlacementStatistics placementStatistics(MonotonicTime now) const;
    std::size_t size() const;
    /** Returns how many idle connections this daemon may keep to one target of the service. */
    std::size_t maxIdleConnections(const ServiceName &service) const;
    TargetRateLimits &rateLimits();
    const TargetRateLimits &rateLimits() const;

private:
    struct Target {
        TargetRecord record;
        TargetHealth health;
        int running = 0;
        std::int64_t pendingPromptTokens = 0;
        int externalRunning = 0; ///< requests of other daemons, from the last load report
        MonotonicTime loadReportedAt;
        int reportedSlots = 0; ///< 0 until the target has reported its load
        MonotonicTime coldUntil;
        SlidingWindowCounter recentColdStarts { std::chrono::seconds(1) };
        MonotonicTime lastColdStartAt;
        MonotonicTime misdirectedUntil;
        int misdirections = 0;
        MonotonicTime refusedUntil; ///< a brittle target gets nothing until then
        TargetPace pace;
        RecentAttempts attempts;
        std::optional<TargetReport::Load> load; ///< newest, from the target or another daemon
    };
    /** The target selected, and why. */
    struct Selection {
        Target *target = nullptr;
        std::optional<PlacementFigures> placement;
    };

    bool isAllowed(const Target &target, const std::vector<Region> &regions) const;
    bool isUsable(const Target &target, MonotonicTime now) const;
    static bool isSameStart(const TargetRecord &left, const TargetRecord &right);
    /** Whether a brittle target is likely to take one more request; others decide for themselves. */
    bool hasRoom(const Target &target, MonotonicTime now) const;
    /** Time for which this daemon leaves a brittle target alone that has refused a request. */
    Duration refusalBackoff(double maxRefusals);
    Duration untilPauseEnds(const ServiceName &service, MonotonicTime now) const;
    std::optional<Duration> expectedStart(const Target &target, MonotonicTime now) const;
    bool hasColdCapacity(Target &target, MonotonicTime now) const;
    double coldRateShare(const ServiceName &service) const;
    double cost(const Target &target, Duration meanLatency, MonotonicTime now) const;
    std::vector<Target *> candidates(const TargetRequirements &requirements, MonotonicTime now);
    Selection selectBest(const std::vector<Target *> &candidates, const TargetRequirements &requirements, MonotonicTime now);
    Target &selectLeastLoaded(const std::vector<Target *> &candidates, const TargetRequirements &requirements, MonotonicTime now);
    Selection selectByExpectedFinish(const std::vector<Target *> &candidates, const TargetRequirements &requirements, MonotonicTime now);
    PlacementCandidate placementCandidate(const Target &target, const TargetRequirements &requirements, MonotonicTime now) const;
    ToldPaces toldPaces(const ServiceName &service) const;
    PlacementWork placementWork(const TargetRequirements &requirements, MonotonicTime now) const;
    static Duration meanLatency(const std::vector<Target *> &candidates);
    void recordAttemptStart(Target &target, std::int64_t tokens, MonotonicTime now);

    ColdLimits m_coldLimits;
    std::unordered_map<FailureDomain, Region> m_regions;
    RandomSource m_random;
    int m_vmCount = 1;
    std::map<TargetId, Target> m_targets;
    std::unordered_map<ServiceName, std::set<TargetId>> m_byService;
    std::unordered_map<ServiceName, Service> m_services;
    std::set<FailureDomain> m_disabledDomains;
    TargetRateLimits m_rateLimits;
    TargetStatements m_statements;
    bool m_placesByExpectedFinish = false;
    UsualTimes m_usualTimes;
    std::unordered_map<ServiceName, ToldPaces> m_toldPaces;
    TargetReportBoard m_reports;
    std::uint64_t m_placements = 0;
    std::uint64_t m_passedOver = 0;
};

template<typename Visitor>
void TargetRegistry::forEachUsableTarget(const ServiceName &service, MonotonicTime now, Visitor visit) const
{
    const auto ids = m_byService.find(service);
    if (ids == m_byService.end()) {
        return;
    }
    for (const TargetId &id : ids->second) {
        const Target &target = m_targets.at(id);
        if (isUsable(target, now)) {
            visit(target.record);
        }
    }
}

} // namespace CassiaRelay::Gateway
