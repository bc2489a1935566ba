#pragma once

#include "action.h"
#include "callerrequest.h"

#include <optional>
#include <string>
#include <vector>

namespace CassiaRelay::Pipeline {

/** How a call failed, as seen by the daemon. */
struct AttemptFailure {
    Routing::AttemptOutcome outcome = Routing::AttemptOutcome::Failed;
    std::string detail;
};

/**
 * Runs the stages of one request in order and returns exactly one Answer or Refuse.
 *
 * Not thread-safe: must be called on the strand of the request. Events after the last action are ignored, except that a
 * grant which arrives late is ended unused.
 */
class RequestMachine
{
public:
    /** @param firstWorkId this and all later ids are free for use by this request */
    RequestMachine(CallerRequest request, WorkId firstWorkId);

    Actions start(MonotonicTime now);
    Actions onAssigned(WorkId work, const TargetId &target, MonotonicTime now);
    Actions onRejected(WorkId work, const Refusal &refusal, MonotonicTime now);
    /** @param offset number of bytes of the answer that precede this text */
    Actions onText(const AttemptId &attempt, std::uint64_t offset, const std::string &text, MonotonicTime now);
    Actions onSucceeded(const AttemptId &attempt, nlohmann::json result, MonotonicTime now);
    Actions onFailed(const AttemptId &attempt, const AttemptFailure &failure, MonotonicTime now);
    Actions onGrant(const Fleet::GrantDecision &decision, MonotonicTime now);
    Actions onTimer(MonotonicTime now);
    Actions onCallerGone(MonotonicTime now);

    const CallerRequest &request() const;
    bool isFinished() const;

private:
    struct Attempt {
        AttemptId id;
        WorkId work;
        TargetId target;
        MonotonicTime startedAt;
    };

    /** State of the grant of the current non-repeatable stage. */
    enum class GrantState {
        None,
        Requested,
        Held,
    };

    const Settings::StageSettings &stage() const;
    bool isCurrent(const AttemptId &attempt) const;
    bool isAnswerStage() const;
    Actions startStage(MonotonicTime now);
    Actions submitStage();
    Routing::WorkItem workItem();
    Actions acquireGrant(const Settings::StageSettings &nonRepeatableStage, MonotonicTime deadline);
    Actions onGrantHeld(const Fleet::GrantHeld &held, MonotonicTime now);
    Actions onGrantReplayed(const Fleet::GrantReplayed &replayed, MonotonicTime now);
    Actions onGrantRefused(const Fleet::GrantRefused &refused, MonotonicTime now);
    void finishGrant(Fleet::GrantEnd end, Actions &actions, std::string result = {});
    void finishAttempt(Routing::AttemptOutcome outcome, MonotonicTime now, Actions &actions);
    Actions retryOrRefuse(const AttemptFailure &failure, MonotonicTime now);
    Actions finishStage(nlohmann::json result, MonotonicTime now);
    Actions refuse(Refusal refusal, MonotonicTime now);
    Actions verifyNotRun(Refusal refusal, MonotonicTime now);
    void stopWork(Routing::AttemptOutcome outcome, MonotonicTime now, Actions &actions);
    Actions finish(Refusal refusal);
    Refusal withFinalOutcome(Refusal refusal) const;

    CallerRequest m_request;
    std::uint64_t m_nextWorkId;
    std::size_t m_stage = 0;
    int m_attempts = 0; ///< attempts of the current stage
    std::optional<WorkId> m_queuedWork;
    std::optional<Attempt> m_currentAttempt;
    std::optional<TargetId> m_failedTarget;
    nlohmann::json m_results = nlohmann::json::object();
    std::string m_stageText;  ///< of the current generate stage
    std::string m_answerText; ///< of the last generate stage of the pipeline
    GrantState m_grantState = GrantState::None;
    MonotonicTime m_grantStartBefore; ///< the held grant allows the stage to start before this time
    /** Refusal that is held back until the cell has reported whether an earlier copy of the request has run. */
    std::optional<Refusal> m_pendingRefusal;
    /** The current non-repeatable stage was assigned to a target that neither refused it nor was unreachable. */
    bool m_mayHaveRun = false;
    bool m_mayHaveRunEarlier = false;                ///< an earlier copy with the same idempotency key may have run or be running
    std::vector<StageName> m_succeededNonRepeatable; ///< stages that succeeded for this request or an earlier copy of it
    bool m_finished = false;
};

} // namespace CassiaRelay::Pipeline
