#pragma once

#include "ratewindow.h"
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
struct TargetNeed {
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
class TargetBook
{
public:
    TargetBook(ColdLimits coldLimits, std::unordered_map<FailureDomain, Region> regions, std::uint64_t seed);

    void put(const TargetRecord &record, MonotonicTime now);
    void remove(const TargetId &id);
    void setDomainOut(const FailureDomain &domain, bool out);
    void setServices(const std::vector<Service> &services);
    void setColdLimits(ColdLimits limits);
    /** Daemons that share the cold targets. */
    void setVms(int vms);

    /** Picks a target and counts the attempt as running there; finished() ends that. */
    TargetChoice choose(const TargetNeed &need, MonotonicTime now);
    /** Where a request would be placed now. */
    std::optional<FailureDomain> likelyDomain(const TargetNeed &need, MonotonicTime now);
    /** Counts an attempt at a target that was picked otherwise. False when the target must not be used now. */
    bool start(const TargetId &id, std::int64_t tokens, MonotonicTime now);
    /** The target has read the prompt. */
    void promptRead(const TargetId &id, std::int64_t tokens);
    void finished(const TargetId &id, AttemptResult result, std::int64_t unreadTokens, MonotonicTime now);
    void noteLatency(const TargetId &id, Duration latency);
    void noteLoad(const TargetId &id, const ReportedLoad &load, MonotonicTime now);
    void noteCold(const TargetId &id, Duration coldFor, MonotonicTime now);

    /** Targets of the service that may get new work. */
    std::vector<TargetRecord> usable(const ServiceName &service, MonotonicTime now) const;
    std::optional<TargetRecord> find(const TargetId &id) const;
    /** Recent mean time until an answer; 0 when unknown. */
    Duration latency(const TargetId &id) const;
    std::size_t size() const;

private:
    struct Target {
        TargetRecord record;
        TargetHealth health;
        int running = 0;
        std::int64_t unreadTokens = 0;
        int othersRunning = 0; ///< work of other daemons, as the target last said
        MonotonicTime loadAt;
        MonotonicTime coldUntil;
        RateWindow coldStarts { std::chrono::seconds(1) };
        MonotonicTime lastColdStart;
    };

    bool isAllowed(const Target &target, const std::vector<Region> &regions) const;
    bool hasColdRoom(Target &target, MonotonicTime now) const;
    double coldShare(const ServiceName &service) const;
    double cost(const Target &target, Duration meanLatency, MonotonicTime now) const;
    std::vector<Target *> candidates(const TargetNeed &need, MonotonicTime now);
    Target &best(const std::vector<Target *> &candidates, const TargetNeed &need, MonotonicTime now);
    static Duration meanLatency(const std::vector<Target *> &candidates);
    void begin(Target &target, std::int64_t tokens, MonotonicTime now);

    ColdLimits m_coldLimits;
    std::unordered_map<FailureDomain, Region> m_regions;
    RandomSource m_random;
    int m_vms = 1;
    std::map<TargetId, Target> m_targets;
    std::unordered_map<ServiceName, std::set<TargetId>> m_byService;
    std::unordered_map<ServiceName, Service> m_services;
    std::set<FailureDomain> m_domainsOut;
};

} // namespace CassiaRelay::Gateway
