#include "relaymachine.h"

#include <algorithm>

namespace CassiaRelay::Gateway {

namespace {

constexpr unsigned STATUS_OK = 200;
constexpr unsigned STATUS_FAILURE = 500; // the first status that says that the server failed
constexpr unsigned STATUS_CONFLICT = 409;
constexpr unsigned STATUS_MISDIRECTED = 421;
constexpr std::size_t MAX_WHOLE_ANSWER = 8U * 1024 * 1024; // answers that are not streams are kept until they are whole
constexpr std::size_t MAX_EVENT_BYTES = 1024 * 1024;
constexpr int MAX_UNREACHED = 4; // each costs up to a connect time-out
constexpr int MAX_STAGE_RESTARTS = 1;
constexpr std::size_t LARGE_INPUT_BYTES = 100'000;            // smaller results cost less across domains than a worse target
constexpr std::chrono::milliseconds LEAST_USEFUL_TIME { 20 }; // no target answers within less
constexpr std::chrono::milliseconds ENGINE_START { 150 };     // usual time from sending to the first event
constexpr std::chrono::milliseconds RETRY_SOON { 250 };       // a target that was full has moved on by then
constexpr std::chrono::milliseconds RETRY_LATER { 1000 };     // time in which a crashed target is replaced in the list
constexpr std::chrono::milliseconds RETRY_CROWDED { 4000 };   // after 1000 callers met the same burst again
constexpr int HOPELESS_PERCENT = 150;               // of the objective: estimates are a mean, and slightly late answers still help
constexpr std::chrono::seconds RETRY_BANNED { 30 }; // longer than callers keep trying
constexpr int MAX_URGENCY = 9;
constexpr int URGENCY_PER_RANK = 2;
constexpr int URGENCY_OF_LATE = 4;

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

// Time of the stages that follow one after the other.
template<typename TimeOf>
Duration longestBranchAfter(const StagePlan &plan, std::size_t stage, const TimeOf &timeOf)
{
    Duration longest {};
    for (std::size_t next = stage + 1; next < plan.size(); ++next) {
        const std::vector<std::size_t> &after = plan.stage(next).after;
        if (std::find(after.begin(), after.end(), stage) == after.end() || plan.pieces(next).empty()) {
            continue;
        }
        longest = std::max(longest, timeOf(next) + longestBranchAfter(plan, next, timeOf));
    }
    return longest;
}

} // namespace

RelayMachine::RelayMachine(RelayRequest request, RelayShared &shared)
    : m_request(std::move(request))
    , m_shared(shared)
    , m_plan(m_request.route->stages, m_request.pieceCounts)
    , m_orderedAt(m_plan.size())
{
}

RelayActions RelayMachine::start(MonotonicTime now)
{
    RelayActions actions;
    m_shared.retries.noteRequest(m_request.service, now);
    if (m_shared.crashes.isBanned(m_request.fingerprint, now)) {
        giveUp(GiveUpCause::Banned, {}, RETRY_BANNED, actions);
        return actions;
    }
    if (now + LEAST_USEFUL_TIME > m_request.endsAt()) {
        giveUp(GiveUpCause::Hopeless, {}, RETRY_SOON, actions);
        return actions;
    }
    const Duration stages = expectedTimeOfStages(now);
    const Duration objective = m_request.route->objective;
    if (stages + ENGINE_START > objective * HOPELESS_PERCENT / 100 && objective > Duration::zero()) {
        giveUp(GiveUpCause::Crowded,
               "stages_ms=" + millisecondsText(stages),
               std::clamp<Duration>(stages - objective, RETRY_SOON, RETRY_CROWDED),
               actions);
        return actions;
    }
    actions.emplace_back(WakeAt { m_request.endsAt() });
    orderReadyStages(actions, now);
    return actions;
}

RelayActions RelayMachine::onPieces(std::size_t stage, const std::vector<PieceCompletion> &ends, MonotonicTime now)
{
    RelayActions actions;
    if (m_finished) {
        return actions;
    }
    m_ordersOpen -= std::min<std::size_t>(m_ordersOpen, 1);
    std::optional<PieceFailure> failure;
    for (const PieceCompletion &end : ends) {
        std::visit(Overloaded {
                       [&](const StageResult &result) { m_plan.setResult(stage, end.piece, result); },
                       [&](PieceFailure why) { failure = why; },
                   },
                   end.outcome);
    }
    if (!failure || failure == PieceFailure::Late) {
        m_shared.stageTimes.addSample(m_plan.stage(stage).service, m_request.rank(), now - m_orderedAt.at(stage), now);
    }
    if (failure == PieceFailure::InputGone && m_restarts < MAX_STAGE_RESTARTS) {
        restartStages(actions, now);
        return actions;
    }
    if (failure) {
        const bool late = failure == PieceFailure::Late;
        giveUp(late ? GiveUpCause::Hopeless : GiveUpCause::StagesFailed,
               "stage " + std::to_string(stage),
               late ? RETRY_CROWDED : RETRY_LATER,
               actions);
        return actions;
    }
    std::vector<StageResult> spent = m_plan.takeUnneededResults();
    if (!spent.empty()) {
        actions.emplace_back(FreeResults { std::move(spent) });
    }
    orderReadyStages(actions, now);
    return actions;
}

RelayActions RelayMachine::onHead(AttemptNumber attempt, AnswerHead head, MonotonicTime now)
{
    RelayActions actions;
    if (!isCurrent(attempt)) {
        return actions;
    }
    const bool isSuccess = head.status >= STATUS_OK && head.status < 300;
    if (isSuccess && !head.isStamped) {
        actions.emplace_back(CancelSend { attempt });
        onLost(GiveUpCause::NotAnAnswer, "the answer bears no stamp", actions, now);
        return actions;
    }
    if (m_streamStarted && head.status != STATUS_OK && !head.isNotRun) {
        actions.emplace_back(CancelSend { attempt });
        onLost(GiveUpCause::NotAnAnswer, "status " + std::to_string(head.status) + " instead of the rest of the stream", actions, now);
        return actions;
    }
    m_attempt->head = std::move(head);
    return actions;
}

RelayActions RelayMachine::onBody(AttemptNumber attempt, std::string_view bytes, MonotonicTime now)
{
    RelayActions actions;
    if (!isCurrent(attempt) || !m_attempt->head) {
        return actions;
    }
    if (!passesEvents()) {
        m_attempt->body.append(bytes);
        if (m_attempt->body.size() > MAX_WHOLE_ANSWER) {
            actions.emplace_back(CancelSend { attempt });
            onLost(GiveUpCause::NotAnAnswer, "the answer is too long", actions, now);
        }
        return actions;
    }
    std::string events = m_framer.add(bytes);
    if (m_framer.restBytes() > MAX_EVENT_BYTES) {
        actions.emplace_back(CancelSend { attempt });
        onLost(GiveUpCause::NotAnAnswer, "an event is too long", actions, now);
        return actions;
    }
    if (events.empty()) {
        return actions;
    }
    firstEvents(actions, now);
    actions.emplace_back(PassEvents { std::move(events) });
    return actions;
}

RelayActions RelayMachine::onFinished(AttemptNumber attempt, MonotonicTime now)
{
    RelayActions actions;
    if (!isCurrent(attempt) || !m_attempt->head) {
        return actions;
    }
    if (m_attempt->head->isNotRun || m_attempt->head->status == STATUS_MISDIRECTED) {
        onNotRun(actions, now);
        return actions;
    }
    if (!passesEvents()) {
        onWholeAnswer(actions, now);
        return actions;
    }
    if (m_framer.hasRest()) {
        onLost(GiveUpCause::Broken, "the stream ended within an event", actions, now);
        return actions;
    }
    const AnswerHead head = *m_attempt->head;
    endAttempt(AttemptResult::Succeeded, now);
    m_shared.crashes.noteSurvived(m_request.fingerprint);
    if (m_streamStarted) {
        finish(EndStream {}, actions);
    } else {
        finish(PassAnswer { head, {} }, actions);
    }
    return actions;
}

RelayActions RelayMachine::onFailed(AttemptNumber attempt, SendFailure failure, const std::string &detail, MonotonicTime now)
{
    RelayActions actions;
    if (!isCurrent(attempt)) {
        return actions;
    }
    switch (failure) {
    case SendFailure::NotSent: {
        const TargetId target = m_attempt->target.id;
        m_tried.erase(target);
        m_shared.crashes.noteDown(target, now);
        endAttempt(AttemptResult::Unreachable, now);
        note(actions, "not sent", "target=" + target.value() + " why=" + detail);
        if (++m_unreached < MAX_UNREACHED && now + LEAST_USEFUL_TIME < m_request.endsAt()) {
            send(actions, now);
        } else {
            giveUp(GiveUpCause::TargetUnreachable, detail, RETRY_LATER, actions);
        }
        break;
    }
    case SendFailure::Lost:
        m_shared.crashes.noteLost(m_request.fingerprint, m_attempt->target.id, now);
        onLost(GiveUpCause::Broken, detail, actions, now);
        break;
    case SendFailure::NotAnAnswer:
        onLost(GiveUpCause::NotAnAnswer, detail, actions, now);
        break;
    case SendFailure::Silent:
        m_runState = RunState::MayHaveRun;
        endAttempt(AttemptResult::Silent, now);
        giveUp(GiveUpCause::TimedOut, detail, RETRY_SOON, actions);
        break;
    }
    return actions;
}

RelayActions RelayMachine::onTimer(MonotonicTime now)
{
    RelayActions actions;
    if (m_finished) {
        return actions;
    }
    if (now < m_request.endsAt()) {
        actions.emplace_back(WakeAt { m_request.endsAt() });
        return actions;
    }
    if (m_attempt) {
        m_runState = RunState::MayHaveRun;
        actions.emplace_back(CancelSend { m_attempt->number });
        endAttempt(AttemptResult::Silent, now);
    }
    giveUp(GiveUpCause::TimedOut, {}, RETRY_SOON, actions);
    return actions;
}

RelayActions RelayMachine::onCallerGone(MonotonicTime now)
{
    RelayActions actions;
    if (m_finished) {
        return actions;
    }
    if (m_attempt) {
        actions.emplace_back(CancelSend { m_attempt->number });
        endAttempt(AttemptResult::Cancelled, now);
    }
    note(actions, "caller gone", "stages_left=" + std::to_string(m_plan.remainingDepth()));
    finish(DropRequest {}, actions);
    return actions;
}

RelayActions RelayMachine::onShutdown(MonotonicTime now)
{
    RelayActions actions;
    if (m_finished) {
        return actions;
    }
    if (m_attempt) {
        m_runState = RunState::MayHaveRun;
        actions.emplace_back(CancelSend { m_attempt->number });
        endAttempt(AttemptResult::Cancelled, now);
    }
    giveUp(GiveUpCause::ShuttingDown, {}, RETRY_ELSEWHERE, actions);
    return actions;
}

const RelayRequest &RelayMachine::request() const
{
    return m_request;
}

bool RelayMachine::isFinished() const
{
    return m_finished;
}

bool RelayMachine::isCurrent(AttemptNumber attempt) const
{
    return !m_finished && m_attempt && m_attempt->number == attempt;
}

bool RelayMachine::passesEvents() const
{
    return m_request.route->kind == RouteKind::Stream && m_attempt->head->status == STATUS_OK;
}

void RelayMachine::orderReadyStages(RelayActions &actions, MonotonicTime now)
{
    for (const std::size_t stage : m_plan.takeReady()) {
        PieceOrder order;
        order.request = m_request.id;
        order.service = m_plan.stage(stage).service;
        order.stage = stage;
        order.rank = m_request.rank();
        order.softDeadline = m_request.usefulUntil() - expectedWorkAfter(stage, now) - ENGINE_START;
        order.hardDeadline = m_request.endsAt() - workAfter(stage) - ENGINE_START;
        order.resultBytes = m_plan.stage(stage).resultBytes;
        order.preferredDomain = domainFor(stage, now);
        order.pieces = m_plan.pieces(stage);
        if (m_plan.stage(stage).after.empty()) {
            order.inputKey = m_request.inputKey;
        } else {
            order.inputs = m_plan.inputHandles(stage);
        }
        ++m_ordersOpen;
        m_orderedAt.at(stage) = now;
        actions.emplace_back(OrderPieces { std::move(order) });
    }
    if (m_ordersOpen == 0 && m_plan.isComplete()) {
        send(actions, now);
    }
}

// Results may be lost with their target; they can be made once more.
void RelayMachine::restartStages(RelayActions &actions, MonotonicTime now)
{
    ++m_restarts;
    note(actions, "stages restarted", "left_ms=" + millisecondsText(m_request.endsAt() - now));
    if (m_ordersOpen > 0) {
        actions.emplace_back(WithdrawPieces {});
        m_ordersOpen = 0;
    }
    actions.emplace_back(FreeResults { m_plan.takeAllResults() });
    m_plan.reset();
    orderReadyStages(actions, now);
}

Duration RelayMachine::workAfter(std::size_t stage) const
{
    return longestBranchAfter(m_plan, stage, [this](std::size_t next) { return leastTime(next); });
}

Duration RelayMachine::expectedWorkAfter(std::size_t stage, MonotonicTime now) const
{
    return longestBranchAfter(m_plan, stage, [this, now](std::size_t next) {
        return m_shared.stageTimes.estimate(m_plan.stage(next).service, m_request.rank(), leastTime(next), now);
    });
}

Duration RelayMachine::leastTime(std::size_t stage) const
{
    const Service *service = m_request.table->service(m_plan.stage(stage).service);
    return service && service->pieces ? service->pieces->perCall + service->pieces->perPiece : Duration::zero();
}

// Of this stage and the longest branch that leads to it.
Duration RelayMachine::expectedTime(std::size_t stage, MonotonicTime now) const
{
    Duration before {};
    for (const std::size_t earlier : m_plan.stage(stage).after) {
        before = std::max(before, expectedTime(earlier, now));
    }
    if (m_plan.pieces(stage).empty()) {
        return before;
    }
    return before + m_shared.stageTimes.estimate(m_plan.stage(stage).service, m_request.rank(), leastTime(stage), now);
}

Duration RelayMachine::expectedTimeOfStages(MonotonicTime now) const
{
    Duration longest {};
    for (std::size_t stage = 0; stage < m_plan.size(); ++stage) {
        longest = std::max(longest, expectedTime(stage, now));
    }
    return longest;
}

void RelayMachine::send(RelayActions &actions, MonotonicTime now)
{
    // Another target needs the results that the one before has fetched.
    if (std::exchange(m_inputsFreed, false)) {
        restartStages(actions, now);
        return;
    }
    if (m_tried.size() >= static_cast<std::size_t>(m_request.route->maxAttempts) && !m_tried.empty()) {
        const std::optional<TargetRecord> same = m_shared.targets.find(*m_tried.begin());
        if (!same || !m_shared.targets.startAttempt(same->id, m_request.prompt.promptTokens, now)) {
            giveUp(GiveUpCause::NoTarget, "the target that may get the request is gone", RETRY_SOON, actions);
            return;
        }
        sendTo(*same, actions, now);
        return;
    }
    std::visit(Overloaded {
                   [&](const ChosenTarget &chosen) {
                       note(actions,
                            "placed",
                            "target=" + chosen.record.id.value() + " domain=" + chosen.record.failureDomain.value()
                                + " candidates=" + std::to_string(chosen.candidates) + " cost=" + std::to_string(chosen.cost)
                                + " cold=" + (chosen.isCold ? "yes" : "no"));
                       sendTo(chosen.record, actions, now);
                   },
                   [&](const NoTarget &none) { fallBackOrGiveUp(GiveUpCause::NoTarget, none.reason, none.retryAfter, actions); },
               },
               m_shared.targets.choose(need(), now));
}

void RelayMachine::sendTo(const TargetRecord &target, RelayActions &actions, MonotonicTime now)
{
    Attempt attempt;
    attempt.number = ++m_attempts;
    attempt.target = target;
    attempt.sentAt = now;
    attempt.unreadTokens = m_request.prompt.promptTokens;
    m_attempt = std::move(attempt);
    m_tried.insert(target.id);
    m_avoid.insert(target.id);
    SendRequest send;
    send.attempt = m_attempts;
    send.target = target;
    send.deadline = m_request.endsAt();
    send.hasStages = m_plan.size() > 0;
    for (const StageResult &result : m_plan.finalResults()) {
        send.inputs.push_back(result.handle);
    }
    send.resumeAfter = m_streamStarted ? m_framer.lastEventId() : m_request.resumeAfter;
    const bool isLate = now > m_request.usefulUntil();
    send.urgency = std::clamp(m_request.rank() * URGENCY_PER_RANK + (isLate ? URGENCY_OF_LATE : 0), 0, MAX_URGENCY);
    send.onNewConnection = !m_request.route->isRepeatable();
    actions.emplace_back(std::move(send));
}

TargetRequirements RelayMachine::need() const
{
    TargetRequirements need;
    need.service = m_request.service;
    need.avoid = m_avoid;
    need.tokens = m_request.prompt.promptTokens;
    if (m_plan.isComplete()) {
        need.inputDomain = inputDomain();
    }
    need.allowedRegions = m_request.route->allowedRegions;
    const std::vector<PromptPart> &parts = m_request.prompt.parts;
    if (parts.size() > 1) {
        std::string shared;
        for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
            shared += parts[index].id + ',';
        }
        need.cacheKey = stableHash(shared);
    }
    return need;
}

