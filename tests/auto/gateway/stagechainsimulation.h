#pragma once

#include "samples.h"

#include <map>
#include <memory>

namespace CassiaRelay::Gateway::Samples {

/** Outcome of the requests of a simulation. */
struct SimulationResult {
    int requested = 0;
    int onTime = 0;
    int late = 0;
    int refused = 0;
    int wastedPieces = 0;   ///< pieces completed for requests that were refused later
    int refusedRetries = 0; ///< retries that were refused although the caller had waited for the requested delay
};

/**
 * Simulates a route with three consecutive stages in virtual time: the state machines of the requests, the schedulers of the stages, and
 * an engine that starts each stream after a fixed time. The second stage is the bottleneck: two targets, four pieces per request.
 */
class StageChainSimulation
{
public:
    StageChainSimulation();

    /** Submits requests at a constant rate for @p length of virtual time, starting where the previous call ended. */
    void load(double requestsPerSecond, Duration length);
    /** Makes each refused caller retry once, after the delay that the refusal requests. */
    void enableCallerRetries();
    /** Runs the simulation until all requests have ended. */
    SimulationResult finish();
    /** Returns the requests per second that the second stage can serve with full calls. */
    static double capacity();

private:
    struct Request {
        std::unique_ptr<RelayMachine> machine;
        std::vector<OrderId> orders;
        int completedPieces = 0;
        bool isRetry = false;
        bool hasEnded = false;
    };
    struct OpenOrder {
        std::size_t request = 0;
        std::size_t stage = 0;
        std::size_t openPieces = 0;
        std::vector<PieceCompletion> completions;
    };
    struct RunningCall {
        std::size_t stage = 0;
        StageCall call;
        MonotonicTime endsAt;
    };
    struct StartedStream {
        std::size_t request = 0;
        AttemptNumber attempt = 0;
        MonotonicTime firstEventAt;
    };

    void step();
    void submitRequest(bool isRetry);
    void onRefused(std::size_t request, const RefuseRequest &refusal);
    void retryRefusedCallers();
    void perform(std::size_t request, const RelayActions &actions);
    void submitOrder(std::size_t request, const PieceOrder &order);
    void release(const StageResult &result);
    void endRequest(std::size_t request);
    void applyProgress(const std::vector<OrderProgress> &completions);
    void endCalls();
    void startStreams();
    void stepSchedulers();

    TargetRegistry m_targets { {}, {}, 1 };
    RetryBudget m_retries { { 0.2, 1000, seconds(10) } };
    CrashTracker m_crashes;
    StageLatencyEstimator m_stageTimes;
    ReachabilityTracker m_reachability;
    Members m_members { VmId("vm"), {} };
    RelayContext m_context { m_targets, m_retries, m_crashes, m_stageTimes, m_reachability, m_members, 1 };
    std::shared_ptr<const RouteTable> m_table;
    std::vector<StageScheduler> m_schedulers;
    std::vector<Request> m_requests;
    std::map<OrderId, OpenOrder> m_orders;
    std::vector<RunningCall> m_calls;
    std::vector<StartedStream> m_streams;
    std::vector<MonotonicTime> m_retryTimes;
    bool m_callersRetry = false;
    MonotonicTime m_now = START;
    SimulationResult m_result;
};

} // namespace CassiaRelay::Gateway::Samples
