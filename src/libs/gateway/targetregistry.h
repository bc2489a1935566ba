#pragma once

#include "slidingwindowcounter.h"
#include "targethealth.h"
#include "targetrecord.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace CassiaRelay::Gateway {

/** What a request needs of the target that runs it. */
struct TargetRequirements {
    ServiceName service;
    std::set<TargetId> avoid;                 ///< targets that the request has already been sent to
    std::optional<std::uint64_t> cacheKey;    ///< hash of the shared prompt parts; equal keys go to the same targets
    std::int64_t tokens = 0;                  ///< prompt tokens that the target has to read
    std::optional<FailureDomain> inputDomain; ///< where the large inputs of the request lie
    std::vector<Region> allowedRegions;       ///< empty: all
};

struct ChosenTarget {
    TargetRecord record;
    std::size_t candidates = 0; ///< targets that could have been chosen
    double cost = 0;            ///< expected wait, in running requests
    bool isCold = false;
};

struct NoTarget {
    std::string reason;
    Duration retryAfter {};
};

using TargetChoice = std::variant<ChosenTarget, NoTarget>;

/** How much a target itself says it has to do. */
struct ReportedLoad {
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/** Bounds on what is sent to targets that have just started. */
struct ColdLimits {
    double factor = 1;
    double slack = 0;
};

/** Everything one daemon believes of the targets, and the choice among them. */
class TargetRegistry
{
public:
    TargetRegistry(ColdLimits coldLimits, std::unordered_map<FailureDomain, Region> regions, std::uint64_t seed);

    void put(const TargetRecord &record, MonotonicTime now);
    void remove(const TargetId &id);
    void setDomainDisabled(const FailureDomain &domain, bool isDisabled);
    void setServices(const std::vector<Service> &services);
    void setColdLimits(ColdLimits limits);
    /** Daemons that share the cold targets. */
    void setVmCount(int vmCount);

    /** Picks a target and counts the attempt as running there; finishAttempt() ends that. */
    TargetChoice choose(const TargetRequirements &requirements, MonotonicTime now);
    /** Where a request would be placed now. */
    std::optional<FailureDomain> likelyDomain(const TargetRequirements &requirements, MonotonicTime now);
    /** Counts an attempt at a target that was picked otherwise. False when the target must not be used now. */
    bool startAttempt(const TargetId &id, std::int64_t tokens, MonotonicTime now);
    /** The target has read the prompt. */
    void promptProcessed(const TargetId &id, std::int64_t tokens);
    void finishAttempt(const TargetId &id, AttemptResult result, std::int64_t pendingPromptTokens, MonotonicTime now);
    void addLatencySample(const TargetId &id, Duration latency);
    void setReportedLoad(const TargetId &id, const ReportedLoad &load, MonotonicTime now);
    void setColdTime(const TargetId &id, Duration coldFor, MonotonicTime now);

    /** Targets of the service that may get new work. */
    std::vector<TargetRecord> usableTargets(const ServiceName &service, MonotonicTime now) const;
    std::optional<TargetRecord> find(const TargetId &id) const;
    /** Recent mean time until an answer; 0 when unknown. */
    Duration latency(const TargetId &id) const;
    std::size_t size() const;

private:
    struct Target {
        TargetRecord record;
        TargetHealth health;
        int running = 0;
        std::int64_t pendingPromptTokens = 0;
        int externalRunning = 0; ///< work of other daemons, as the target last said
        MonotonicTime loadReportedAt;
        MonotonicTime coldUntil;
        SlidingWindowCounter recentColdStarts { std::chrono::seconds(1) };
        MonotonicTime lastColdStartAt;
    };

    bool isAllowed(const Target &target, const std::vector<Region> &regions) const;
    bool hasColdCapacity(Target &target, MonotonicTime now) const;
    double coldRateShare(const ServiceName &service) const;
    double cost(const Target &target, Duration meanLatency, MonotonicTime now) const;
    std::vector<Target *> candidates(const TargetRequirements &requirements, MonotonicTime now);
    Target &selectBest(const std::vector<Target *> &candidates, const TargetRequirements &requirements, MonotonicTime now);
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
};

} // namespace CassiaRelay::Gateway
