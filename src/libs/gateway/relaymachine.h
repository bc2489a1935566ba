#pragma once

#include "crashregister.h"
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
struct RelayShared {
    TargetRegistry &targets;
    RetryBudget &retries;
    CrashRegister &crashes;
    StageLatencyEstimator &stageTimes;
    int vms = 1; ///< daemons that may share the retry budget
};

/** Why an attempt ended without a whole answer. */
enum class SendFailure {
    NotSent, ///< no byte of the request has left
    Lost,    ///< the connection was lost after something was sent
    Silent,  ///< no answer in time
    NotAnAnswer,
};

/**
 * Runs one request: its stages, then the request itself on one target after the other as far as its kind allows.
 *
 * Does no I/O: each call returns what to do. Nothing follows the last action of a request.
 */
class RelayMachine
{
public:
    RelayMachine(RelayRequest request, RelayShared &shared);

    RelayActions start(MonotonicTime now);
    RelayActions onPieces(std::size_t stage, const std::vector<PieceCompletion> &ends, MonotonicTime now);
    RelayActions onHead(AttemptNumber attempt, AnswerHead head, MonotonicTime now);
    RelayActions onBody(AttemptNumber attempt, std::string_view bytes, MonotonicTime now);
    RelayActions onFinished(AttemptNumber attempt, MonotonicTime now);
    RelayActions onFailed(AttemptNumber attempt, SendFailure failure, const std::string &detail, MonotonicTime now);
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
        std::optional<AnswerHead> head;
        std::string body;              ///< of an answer that is passed on as a whole
        std::int64_t unreadTokens = 0; ///< counted at the target as not read yet
    };
    /** An answer of a target that another attempt may better. */
    struct Fallback {
        AnswerHead head;
        std::string body;
    };

    bool isCurrent(AttemptNumber attempt) const;
    bool passesEvents() const;
    void orderReadyStages(RelayActions &actions, MonotonicTime now);
    void restartStages(RelayActions &actions, MonotonicTime now);
    Duration workAfter(std::size_t stage) const;
    Duration expectedWorkAfter(std::size_t stage, MonotonicTime now) const;
    Duration leastTime(std::size_t stage) const;
    Duration expectedTime(std::size_t stage, MonotonicTime now) const;
    Duration expectedTimeOfStages(MonotonicTime now) const;
    void send(RelayActions &actions, MonotonicTime now);
    void sendTo(const TargetRecord &target, RelayActions &actions, MonotonicTime now);
    TargetRequirements need() const;
    std::optional<FailureDomain> domainFor(std::size_t stage, MonotonicTime now);
    std::optional<FailureDomain> inputDomain() const;
    std::optional<FailureDomain> domainOf(const std::vector<StageResult> &results) const;
    bool mayTryAnother(MonotonicTime now);
    void endAttempt(AttemptResult result, MonotonicTime now);
    void firstEvents(RelayActions &actions, MonotonicTime now);
    void onWholeAnswer(RelayActions &actions, MonotonicTime now);
    void onNotRun(RelayActions &actions, MonotonicTime now);
    void onLost(GiveUpCause cause, const std::string &detail, RelayActions &actions, MonotonicTime now);
    void giveUp(GiveUpCause cause, const std::string &detail, Duration retryAfter, RelayActions &actions);
    void fallBackOrGiveUp(GiveUpCause cause, const std::string &detail, Duration retryAfter, RelayActions &actions);
    void finish(RelayAction last, RelayActions &actions);
    void note(RelayActions &actions, std::string decision, std::string inputs) const;
    Duration jittered(Duration time) const;

    RelayRequest m_request;
    RelayShared &m_shared;
    StagePlan m_plan;
    std::size_t m_ordersOpen = 0;
    std::vector<MonotonicTime> m_orderedAt; ///< by stage
    int m_restarts = 0;
    std::optional<Attempt> m_attempt;
    AttemptNumber m_attempts = 0;
    int m_unreached = 0;
    std::set<TargetId> m_tried; ///< a byte of the request may have reached them
    std::set<TargetId> m_avoid; ///< tried, or not reached
    RunState m_runState = RunState::NotRun;
    std::optional<Fallback> m_fallback;
    EventFramer m_framer;
    bool m_inputsFreed = false; ///< the results of the stages have served and are gone
    bool m_streamStarted = false;
    bool m_finished = false;
};

} // namespace CassiaRelay::Gateway
