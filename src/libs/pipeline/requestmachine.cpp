#include "requestmachine.h"

#include "stagecall.h"

#include <algorithm>

namespace CassiaRelay::Pipeline {

namespace {

constexpr int MAX_ATTEMPTS = 3;

} // namespace

RequestMachine::RequestMachine(CallerRequest request, WorkId firstWork)
    : m_request(std::move(request))
    , m_nextWork(firstWork.value())
{
}

Actions RequestMachine::start(MonotonicTime now)
{
    Actions actions = submitStage(now);
    actions.push_back(ArmTimer { m_request.deadline });
    return actions;
}

Actions RequestMachine::onAssigned(WorkId work, const TargetId &target, MonotonicTime now)
{
    if (m_waiting != work) {
        return { ReleaseWork { work, Routing::AttemptOutcome::Cancelled, Duration {} } };
    }
    m_waiting.reset();
    if (now >= m_request.deadline) {
        Actions actions { ReleaseWork { work, Routing::AttemptOutcome::Cancelled, Duration {} } };
        const Actions more = refuse({ ErrorKind::DeadlineExceeded, currentOutcome(), "no target was free in time", {} }, now);
        actions.insert(actions.end(), more.begin(), more.end());
        return actions;
    }
    ++m_attempts;
    const AttemptId id(m_request.id.value() + "." + std::to_string(work.value()));
    m_running = Attempt { id, work, target, now };
    m_nonRepeatableSent = m_nonRepeatableSent || !stage().repeatable;
    SendAttempt send { id, target, stage().path, {}, stage().kind, m_request.deadline, stage().repeatable };
    if (stage().timeout) {
        send.deadline = std::min(send.deadline, now + *stage().timeout);
    }
    send.body = stage().kind == Schema::StageKind::Generate ? generateBody(m_request, stage(), m_results, id.value(), m_text)
                                                            : callBody(m_request, stage(), m_results);
    return { std::move(send) };
}

Actions RequestMachine::onRejected(WorkId work, const Refusal &refusal, MonotonicTime now)
{
    if (m_waiting != work) {
        return {};
    }
    m_waiting.reset();
    Refusal answer = refusal;
    answer.outcome = currentOutcome();
    return refuse(std::move(answer), now);
}

Actions RequestMachine::onText(const AttemptId &attempt, std::uint64_t offset, const std::string &text, MonotonicTime now)
{
    if (!isCurrent(attempt)) {
        return {};
    }
    if (offset > m_text.size()) {
        return onFailed(attempt, { Routing::AttemptOutcome::Failed, "the target left out a part of the answer" }, now);
    }
    // A target that resumed earlier than asked repeats what the caller already has.
    const std::uint64_t known = m_text.size() - offset;
    if (known >= text.size()) {
        return {};
    }
    const std::string fresh = text.substr(known);
    m_text += fresh;
    return { DeliverText { fresh } };
}

Actions RequestMachine::onSucceeded(const AttemptId &attempt, nlohmann::json result, MonotonicTime now)
{
    if (!isCurrent(attempt)) {
        return {};
    }
    Actions actions;
    finishAttempt(Routing::AttemptOutcome::Succeeded, now, actions);
    Actions more = finishStage(std::move(result), now);
    std::move(more.begin(), more.end(), std::back_inserter(actions));
    return actions;
}

Actions RequestMachine::onFailed(const AttemptId &attempt, const AttemptFailure &failure, MonotonicTime now)
{
    if (!isCurrent(attempt)) {
        return {};
    }
    Actions actions;
    m_failedTarget = m_running->target;
    finishAttempt(failure.outcome, now, actions);
    Actions more = retryOrRefuse(failure, now);
    std::move(more.begin(), more.end(), std::back_inserter(actions));
    return actions;
}

Actions RequestMachine::onTimer(MonotonicTime now)
{
    if (m_finished || now < m_request.deadline) {
        return {};
    }
    return refuse({ ErrorKind::DeadlineExceeded, currentOutcome(), "stage " + stage().name.value() + " was not finished in time", {} },
                  now);
}

Actions RequestMachine::onCallerGone(MonotonicTime now)
{
    if (m_finished) {
        return {};
    }
    return refuse({ ErrorKind::CallerGone, currentOutcome(), "the caller closed the connection", {} }, now);
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
    return m_running && m_running->id == attempt;
}

Actions RequestMachine::submitStage(MonotonicTime /*now*/)
{
    Routing::WorkItem item;
    item.id = WorkId(m_nextWork++);
    item.organisation = m_request.organisation;
    item.pool = stage().pool;
    item.priorityClass = stage().priorityClass;
    item.deadline = m_request.deadline;
    item.affinity = prefixAffinity(m_request, stage());
    item.fingerprint = m_request.fingerprint;
    item.repeatable = stage().repeatable;
    item.attempt = m_attempts;
    item.avoid = m_failedTarget;
    m_waiting = item.id;
    return { SubmitWork { std::move(item) } };
}

void RequestMachine::finishAttempt(Routing::AttemptOutcome outcome, MonotonicTime now, Actions &actions)
{
    actions.push_back(ReleaseWork { m_running->work, outcome, now - m_running->startedAt });
    m_running.reset();
}

Actions RequestMachine::retryOrRefuse(const AttemptFailure &failure, MonotonicTime now)
{
    // A target that refused the work has not run it, so even a non-repeatable stage may go elsewhere.
    const bool mayRepeat = stage().repeatable || failure.outcome == Routing::AttemptOutcome::Refused;
    if (!mayRepeat) {
        return refuse({ ErrorKind::OutcomeUnknown, Outcome::Unknown, "stage " + stage().name.value() + ": " + failure.detail, {} }, now);
    }
    if (m_attempts >= MAX_ATTEMPTS || now >= m_request.deadline) {
        return refuse({ ErrorKind::StageFailed, currentOutcome(), "stage " + stage().name.value() + ": " + failure.detail, {} }, now);
    }
    return submitStage(now);
}

Actions RequestMachine::finishStage(nlohmann::json result, MonotonicTime now)
{
    if (stage().kind == Schema::StageKind::Generate) {
        m_results[stage().name.value()] = m_text;
    } else {
        m_results[stage().name.value()] = std::move(result);
    }
    m_attempts = 0;
    m_failedTarget.reset();
    if (m_stage + 1 < m_request.pipeline.stages.size()) {
        ++m_stage;
        return submitStage(now);
    }
    m_finished = true;
    return { Answer { m_results, m_text } };
}

Actions RequestMachine::refuse(Refusal refusal, MonotonicTime now)
{
    Actions actions;
    if (m_waiting) {
        actions.push_back(WithdrawWork { *m_waiting });
        m_waiting.reset();
    }
    if (m_running) {
        actions.push_back(CancelAttempt { m_running->id });
        finishAttempt(refusal.kind == ErrorKind::DeadlineExceeded ? Routing::AttemptOutcome::TimedOut : Routing::AttemptOutcome::Cancelled,
                      now,
                      actions);
    }
    m_finished = true;
    actions.push_back(Refuse { std::move(refusal) });
    return actions;
}

Outcome RequestMachine::currentOutcome() const
{
    return m_nonRepeatableSent ? Outcome::Unknown : Outcome::NotRun;
}

} // namespace CassiaRelay::Pipeline
