#pragma once

#include "samples.h"

#include <map>
#include <memory>

namespace CassiaRelay::Gateway::Samples {

/** How the requests of a run ended. */
struct SimulationResult {
    int requested = 0;
    int onTime = 0;
    int late = 0;
    int refused = 0;
    int wastedPieces = 0;   ///< made for requests that were refused
    int refusedRetries = 0; ///< of callers that had come back as they were told
};

/**
 * One route whose three stages follow each other, in virtual time: request machines, the pools of the stages, and an engine that
 * starts each stream after a fixed time. The second stage binds: two targets, four pieces a request.
 */
class StageChainSimulation
{
public:
    StageChainSimulation();

    /** Requests come evenly at the rate for the length, after those of earlier calls. */
    void load(double requestsPerSecond, Duration length);
    /** Callers that are refused come back once, when they were told to. */
    void enableCallerRetries();
    /** Waits until all requests have ended. */
    SimulationResult finish();
    /** Requests a second that the second stage bears with full calls. */
    static double capacity();

private:
    struct Request {
        std::unique_ptr<RelayMachine> machine;
        std::vector<OrderId> open;
        int pieces = 0;
        bool isRetry = false;
        bool hasEnded = false;
    };
    struct OpenOrder {
        std::size_t request = 0;
        std::size_t stage = 0;
        std::size_t left = 0;
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
    void arrive(bool isRetry);
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
    RelayContext m_shared { m_targets, m_retries, m_crashes, m_stageTimes, 1 };
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
