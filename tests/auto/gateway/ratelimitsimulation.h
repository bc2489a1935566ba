#pragma once

#include "../../standins/ratelimitcheck.h"
#include "simulatedfleet.h"

#include <random>

namespace CassiaRelay::Gateway {

/** What became of the requests of callers. */
struct RateLimitOutcome {
    int sent = 0;    ///< to a target
    int refused = 0; ///< at once, because no target could get them
};

/** Replays requests in virtual time at daemons that share targets, some of which name a request rate limit in their responses. */
class RateLimitSimulation
{
public:
    RateLimitSimulation(int vmCount, int targetCount);

    /** @param perSecond no value: the responses of the target name no limit any more */
    void setLimit(int target, std::optional<double> perSecond);
    /** The target is replaced by one with another id at the same address. */
    void replaceTarget(int target);
    void setRequestRate(double perSecond);
    void run(Duration duration);

    SimulatedFleet &fleet();
    /** Starts a daemon that was killed, or one more. */
    void start(int vm);

    /** Number of the daemon that the others take for the issuer. */
    int issuer();
    RateLimitOutcome takeOutcome();
    std::uint64_t overruns(int target) const;
    std::uint64_t arrivals(int target) const;

private:
    struct SimulatedTarget {
        TargetRecord record;
        StandIns::RateLimitCheck check;
        std::uint64_t arrivals = 0;
    };
    struct PendingResponse {
        int vm;
        TargetRecord target;
        RateLimitStatement statement;
        MonotonicTime at;
    };

    TargetRegistry &targets(int vm);
    std::unique_ptr<TargetRegistry> makeRegistry(int vm);
    /** Passes on what a greeting says about rate limits. */
    void greet(int from, int to);
    void exchangePermits(int vm, const ServiceName &service);
    void sendRequest(int vm);
    void deliverResponses();

    MonotonicTime m_now = Samples::START;
    MonotonicTime m_nextRequestAt = Samples::START;
    double m_requestRate = 60;
    std::mt19937 m_random { 7 };
    std::vector<std::unique_ptr<TargetRegistry>> m_registries; ///< by daemon
    std::vector<SimulatedTarget> m_targets;
    SimulatedFleet m_fleet;
    std::vector<PendingResponse> m_responses;
    RateLimitOutcome m_outcome;
    int m_replacements = 0;
};

} // namespace CassiaRelay::Gateway
