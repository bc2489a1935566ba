#pragma once

#include "simulatedfleet.h"

#include <map>
#include <random>

namespace CassiaRelay::Gateway {

/** What happens to the connections of a daemon that is cut off from all targets. */
enum class CutKind {
    Reset,     ///< they are reset, and new ones are refused
    Hang,      ///< they carry nothing, and new ones are never established
    RefuseNew, ///< they live on, and new ones are refused
};

/** Requests at daemons of which some are cut off from all targets, in virtual time. */
class HandoverSimulation
{
public:
    HandoverSimulation(int vmCount, int targetCount, std::uint64_t seed = 1);

    /** @param perSecond requests of all callers */
    void setRate(double perSecond);
    void cut(const std::set<int> &vms, CutKind kind);
    void mend();
    /** Targets are down; they refuse connections. */
    void stopTargets();
    /** The targets accept connections and answer nothing for so long. */
    void silenceTargets(Duration duration);
    SimulatedFleet &fleet();
    void kill(int vm);
    void start(int vm);
    void run(Duration duration);

    /** Share of the requests that were served, of those sent in that time at daemons that are or are not in the last cut. */
    double served(bool atCutVms, MonotonicTime from, MonotonicTime to) const;
    /** Longest time until a refusal, of the requests sent since then. */
    Duration slowestRefusal(MonotonicTime since) const;
    /** Requests that were handed over since then. */
    int handovers(MonotonicTime since) const;
    /** Requests that ran more than once though they must not. */
    int runTwice() const;
    /** Requests that ran although their caller was told that they had not. */
    int refusedAndRun() const;
    /** Requests that reached targets with more time than their callers had left, or after it. */
    int withTooMuchTime() const;
    MonotonicTime now() const;

private:
    struct Vm;
    struct Job;
    using JobPointer = std::shared_ptr<Job>;
    struct Call {
        MonotonicTime sentAt;
        MonotonicTime endedAt;
        RouteKind kind = RouteKind::Safe;
        int vm = 0;
        int runs = 0;
        bool isServed = false;
        bool isRefused = false;
    };

    void schedule(Duration delay, std::function<void()> event);
    void deliver(const JobPointer &job, Duration delay, std::function<RelayActions(RelayMachine &)> event);
    void sendRequests();
    JobPointer makeJob(int vm, std::size_t call, RelayRequest request);
    RelayRequest makeRequest(std::size_t call, MonotonicTime deadline) const;
    void perform(const JobPointer &job, const RelayActions &actions);
    void sendToTarget(const JobPointer &job, const SendRequest &action);
    void handOver(const JobPointer &job, const HandOverRequest &action);
    void respond(const JobPointer &job, unsigned status, const std::string &body, bool isStamped);
    void refuse(const JobPointer &job, const RefuseRequest &action);
    void probe(int vm);
    bool isCut(int vm) const;
    std::shared_ptr<Vm> makeVm(int vm);

    MonotonicTime m_now = Samples::START;
    std::multimap<MonotonicTime, std::function<void()>> m_events;
    std::mt19937_64 m_random;
    std::vector<TargetRecord> m_targets;
    bool m_areTargetsUp = true;
    MonotonicTime m_silentUntil;
    std::vector<std::shared_ptr<Vm>> m_vms;
    std::set<int> m_cutVms; ///< of the last cut
    std::optional<CutKind> m_cut;
    SimulatedFleet m_fleet;
    std::map<RouteKind, RouteTablePointer> m_tables;
    double m_rate = 100;
    std::vector<Call> m_calls;
    std::vector<MonotonicTime> m_handovers;
    int m_withTooMuchTime = 0;
};

} // namespace CassiaRelay::Gateway
