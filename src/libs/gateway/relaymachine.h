#pragma once

#include "crashtracker.h"
#include "eventframer.h"
#include "refusal.h"
#include "relayaction.h"
#include "retrybudget.h"
#include "stagelatencyestimator.h"
#include "stageplan.h"
#include "targetregistry.h"

#include <optional>
#include <set>

namespace CassiaRelay::Gateway {

/** What the requests of one daemon share. All of it lives on the thread of the requests. */
struct RelayContext {
    TargetRegistry &targets;
    RetryBudget &retries;
    CrashTracker &crashes;
    StageLatencyEstimator &stageLatency;
    int vmCount = 1; ///< daemons that may share the retry budget
};

/** Why an attempt ended without a whole answer. */
enum class AttemptFailure {
    NotSent,        ///< no byte of the request has left
    ConnectionLost, ///< the connection was lost after something was sent
    TimedOut,       ///< no answer in time
    InvalidResponse,
};

/**
 * Runs one request: its stages, then the request itself on one target after the other as far as its kind allows.
 *
 * Does no I/O: each call returns what to do. Nothing follows the last action of a request.
 */
class RelayMachine
{
public:
    RelayMachine(RelayRequest request, RelayContext &context);

    RelayActions start(MonotonicTime now);
    RelayActions onStageFinished(std::size_t stage, const std::vector<PieceCompletion> &ends, MonotonicTime now);
    RelayActions onHead(AttemptNumber attempt, ResponseHead head, MonotonicTime now);
    RelayActions onBody(AttemptNumber attempt, std::string_view bytes, MonotonicTime now);
    RelayActions onFinished(AttemptNumber attempt, MonotonicTime now);
    RelayActions onFailed(AttemptNumber attempt, AttemptFailure failure, const std::string &detail, MonotonicTime now);
    RelayActions onTimer(MonotonicTime now);
    RelayActions onCallerGone(MonotonicTime now);
    /** The process ends: whatever has no answer yet gets its last one. */
    RelayActions onShutdown(MonotonicTime now);

    const RelayRequest &request() const;
    bool isFinished() const;

private:
    /** The attempt that is under way. */
    struct Attempt {
        AttemptNumber number = 0;
        TargetRecord target;
        MonotonicTime sentAt;
        std::optional<ResponseHead> head;
        std::string body;                     ///< of an answer that is passed on as a whole
        std::int64_t pendingPromptTokens = 0; ///< counted at the target as not read yet
    };
    /** An answer of a target that another attempt may better. */
    struct Fallback {
        ResponseHead head;
        std::string body;
    };

    bool isCurrent(AttemptNumber attempt) const;
    bool forwardsEvents() const;
    void orderReadyStages(RelayActions &actions, MonotonicTime now);
    void restartStages(RelayActions &actions, MonotonicTime now);
    Duration minTimeAfter(std::size_t stage) const;
    Duration expectedTimeAfter(std::size_t stage, MonotonicTime now) const;
    Duration minStageTime(std::size_t stage) const;
    Duration expectedTimeThrough(std::size_t stage, MonotonicTime now) const;
    Duration expectedTotalStageTime(MonotonicTime now) const;
    void send(RelayActions &actions, MonotonicTime now);
    void sendTo(const TargetRecord &target, RelayActions &actions, MonotonicTime now);
    TargetRequirements targetRequirements() const;
    std::optional<FailureDomain> preferredDomainFor(std::size_t stage, MonotonicTime now);
    std::optional<FailureDomain> inputDomain() const;
    std::optional<FailureDomain> mostCommonDomain(const std::vector<StageResult> &results) const;
    bool tryAcquireRetry(MonotonicTime now);
    void endAttempt(AttemptResult result, MonotonicTime now);
    void onEvents(RelayActions &actions, MonotonicTime now);
    void onCompleteResponse(RelayActions &actions, MonotonicTime now);
    void onNotRun(RelayActions &actions, MonotonicTime now);
    void onResponseLost(GiveUpCause cause, const std::string &detail, RelayActions &actions, MonotonicTime now);
    void giveUp(GiveUpCause cause, const std::string &detail, Duration retryAfter, RelayActions &actions);
    void fallBackOrGiveUp(GiveUpCause cause, const std::string &detail, Duration retryAfter, RelayActions &actions);
    void finish(RelayAction last, RelayActions &actions);
    void logDecision(RelayActions &actions, std::string decision, std::string inputs) const;
    Duration jittered(Duration time) const;

    RelayRequest m_request;
    RelayContext &m_context;
    StagePlan m_plan;
    std::size_t m_openOrders = 0;
    std::vector<MonotonicTime> m_orderedAt; ///< by stage
    int m_stageRestarts = 0;
    std::optional<Attempt> m_attempt;
    AttemptNumber m_attemptCount = 0;
    int m_connectFailures = 0;
    std::set<TargetId> m_triedTargets;   ///< a byte of the request may have reached them
    std::set<TargetId> m_avoidedTargets; ///< tried, or not reached
    RunState m_runState = RunState::NotRun;
    std::optional<Fallback> m_fallback;
    EventFramer m_framer;
    bool m_inputsFreed = false; ///< the results of the stages have served and are gone
    bool m_streamStarted = false;
    bool m_finished = false;
};

} // namespace CassiaRelay::Gateway
