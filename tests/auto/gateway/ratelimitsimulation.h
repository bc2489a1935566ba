#pragma once

#include "../../standins/ratelimitcheck.h"
#include "samples.h"

#include <map>
#include <memory>
#include <random>
#include <vector>

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

    void kill(int vm);
    /** Starts a daemon that was killed, or one more. */
    void start(int vm);
    void freeze(int vm);
    void resume(int vm);
    /** Daemons in different parts can't reach each other; those in no part reach all. */
    void split(std::map<int, int> partOfVm);

    /** Number of the daemon that the others take for the issuer. */
    int issuer() const;
    RateLimitOutcome takeOutcome();
    std::uint64_t overruns(int target) const;
    std::uint64_t arrivals(int target) const;

private:
    struct Vm {
        std::unique_ptr<Members> members;
        std::unique_ptr<TargetRegistry> targets;
        bool isAlive = false;
        bool isFrozen = false;
    };
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

    VmId vmId(int vm) const;
    bool reaches(int from, int to) const;
    int vmOf(const VmId &id) const;
    void connect(int from, int to);
    void exchangeGreetings(int from);
    void greet(int from, int to);
    void exchangePermits(int vm, const ServiceName &service);
    void sendRequest(int vm);
    void deliverResponses();
    void updateShares(int vm);

    MonotonicTime m_now = Samples::START;
    MonotonicTime m_nextRequestAt = Samples::START;
    double m_requestRate = 60;
    std::mt19937 m_random { 7 };
    std::vector<Vm> m_vms;
    std::vector<SimulatedTarget> m_targets;
    std::vector<PendingResponse> m_responses;
    std::map<int, int> m_partOfVm;
    RateLimitOutcome m_outcome;
    int m_replacements = 0;
};

} // namespace CassiaRelay::Gateway
