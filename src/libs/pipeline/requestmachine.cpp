#include "requestmachine.h"

#include "stagecall.h"

#include <algorithm>

namespace CassiaRelay::Pipeline {

namespace {

constexpr int MAX_ATTEMPTS = 3;
constexpr std::chrono::milliseconds VERIFICATION_TIMEOUT { 500 };

void append(Actions &actions, Actions more)
{
    std::move(more.begin(), more.end(), std::back_inserter(actions));
}

} // namespace

RequestMachine::RequestMachine(CallerRequest request, WorkId firstWorkId)
    : m_request(std::move(request))
    , m_nextWorkId(firstWorkId.value())
{
}

Actions RequestMachine::start(MonotonicTime now)
{
    Actions actions = startStage(now);
    actions.push_back(ArmTimer { m_request.deadline });
    return actions;
}

Actions RequestMachine::onAssigned(WorkId work, const TargetId &target, MonotonicTime now)
{
    if (m_queuedWork != work) {
        return { ReleaseWork { work, Routing::AttemptOutcome::Cancelled, Duration {} } };
    }
    m_queuedWork.reset();
    const MonotonicTime sendBefore = stage().repeatable ? m_request.deadline : std::min(m_request.deadline, m_grantStartBefore);
    if (now >= sendBefore) {
        Actions actions { ReleaseWork { work, Routing::AttemptOutcome::Cancelled, Duration {} } };
        const ErrorKind kind = now >= m_request.deadline ? ErrorKind::DeadlineExceeded : ErrorKind::GrantUnavailable;
        append(actions, refuse({ kind, Outcome::NotRun, "no target was free in time", {} }, now));
        return actions;
    }
    ++m_attempts;
    const AttemptId id(m_request.id.value() + "." + std::to_string(work.value()));
    m_currentAttempt = Attempt { id, work, target, now };
    m_mayHaveRun = m_mayHaveRun || !stage().repeatable;
    SendAttempt send { id, target, stage().path, {}, stage().kind, m_request.deadline, stage().repeatable, sendBefore };
    if (stage().timeout) {
        send.deadline = std::min(send.deadline, now + *stage().timeout);
    }
    send.body = stage().kind == Schema::StageKind::Generate ? generateBody(m_request, stage(), m_results, id.value(), m_stageText)
                                                            : callBody(m_request, stage(), m_results);
    return { std::move(send) };
}

Actions RequestMachine::onRejected(WorkId work, const Refusal &refusal, MonotonicTime now)
{
    if (m_queuedWork != work) {
        return {};
    }
    m_queuedWork.reset();
    return refuse(refusal, now);
}

Actions RequestMachine::onText(const AttemptId &attempt, std::uint64_t offset, const std::string &text, MonotonicTime now)
{
    if (!isCurrent(attempt)) {
        return {};
    }
    if (offset > m_stageText.size()) {
        return onFailed(attempt, { Routing::AttemptOutcome::Failed, "the target left out a part of the answer" }, now);
    }
    // A target that resumed at an earlier offset than requested repeats text that the caller already has.
    const std::uint64_t overlap = m_stageText.size() - offset;
    if (overlap >= text.size()) {
        return {};
    }
    const std::string newText = text.substr(overlap);
    m_stageText += newText;
    return isAnswerStage() ? Actions { DeliverText { newText } } : Actions {};
}

Actions RequestMachine::onSucceeded(const AttemptId &attempt, nlohmann::json result, MonotonicTime now)
{
    if (!isCurrent(attempt)) {
        return {};
    }
    Actions actions;
    finishAttempt(Routing::AttemptOutcome::Succeeded, now, actions);
    append(actions, finishStage(std::move(result), now));
    return actions;
}

Actions RequestMachine::onFailed(const AttemptId &attempt, const AttemptFailure &failure, MonotonicTime now)
{
    if (!isCurrent(attempt)) {
        return {};
    }
    Actions actions;
    m_failedTarget = m_currentAttempt->target;
    finishAttempt(failure.outcome, now, actions);
    append(actions, retryOrRefuse(failure, now));
    return actions;
}

Actions RequestMachine::onGrant(const Fleet::GrantDecision &decision, MonotonicTime now)
{
    if (m_grantState != GrantState::Requested) {
        return {};
    }
    m_grantState = GrantState::None;
    return std::visit(Overloaded {
                          [&](const Fleet::GrantHeld &held) { return onGrantHeld(held, now); },
                          [&](const Fleet::GrantReplayed &replayed) { return onGrantReplayed(replayed, now); },
                          [&](const Fleet::GrantRefused &refused) { return onGrantRefused(refused, now); },
                      },
                      decision);
}

Actions RequestMachine::onTimer(MonotonicTime now)
{
    if (m_finished || now < m_request.deadline) {
        return {};
    }
    if (m_pendingRefusal) {
        m_mayHaveRunEarlier = true;
        return finish(*std::exchange(m_pendingRefusal, std::nullopt));
    }
    return refuse({ ErrorKind::DeadlineExceeded, Outcome::NotRun, "stage " + stage().name.value() + " was not finished in time", {} }, now);
}

Actions RequestMachine::onCallerGone(MonotonicTime now)
{
    if (m_finished) {
        return {};
    }
    // Nobody reads the refusal, so there is no need to verify that nothing has run.
    m_mayHaveRunEarlier = true;
    return refuse({ ErrorKind::CallerGone, Outcome::NotRun, "the caller closed the connection", {} }, now);
}

const CallerRequest &RequestMachine::request() const
{
    return m_request;
}

bool RequestMachine::isFinished() const
{
    return m_finished;
}

const Settings::StageSettings &RequestMachine::stage() const
{
    return m_request.pipeline.stages[m_stage];
}

bool RequestMachine::isCurrent(const AttemptId &attempt) const
{
    return m_currentAttempt && m_currentAttempt->id == attempt;
}

// The text of earlier generate stages is input to later ones, not part of the answer.
bool RequestMachine::isAnswerStage() const
{
    const auto &stages = m_request.pipeline.stages;
    const auto isGenerate = [](const Settings::StageSettings &later) { return later.kind == Schema::StageKind::Generate; };
    return isGenerate(stage()) && std::none_of(stages.begin() + static_cast<std::ptrdiff_t>(m_stage) + 1, stages.end(), isGenerate);
}

Actions RequestMachine::startStage(MonotonicTime /*now*/)
{
    return stage().repeatable ? submitStage() : acquireGrant(stage(), m_request.deadline);
}

Actions RequestMachine::submitStage()
{
    Routing::WorkItem item = workItem();
    m_queuedWork = item.id;
    return { SubmitWork { std::move(item), stage().name } };
}

Routing::WorkItem RequestMachine::workItem()
{
    Routing::WorkItem item;
    item.id = WorkId(m_nextWorkId++);
    item.organisation = m_request.organisation;
    item.pool = stage().pool;
    item.priorityClass = stage().priorityClass;
    item.deadline = m_request.deadline;
    item.affinityKey = prefixAffinity(m_request, stage());
    item.fingerprint = m_request.fingerprint;
    item.repeatable = stage().repeatable;
    item.isFirstStage = m_stage == 0;
    item.attempt = m_attempts;
    item.avoidedTarget = m_failedTarget;
    for (std::size_t next = m_stage + 1; next < m_request.pipeline.stages.size(); ++next) {
        const Settings::StageSettings &later = m_request.pipeline.stages[next];
        item.laterStages.push_back({ later.pool, later.priorityClass });
    }
    return item;
}

Actions RequestMachine::acquireGrant(const Settings::StageSettings &nonRepeatableStage, MonotonicTime deadline)
{
    m_grantState = GrantState::Requested;
    const Fleet::GrantKey key { m_request.organisation, m_request.idempotencyKey.value_or(std::string()), nonRepeatableStage.name };
    return { AcquireGrant { key, m_request.fingerprint, deadline } };
}

Actions RequestMachine::onGrantHeld(const Fleet::GrantHeld &held, MonotonicTime now)
{
    m_grantState = GrantState::Held;
    m_grantStartBefore = held.startBefore;
    if (m_finished || m_pendingRefusal) {
        Actions actions;
        finishGrant(Fleet::GrantEnd::NotRun, actions);
        if (!m_finished) {
            append(actions, finish(*std::exchange(m_pendingRefusal, std::nullopt)));
        }
        return actions;
    }
    if (now >= m_request.deadline) {
        return onTimer(now);
    }
    return submitStage();
}

Actions RequestMachine::onGrantReplayed(const Fleet::GrantReplayed &replayed, MonotonicTime now)
{
    if (m_finished) {
        return {};
    }
    if (m_pendingRefusal) {
        m_mayHaveRunEarlier = true;
        return finish(*std::exchange(m_pendingRefusal, std::nullopt));
    }
    nlohmann::json result = nlohmann::json::parse(replayed.result, nullptr, false);
    if (result.is_discarded()) {
        m_mayHaveRunEarlier = true;
        return refuse(
            { ErrorKind::OutcomeUnknown, Outcome::Unknown, "the stored result of stage " + stage().name.value() + " is damaged", {} }, now);
    }
    if (stage().kind != Schema::StageKind::Generate || !result.is_string()) {
        return finishStage(std::move(result), now);
    }
    m_stageText = result.get<std::string>();
    Actions actions;
    if (isAnswerStage()) {
        actions.push_back(DeliverText { m_stageText });
    }
    append(actions, finishStage(std::move(result), now));
    return actions;
}

Actions RequestMachine::onGrantRefused(const Fleet::GrantRefused &refused, MonotonicTime now)
{
    if (m_finished) {
        return {};
    }
    m_mayHaveRunEarlier = refused.refusal.outcome == Outcome::Unknown;
    if (m_pendingRefusal) {
        // Only a held grant proves that no earlier copy has run.
        m_mayHaveRunEarlier = true;
        return finish(*std::exchange(m_pendingRefusal, std::nullopt));
    }
    Actions actions;
    stopWork(Routing::AttemptOutcome::Cancelled, now, actions);
    append(actions, finish(refused.refusal));
    return actions;
}

void RequestMachine::finishGrant(Fleet::GrantEnd end, Actions &actions, std::string result)
{
    if (m_grantState != GrantState::Held) {
        return;
    }
    m_grantState = GrantState::None;
    actions.push_back(FinishGrant { end, std::move(result) });
}

void RequestMachine::finishAttempt(Routing::AttemptOutcome outcome, MonotonicTime now, Actions &actions)
{
    using Routing::AttemptOutcome;
    // A target that refused the work, or was not reached, has not run it.
    if (outcome == AttemptOutcome::Refused || outcome == AttemptOutcome::Unreachable) {
        m_mayHaveRun = false;
    }
    actions.push_back(ReleaseWork { m_currentAttempt->work, outcome, now - m_currentAttempt->startedAt });
    m_currentAttempt.reset();
}

Actions RequestMachine::retryOrRefuse(const AttemptFailure &failure, MonotonicTime now)
{
    const std::string detail = "stage " + stage().name.value() + ": " + failure.detail;
    if (m_mayHaveRun) {
        return refuse({ ErrorKind::OutcomeUnknown, Outcome::Unknown, detail, {} }, now);
    }
    const bool isTooLate = now >= m_request.deadline || (!stage().repeatable && now >= m_grantStartBefore);
    if (m_attempts >= MAX_ATTEMPTS || isTooLate) {
        return refuse({ ErrorKind::StageFailed, Outcome::NotRun, detail, {} }, now);
    }
    return submitStage();
}

Actions RequestMachine::finishStage(nlohmann::json result, MonotonicTime now)
{
    if (stage().kind == Schema::StageKind::Generate) {
        result = m_stageText;
        m_answerText = std::exchange(m_stageText, std::string());
    }
    Actions actions;
    if (!stage().repeatable) {
        finishGrant(Fleet::GrantEnd::Succeeded, actions, result.dump());
        m_succeededNonRepeatable.push_back(stage().name);
        m_mayHaveRun = false;
    }
    m_results[stage().name.value()] = std::move(result);
    m_attempts = 0;
    m_failedTarget.reset();
    if (m_stage + 1 < m_request.pipeline.stages.size()) {
        ++m_stage;
        append(actions, startStage(now));
        return actions;
    }
    m_finished = true;
    actions.push_back(Answer { m_results, m_answerText });
    return actions;
}

Actions RequestMachine::refuse(Refusal refusal, MonotonicTime now)
{
    Actions actions;
    const bool isLate = refusal.kind == ErrorKind::DeadlineExceeded;
    stopWork(isLate ? Routing::AttemptOutcome::TimedOut : Routing::AttemptOutcome::Cancelled, now, actions);
    const bool wasHeld = m_grantState == GrantState::Held;
    finishGrant(m_mayHaveRun ? Fleet::GrantEnd::Unknown : Fleet::GrantEnd::NotRun, actions);
    // The cell may still answer a pending grant request; onGrantHeld then ends that grant unused.
    const bool isOutcomeKnown = wasHeld || m_mayHaveRun || m_mayHaveRunEarlier || !m_succeededNonRepeatable.empty();
    if (isOutcomeKnown || !m_request.pipeline.needsIdempotencyKey()) {
        append(actions, finish(std::move(refusal)));
        return actions;
    }
    append(actions, verifyNotRun(std::move(refusal), now));
    return actions;
}

/**
 * The caller may have sent the same idempotency key before, and that copy may have got further than this one.
 * Acquiring the grant of the first non-repeatable stage proves that no copy has run it.
 */
Actions RequestMachine::verifyNotRun(Refusal refusal, MonotonicTime now)
{
    if (m_grantState == GrantState::Requested || now >= m_request.deadline) {
        m_mayHaveRunEarlier = true;
        return finish(std::move(refusal));
    }
    m_pendingRefusal = std::move(refusal);
    const auto &stages = m_request.pipeline.stages;
    const auto first = std::find_if(stages.begin(), stages.end(), [](const Settings::StageSettings &entry) { return !entry.repeatable; });
    m_request.deadline = std::min(m_request.deadline, now + VERIFICATION_TIMEOUT);
    Actions actions = acquireGrant(*first, m_request.deadline);
    actions.push_back(ArmTimer { m_request.deadline });
    return actions;
}

void RequestMachine::stopWork(Routing::AttemptOutcome outcome, MonotonicTime now, Actions &actions)
{
    if (m_queuedWork) {
        actions.push_back(WithdrawWork { *m_queuedWork });
        m_queuedWork.reset();
    }
    if (m_currentAttempt) {
        actions.push_back(CancelAttempt { m_currentAttempt->id });
        finishAttempt(outcome, now, actions);
    }
}

Actions RequestMachine::finish(Refusal refusal)
{
    m_finished = true;
    return { Refuse { withFinalOutcome(std::move(refusal)) } };
}

Refusal RequestMachine::withFinalOutcome(Refusal refusal) const
{
    const bool mayHaveRun = m_mayHaveRun || m_mayHaveRunEarlier || !m_succeededNonRepeatable.empty();
    refusal.outcome = mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    for (const StageName &done : m_succeededNonRepeatable) {
        refusal.detail += "; stage " + done.value() + " succeeded and will not run again under this idempotency key";
    }
    return refusal;
}

} // namespace CassiaRelay::Pipeline