// Large results are made near the target that will fetch them; a stage with large inputs runs where they lie, as each of its pieces
// fetches all of them.
std::optional<FailureDomain> RelayMachine::domainFor(std::size_t stage, MonotonicTime now)
{
    if (m_plan.stage(stage).resultBytes >= LARGE_INPUT_BYTES) {
        return m_shared.targets.likelyDomain(need(), now);
    }
    return m_plan.inputBytes(stage) >= LARGE_INPUT_BYTES ? domainOf(m_plan.inputResults(stage)) : std::nullopt;
}

std::optional<FailureDomain> RelayMachine::inputDomain() const
{
    const std::optional<std::size_t> stage = m_plan.largestFinalStage();
    if (!stage || m_plan.stage(*stage).resultBytes < LARGE_INPUT_BYTES) {
        return std::nullopt;
    }
    return domainOf(m_plan.finalResults());
}

// Where most of the results lie.
std::optional<FailureDomain> RelayMachine::domainOf(const std::vector<StageResult> &results) const
{
    std::map<FailureDomain, int> counts;
    for (const StageResult &result : results) {
        const std::optional<TargetRecord> maker = m_shared.targets.find(result.target);
        if (maker) {
            ++counts[maker->failureDomain];
        }
    }
    const auto most =
        std::max_element(counts.begin(), counts.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    return most == counts.end() ? std::nullopt : std::optional(most->first);
}

bool RelayMachine::mayTryAnother(MonotonicTime now)
{
    return m_tried.size() < static_cast<std::size_t>(m_request.route->maxAttempts) && now + LEAST_USEFUL_TIME < m_request.endsAt()
        && m_shared.retries.take(m_request.service, m_shared.vms, now);
}

void RelayMachine::endAttempt(AttemptResult result, MonotonicTime now)
{
    m_shared.targets.finishAttempt(m_attempt->target.id, result, m_attempt->unreadTokens, now);
    m_attempt.reset();
}

// The target fetches the inputs before it reads the prompt, so that with the first event they have served.
void RelayMachine::firstEvents(RelayActions &actions, MonotonicTime now)
{
    if (m_attempt->unreadTokens > 0) {
        m_shared.targets.promptProcessed(m_attempt->target.id, m_attempt->unreadTokens);
        m_attempt->unreadTokens = 0;
    }
    if (m_streamStarted) {
        return;
    }
    m_streamStarted = true;
    note(actions,
         "first event",
         "target=" + m_attempt->target.id.value() + " since_sent_ms=" + millisecondsText(now - m_attempt->sentAt)
             + " since_arrival_ms=" + millisecondsText(now - m_request.arrivedAt));
    actions.emplace_back(PassHead { *m_attempt->head });
    std::vector<StageResult> served = m_plan.takeAllResults();
    if (!served.empty()) {
        m_inputsFreed = true;
        actions.emplace_back(FreeResults { std::move(served) });
    }
}

void RelayMachine::onWholeAnswer(RelayActions &actions, MonotonicTime now)
{
    AnswerHead head = std::move(*m_attempt->head);
    std::string body = std::move(m_attempt->body);
    const bool isFailure = head.status >= STATUS_FAILURE;
    m_shared.targets.addLatencySample(m_attempt->target.id, now - m_attempt->sentAt);
    endAttempt(isFailure ? AttemptResult::Errored : AttemptResult::Succeeded, now);
    m_runState = RunState::MayHaveRun;
    if (isFailure && m_request.route->isRepeatable() && mayTryAnother(now)) {
        note(actions, "tries another target", "status=" + std::to_string(head.status));
        m_fallback = Fallback { std::move(head), std::move(body) };
        send(actions, now);
        return;
    }
    if (!isFailure) {
        m_shared.crashes.noteSurvived(m_request.fingerprint);
    }
    finish(PassAnswer { std::move(head), std::move(body) }, actions);
}

void RelayMachine::onNotRun(RelayActions &actions, MonotonicTime now)
{
    const unsigned status = m_attempt->head->status;
    const TargetId target = m_attempt->target.id;
    endAttempt(AttemptResult::Refused, now);
    note(actions, "target did not run it", "target=" + target.value() + " status=" + std::to_string(status));
    if (status == STATUS_CONFLICT && m_plan.size() > 0 && m_restarts < MAX_STAGE_RESTARTS && !m_streamStarted) {
        restartStages(actions, now);
        return;
    }
    if (mayTryAnother(now)) {
        send(actions, now);
        return;
    }
    fallBackOrGiveUp(GiveUpCause::TargetRefused, "status " + std::to_string(status), RETRY_SOON, actions);
}

void RelayMachine::onLost(GiveUpCause cause, const std::string &detail, RelayActions &actions, MonotonicTime now)
{
    m_runState = RunState::MayHaveRun;
    const TargetId target = m_attempt->target.id;
    endAttempt(AttemptResult::Broken, now);
    m_framer.discardRest();
    note(actions, "answer lost", "target=" + target.value() + " why=" + detail);
    if (m_request.route->isRepeatable() && mayTryAnother(now)) {
        send(actions, now);
        return;
    }
    fallBackOrGiveUp(cause, detail, RETRY_SOON, actions);
}

// An earlier answer of a target is better than none, but not in the middle of a stream.
void RelayMachine::fallBackOrGiveUp(GiveUpCause cause, const std::string &detail, Duration retryAfter, RelayActions &actions)
{
    if (m_fallback && !m_streamStarted) {
        finish(PassAnswer { m_fallback->head, m_fallback->body }, actions);
        return;
    }
    giveUp(cause, detail, retryAfter, actions);
}

void RelayMachine::giveUp(GiveUpCause cause, const std::string &detail, Duration retryAfter, RelayActions &actions)
{
    if (m_streamStarted) {
        finish(BreakStream {}, actions);
        return;
    }
    finish(refusalFor(cause, m_runState, jittered(retryAfter), detail), actions);
}

void RelayMachine::finish(RelayAction last, RelayActions &actions)
{
    m_finished = true;
    if (m_ordersOpen > 0) {
        actions.emplace_back(WithdrawPieces {});
    }
    std::vector<StageResult> results = m_plan.takeAllResults();
    if (!results.empty()) {
        actions.emplace_back(FreeResults { std::move(results) });
    }
    actions.push_back(std::move(last));
}

void RelayMachine::note(RelayActions &actions, std::string decision, std::string inputs) const
{
    actions.emplace_back(NoteDecision { std::move(decision), std::move(inputs) });
}

// Spreads returns over half to one and a half of the time; the id makes it repeatable.
Duration RelayMachine::jittered(Duration time) const
{
    constexpr std::uint64_t STEPS = 1024;
    const double position = static_cast<double>(stableHash(m_request.id.value()) % STEPS) / static_cast<double>(STEPS);
    return std::chrono::duration_cast<Duration>(time * (0.5 + position));
}

} // namespace CassiaRelay::Gateway
