#include "relaymachine.h"

#include <boost/algorithm/string.hpp>

#include <algorithm>

namespace CassiaRelay::Gateway {

namespace {

constexpr unsigned STATUS_OK = 200;
constexpr unsigned STATUS_SERVER_ERROR = 500; // lowest status of server errors
constexpr unsigned STATUS_CONFLICT = 409;
constexpr unsigned STATUS_MISDIRECTED = 421;
constexpr std::size_t MAX_BUFFERED_RESPONSE_BYTES = 8U * 1024 * 1024; // responses that are not streams are buffered until complete
constexpr std::size_t MAX_EVENT_BYTES = 1024 * 1024;
constexpr int MAX_CONNECT_FAILURES = 4; // each can take a full connect timeout
// Then another daemon may reach a target sooner, if there is one; with this one all targets may be out of reach.
constexpr int CONNECT_FAILURES_BEFORE_HANDOVER = 2;
// Daemons that a request is handed over to. In a large fleet, a greeting may be so old that half of them decline.
constexpr std::size_t MAX_RECEIVERS = 8;
constexpr int MAX_STAGE_RESTARTS = 1;
constexpr std::int64_t LARGE_SHARED_TOKENS = 2000; // reading fewer again costs less than a worse target
constexpr std::size_t LARGE_INPUT_BYTES = 100'000; // for smaller results, a fetch from another domain costs less than a worse target
constexpr std::chrono::milliseconds MIN_USEFUL_TIME { 20 };      // no target responds faster
constexpr std::chrono::milliseconds TIME_TO_FIRST_EVENT { 150 }; // typical time from sending a request to its first event
constexpr std::chrono::milliseconds RETRY_SOON { 250 };          // a full target usually has capacity again by then
constexpr std::chrono::milliseconds RETRY_LATER { 1000 };        // a crashed target is replaced in the store within this time
constexpr std::chrono::milliseconds RETRY_OVERLOADED { 4000 };   // callers told to retry after 1000 ms returned during the same burst
// Percentage of the objective. Not lower, because estimates are means and slightly late responses are still useful.
constexpr int OVERLOAD_PERCENT = 150;
constexpr std::chrono::seconds RETRY_BANNED { 30 };      // longer than callers keep retrying
constexpr std::chrono::seconds RETRY_BANNED_PART { 10 }; // a wrong ban of a part is found out after this time
constexpr int MIN_PACE_EVENTS = 4;                       // the time between fewer events depends on single delays of the network
constexpr int MAX_CELL_SIZE = 12;                        // daemons; with so few, each knows enough of the targets by its own requests
constexpr int MAX_ENGINE_PRIORITY = 9;
constexpr int ENGINE_PRIORITY_PER_RANK = 2;
constexpr int LATE_ENGINE_PRIORITY_OFFSET = 4;

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

// The last part of a prompt is specific to the request, which is a suspect itself.
CrashSuspects suspectsOf(const RelayRequest &request)
{
    constexpr std::uint64_t PART_SEED = 1; // a part and a request never have the same fingerprint
    CrashSuspects suspects { request.fingerprint, {} };
    const std::vector<PromptPart> &parts = request.prompt.parts;
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        suspects.parts.emplace_back(stableHash(parts[index].id, PART_SEED));
    }
    return suspects;
}

std::string ageText(const std::optional<Duration> &age)
{
    return age ? millisecondsText(*age) : "none";
}

std::string placementText(const ChosenTarget &chosen)
{
    std::string text = "target=" + chosen.record.id.value() + " version=" + chosen.record.softwareVersion
        + " domain=" + chosen.record.failureDomain.value() + " candidates=" + std::to_string(chosen.candidates)
        + " cost=" + std::to_string(chosen.cost) + " cold=" + (chosen.isCold ? "yes" : "no");
    if (chosen.placement) {
        const PlacementFigures &figures = *chosen.placement;
        text += " pace=" + std::to_string(figures.pace) + " told_age_ms=" + ageText(figures.toldAge)
            + " learned_age_ms=" + ageText(figures.learnedAge) + " load_age_ms=" + ageText(figures.loadAge)
            + " expected_ms=" + millisecondsText(figures.expectedFinish) + " passed_over=" + std::to_string(figures.passedOver)
            + " cache=" + (figures.isCachePreferred ? "yes" : "no");
    }
    return text;
}

std::string contentTypeOf(const ResponseHead &head)
{
    const auto field = std::find_if(head.fields.begin(), head.fields.end(), [](const HttpField &candidate) {
        return boost::algorithm::iequals(candidate.name, "Content-Type");
    });
    return field == head.fields.end() ? std::string() : boost::algorithm::to_lower_copy(field->value);
}

std::string ownerText(const PlacedTarget &placed)
{
    return " owner=" + (placed.owner ? placed.owner->value() : "self") + " placement=" + std::to_string(placed.id.value());
}

// Complete events end with an empty line, of either line ending.
int countEvents(std::string_view events)
{
    int count = 0;
    for (std::size_t position = 0; position < events.size(); ++position) {
        const std::string_view rest = events.substr(position);
        count += rest.substr(0, 2) == "\n\n" || rest.substr(0, 3) == "\n\r\n" ? 1 : 0;
    }
    return count;
}

// Total time of the longest path of dependent stages that starts after the given stage.
template<typename TimeOf>
Duration longestPathAfter(const StagePlan &plan, std::size_t stage, const TimeOf &timeOf)
{
    Duration longest {};
    for (std::size_t next = stage + 1; next < plan.size(); ++next) {
        const std::vector<std::size_t> &after = plan.stage(next).after;
        if (std::find(after.begin(), after.end(), stage) == after.end() || plan.pieces(next).empty()) {
            continue;
        }
        longest = std::max(longest, timeOf(next) + longestPathAfter(plan, next, timeOf));
    }
    return longest;
}

} // namespace

RelayMachine::RelayMachine(RelayRequest request, RelayContext &context)
    : m_request(std::move(request))
    , m_suspects(suspectsOf(m_request))
    , m_context(context)
    , m_plan(m_request.route->stages, m_request.pieceCounts)
    , m_orderedAt(m_plan.size())
    , m_buffer(context.responseBuffers)
{
    if (m_request.handover) {
        m_attemptsElsewhere = m_request.handover->attempts;
        m_avoidedTargets = m_request.handover->triedTargets;
        if (m_request.handover->origin) {
            setOrigin(*m_request.handover->origin);
        }
    }
}

RelayActions RelayMachine::start(MonotonicTime now)
{
    RelayActions actions;
    // The daemon that handed the request over has counted it.
    if (!m_request.handover) {
        m_context.retries.recordRequest(m_request.service, now);
    }
    const Admission admission = m_context.crashes.admit(m_suspects, now);
    if (admission == Admission::Banned) {
        refuseBanned(actions, now);
        return actions;
    }
    if (admission == Admission::Trial) {
        m_isTrial = true;
        logDecision(actions, "banned request let through", banDetail(now));
    }
    if (now + MIN_USEFUL_TIME > m_request.endsAt()) {
        giveUp(GiveUpCause::DeadlineUnreachable, {}, RETRY_SOON, actions);
        return actions;
    }
    actions.emplace_back(ArmTimer { m_request.endsAt() });
    if (lacksOrigin()) {
        findOrigin(actions);
    } else {
        begin(actions, now);
    }
    return actions;
}

void RelayMachine::begin(RelayActions &actions, MonotonicTime now)
{
    if (redirect(actions, now)) {
        return;
    }
    const Duration stageTime = expectedTotalStageTime(now);
    const Duration objective = m_request.route->objective;
    // With fleet admission, the owner of the first stage decides, which knows the load of the whole fleet.
    if (!m_context.scheduling.usesFleetAdmission && stageTime + TIME_TO_FIRST_EVENT > objective * OVERLOAD_PERCENT / 100
        && objective > Duration::zero()) {
        giveUp(GiveUpCause::StagesOverloaded,
               "stages_ms=" + millisecondsText(stageTime),
               std::clamp<Duration>(stageTime - objective, RETRY_SOON, RETRY_OVERLOADED),
               actions);
        return;
    }
    orderReadyStages(actions, now);
}

void RelayMachine::setOrigin(const StreamOrigin &origin)
{
    m_request.service = origin.service;
    m_softwareVersion = origin.softwareVersion;
}

// Where all daemons have been asked, the stream will hardly go on while its caller waits. A daemon that knows no other has just started.
RelayActions RelayMachine::onOrigin(const FoundOrigin &found, MonotonicTime now)
{
    RelayActions actions;
    if (m_finished) {
        return actions;
    }
    const std::optional<StreamOrigin> &origin = found.origin;
    const bool isOfRoute = origin && m_request.route->sendsTo(origin->service);
    std::string text = found.isFinal ? "unknown" : "unknown, not all were heard";
    if (origin) {
        text = "service=" + origin->service.value() + " version=" + origin->softwareVersion + " of_route=" + (isOfRoute ? "yes" : "no");
    }
    logDecision(actions, "origin", text);
    const bool hasBegun = m_streamStarted || m_request.isResumption();
    if (!isOfRoute && hasBegun) {
        Duration retryAfter = RETRY_SOON;
        if (m_context.members.count() > 1) {
            retryAfter = found.isFinal ? std::max<Duration>(RETRY_LATER, m_request.endsAt() - now) : Duration(RETRY_LATER);
        }
        giveUp(GiveUpCause::UnknownOrigin, {}, retryAfter, actions);
        return actions;
    }
    m_mayBeBoundElsewhere = false;
    if (isOfRoute) {
        setOrigin(*origin);
    }
    if (m_attemptCount == 0) {
        begin(actions, now);
    } else {
        send(actions, now);
    }
    return actions;
}

RelayActions RelayMachine::onStageFinished(std::size_t stage, const std::vector<PieceCompletion> &completions, MonotonicTime now)
{
    RelayActions actions;
    if (m_finished) {
        return actions;
    }
    m_openOrders -= std::min<std::size_t>(m_openOrders, 1);
    std::optional<PieceFailure> failure;
    std::optional<Duration> ownerRetryAfter;
    for (const PieceCompletion &completion : completions) {
        if (completion.retryAfter) {
            ownerRetryAfter = completion.retryAfter;
        }
        std::visit(Overloaded {
                       [&](const StageResult &result) { m_plan.setResult(stage, completion.piece, result); },
                       [&](PieceFailure pieceFailure) { failure = pieceFailure; },
                   },
                   completion.outcome);
    }
    if (!failure || failure == PieceFailure::Late) {
        m_context.stageLatency.addSample(m_plan.stage(stage).service, m_request.rank(), now - m_orderedAt.at(stage), now);
    }
    if (failure == PieceFailure::InputGone && m_stageRestarts < MAX_STAGE_RESTARTS) {
        restartStages(actions, now);
        return actions;
    }
    if (failure) {
        giveUpStage(stage, *failure, ownerRetryAfter, actions);
        return actions;
    }
    std::vector<StageResult> unneeded = m_plan.takeUnneededResults();
    if (!unneeded.empty()) {
        actions.emplace_back(FreeResults { std::move(unneeded) });
    }
    orderReadyStages(actions, now);
    return actions;
}

RelayActions RelayMachine::onPermits(MonotonicTime now)
{
    RelayActions actions;
    if (!m_finished) {
        send(actions, now);
    }
    return actions;
}

// The request may have ended in the meantime.
RelayActions RelayMachine::onPlacement(const std::optional<PlacedTarget> &placed, MonotonicTime now)
{
    RelayActions actions;
    m_placed = placed;
    if (m_finished) {
        dropPlacement();
        return actions;
    }
    send(actions, now);
    return actions;
}

RelayActions RelayMachine::onHead(AttemptNumber attempt, ResponseHead head, MonotonicTime now)
{
    RelayActions actions;
    if (!isCurrent(attempt)) {
        return actions;
    }
    if (!m_attempt->receiver) {
        m_context.reachability.recordResponse(m_request.service, now);
        if (head.status == STATUS_MISDIRECTED) {
            m_context.crashes.recordTargetGone(m_attempt->target.id, now);
            m_context.targets.setMisdirected(m_attempt->target, now);
        } else {
            m_context.crashes.recordResponse(m_attempt->target.id, m_attempt->sentAt);
        }
    }
    const bool isSuccess = head.status >= STATUS_OK && head.status < 300;
    if (isSuccess && !head.isStamped) {
        actions.emplace_back(CancelAttempt { attempt });
        onResponseLost(GiveUpCause::InvalidResponse, "the answer bears no stamp", actions, now);
        return actions;
    }
    if (m_streamStarted && head.status != STATUS_OK && !head.isNotRun) {
        actions.emplace_back(CancelAttempt { attempt });
        onResponseLost(
            GiveUpCause::InvalidResponse, "status " + std::to_string(head.status) + " instead of the rest of the stream", actions, now);
        return actions;
    }
    if (m_streamStarted && !head.isNotRun && contentTypeOf(head) != m_streamType) {
        actions.emplace_back(CancelAttempt { attempt });
        onResponseLost(GiveUpCause::InvalidResponse, "content of another type instead of the rest of the stream", actions, now);
        return actions;
    }
    if (m_attempt->receiver && head.origin && !m_softwareVersion && m_request.route->sendsTo(head.origin->service)) {
        setOrigin(*head.origin);
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
    if (!forwardsEvents()) {
        m_attempt->body.append(bytes);
        if (m_attempt->body.size() > MAX_BUFFERED_RESPONSE_BYTES || !mayBuffer(m_attempt->body.size())) {
            actions.emplace_back(CancelAttempt { attempt });
            onResponseLost(GiveUpCause::InvalidResponse, "the answer is too long", actions, now);
        }
        return actions;
    }
    std::string events = m_framer.add(bytes);
    if (m_framer.isOutOfOrder()) {
        actions.emplace_back(CancelAttempt { attempt });
        onResponseLost(GiveUpCause::InvalidResponse, "the first event does not follow the last one of the stream", actions, now);
        return actions;
    }
    if (m_framer.partialEventBytes() > MAX_EVENT_BYTES || !mayBuffer(m_framer.partialEventBytes())) {
        actions.emplace_back(CancelAttempt { attempt });
        onResponseLost(GiveUpCause::InvalidResponse, "an event is too long", actions, now);
        return actions;
    }
    if (events.empty()) {
        return actions;
    }
    recordEvents(events, now);
    onEvents(actions, now);
    actions.emplace_back(ForwardEvents { std::move(events) });
    return actions;
}

RelayActions RelayMachine::onFinished(AttemptNumber attempt, MonotonicTime now)
{
    RelayActions actions;
    if (!isCurrent(attempt) || !m_attempt->head) {
        return actions;
    }
    if (!m_attempt->receiver && (m_attempt->head->isNotRun || m_attempt->head->status == STATUS_MISDIRECTED)) {
        onNotRun(actions, now);
        return actions;
    }
    if (!forwardsEvents()) {
        onCompleteResponse(actions, now);
        return actions;
    }
    const ResponseHead head = *m_attempt->head;
    if (m_framer.hasPartialEvent() || (head.hasOpenEnd && !m_streamStarted)) {
        if (!m_attempt->receiver) {
            m_context.crashes.recordConnectionLoss(m_suspects, m_attempt->target, now);
        }
        const std::string detail = m_streamStarted ? "the stream ended within an event" : "the stream ended before its first event";
        onResponseLost(GiveUpCause::IncompleteResponse, detail, actions, now);
        return actions;
    }
    // Nothing else shows that the stream had ended when it broke off.
    if (m_streamStarted && m_framer.awaitsContinuation()) {
        onResponseLost(GiveUpCause::InvalidResponse, "no event instead of the rest of the stream", actions, now);
        return actions;
    }
    if (!m_attempt->receiver) {
        recordCompletion(head, m_attempt->target, now);
        recordStreamTimes(now);
    }
    endAttempt(AttemptResult::Succeeded, now);
    if (m_streamStarted) {
        finish(EndStream {}, actions);
    } else {
        finish(ForwardResponse { head, {} }, actions);
    }
    return actions;
}

RelayActions RelayMachine::onFailed(AttemptNumber attempt, AttemptFailure failure, const std::string &detail, MonotonicTime now)
{
    RelayActions actions;
    if (!isCurrent(attempt)) {
        return actions;
    }
    const bool isAtTarget = !m_attempt->receiver;
    if (isAtTarget && failure != AttemptFailure::Withheld && failure != AttemptFailure::TimedOut
        && failure != AttemptFailure::InvalidResponse) {
        m_context.reachability.recordFailure(m_request.service, now);
    }
    switch (failure) {
    case AttemptFailure::Refused:
        if (isAtTarget) {
            m_context.crashes.recordTargetGone(m_attempt->target.id, now);
        }
        [[fallthrough]];
    case AttemptFailure::NotSent: {
        const std::string receiver = receiverText();
        if (isAtTarget) {
            m_triedTargets.erase(m_attempt->target.id);
        } else {
            m_context.members.avoid(*m_attempt->receiver, now);
        }
        endAttempt(AttemptResult::Unreachable, now);
        logDecision(actions, "request not sent", receiver + " why=" + detail);
        ++m_connectFailures;
        sendElsewhere(GiveUpCause::TargetUnreachable, detail, RETRY_LATER, actions, now);
        break;
    }
    case AttemptFailure::Withheld:
        m_triedTargets.erase(m_attempt->target.id);
        logDecision(actions, "request withheld", receiverText() + " since_sent_ms=" + millisecondsText(now - m_attempt->sentAt));
        endAttempt(AttemptResult::Cancelled, now);
        ++m_connectFailures;
        sendElsewhere(GiveUpCause::OutOfDate, detail, RETRY_ELSEWHERE, actions, now);
        break;
    case AttemptFailure::ConnectionLost:
        if (isAtTarget) {
            m_context.crashes.recordConnectionLoss(m_suspects, m_attempt->target, now);
        }
        onResponseLost(GiveUpCause::IncompleteResponse, detail, actions, now);
        break;
    case AttemptFailure::Unresponsive:
        onResponseLost(GiveUpCause::IncompleteResponse, detail, actions, now);
        break;
    case AttemptFailure::InvalidResponse:
        onResponseLost(GiveUpCause::InvalidResponse, detail, actions, now);
        break;
    case AttemptFailure::TimedOut:
        m_runState = RunState::MayHaveRun;
        endAttempt(AttemptResult::Silent, now);
        giveUp(GiveUpCause::TimedOut, detail, RETRY_SOON, actions);
        break;
    }
    return actions;
}

RelayActions RelayMachine::onDeclined(AttemptNumber attempt, DeclineReason reason, MonotonicTime now)
{
    RelayActions actions;
    if (!isCurrent(attempt) || !m_attempt->receiver) {
        return actions;
    }
    const VmId receiver = *m_attempt->receiver;
    endAttempt(AttemptResult::Refused, now);
    if (reason == DeclineReason::Blocked) {
        m_context.members.onBlocked(receiver, m_request.service);
    } else if (reason == DeclineReason::Unavailable) {
        m_context.members.avoid(receiver, now);
    }
    logDecision(actions, "declined", "vm=" + receiver.value() + " reason=" + std::string(toString(reason)));
    sendElsewhere(GiveUpCause::TargetUnreachable, "declined", RETRY_LATER, actions, now);
    return actions;
}

RelayActions RelayMachine::onTimer(MonotonicTime now)
{
    RelayActions actions;
    if (m_finished) {
        return actions;
    }
    if (now < m_request.endsAt()) {
        actions.emplace_back(ArmTimer { m_request.endsAt() });
        return actions;
    }
    if (m_attempt) {
        m_runState = RunState::MayHaveRun;
        actions.emplace_back(CancelAttempt { m_attempt->number });
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
        actions.emplace_back(CancelAttempt { m_attempt->number });
        endAttempt(AttemptResult::Cancelled, now);
    }
    logDecision(actions, "caller gone", "stages_left=" + std::to_string(m_plan.remainingDepth()));
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
        actions.emplace_back(CancelAttempt { m_attempt->number });
        endAttempt(AttemptResult::Cancelled, now);
    }
    giveUp(GiveUpCause::ShuttingDown, {}, RETRY_ELSEWHERE, actions);
    return actions;
}

const RelayRequest &RelayMachine::request() const
{
    return m_request;
}

std::optional<StreamOrigin> RelayMachine::origin() const
{
    return m_softwareVersion ? std::optional(StreamOrigin { m_request.service, *m_softwareVersion }) : std::nullopt;
}

bool RelayMachine::isFinished() const
{
    return m_finished;
}

bool RelayMachine::isCurrent(AttemptNumber attempt) const
{
    return !m_finished && m_attempt && m_attempt->number == attempt;
}

// The target may have restarted with another version of its software.
bool RelayMachine::isAllowedAgain(const TargetRecord &target) const
{
    return !m_softwareVersion || *m_softwareVersion == target.softwareVersion;
}

bool RelayMachine::forwardsEvents() const
{
    return m_request.route->kind == RouteKind::Stream && m_attempt->head->status == STATUS_OK && !m_attempt->head->isNotRun;
}

bool RelayMachine::mayBuffer(std::size_t bytes)
{
    return m_buffer.setBytes(bytes + (m_fallback ? m_fallback->body.size() : 0));
}

// A daemon that was lost before its first event arrived here may have recorded an origin. Another one would contradict that record.
bool RelayMachine::lacksOrigin() const
{
    const bool isBinding = m_request.route->kind == RouteKind::Stream && m_request.route->isResumable;
    return isBinding && !m_softwareVersion && (m_streamStarted || m_mayBeBoundElsewhere || m_request.isResumption());
}

void RelayMachine::findOrigin(RelayActions &actions) const
{
    FindOrigin action;
    // A stream that the caller resumes without naming the request that began it may have any.
    action.stream = m_request.isResumption() ? m_request.resumedStream : std::optional(m_request.id);
    // A route to several services chooses one by the request id, and a resumption has another id than the request that began the stream.
    if (m_request.route->services.size() == 1) {
        action.service = m_request.service;
    }
    logDecision(actions,
                "stream resumed",
                "stream=" + (action.stream ? action.stream->value() : "unknown")
                    + " after=" + (m_streamStarted ? m_framer.lastEventId().value_or("") : m_request.resumeAfter.value_or("")));
    actions.emplace_back(std::move(action));
}

void RelayMachine::orderReadyStages(RelayActions &actions, MonotonicTime now)
{
    for (const std::size_t stage : m_plan.takeReady()) {
        PieceOrder order;
        order.request = m_request.id;
        order.service = m_plan.stage(stage).service;
        order.stage = stage;
        order.rank = m_request.rank();
        order.softDeadline = stageSoftDeadline(stage, now);
        order.hardDeadline = m_request.endsAt() - minTimeAfter(stage) - TIME_TO_FIRST_EVENT;
        order.resultBytes = m_plan.stage(stage).resultBytes;
        order.preferredDomain = preferredDomainFor(stage, now);
        if (m_context.scheduling.spillover && order.preferredDomain) {
            describeTransfer(order, stage);
        }
        order.pieces = m_plan.pieces(stage);
        if (m_context.scheduling.sharesByOrganisation && m_request.organisation) {
            order.organisation = m_request.organisation->id;
        }
        if (m_context.scheduling.usesFleetAdmission) {
            order.caller = m_request.fingerprint;
        }
        if (m_plan.stage(stage).after.empty()) {
            order.inputKey = m_request.inputKey;
        } else {
            order.inputs = m_plan.inputHandles(stage);
            // With few targets, running the stages of a request again costs more than memory that is freed early.
            const bool mayFreeInputs = m_context.scheduling.freesFetchedInputs && m_context.members.count() > MAX_CELL_SIZE;
            if (mayFreeInputs && m_plan.isOnlyUser(stage)) {
                for (const StageResult &input : m_plan.inputResults(stage)) {
                    order.inputTargets.push_back(input.target);
                }
            }
        }
        ++m_openOrders;
        m_orderedAt.at(stage) = now;
        actions.emplace_back(OrderPieces { std::move(order) });
    }
    if (m_openOrders == 0 && m_plan.isComplete()) {
        send(actions, now);
    }
}

// Runs all stages again, because results were lost with their target or have been freed.
void RelayMachine::restartStages(RelayActions &actions, MonotonicTime now)
{
    ++m_stageRestarts;
    logDecision(actions, "stages restarted", "left_ms=" + millisecondsText(m_request.endsAt() - now));
    if (m_openOrders > 0) {
        actions.emplace_back(WithdrawPieces {});
        m_openOrders = 0;
    }
    actions.emplace_back(FreeResults { m_plan.takeAllResults() });
    m_plan.reset();
    orderReadyStages(actions, now);
}

Duration RelayMachine::minTimeAfter(std::size_t stage) const
{
    return longestPathAfter(m_plan, stage, [this](std::size_t next) { return minStageTime(next); });
}

Duration RelayMachine::expectedTimeAfter(std::size_t stage, MonotonicTime now) const
{
    return longestPathAfter(m_plan, stage, [this, now](std::size_t next) { return expectedStageTime(next, now); });
}

Duration RelayMachine::expectedStageTime(std::size_t stage, MonotonicTime now) const
{
    const ServiceName &service = m_plan.stage(stage).service;
    const Duration minimum = minStageTime(stage);
    if (m_context.scheduling.usesFleetAdmission) {
        const std::optional<Duration> reported = m_context.serviceLoads.completionTime(service, m_request.rank(), now);
        if (reported) {
            return std::max(*reported, minimum);
        }
    }
    return m_context.stageLatency.estimate(service, m_request.rank(), minimum, now);
}

// An objective that can't be met even without load must not make the owner reject all requests of the route, so the end of the request
// counts instead.
MonotonicTime RelayMachine::stageSoftDeadline(std::size_t stage, MonotonicTime now) const
{
    MonotonicTime softDeadline = m_request.softDeadline();
    const MonotonicTime withoutLoad = now + minStageTime(stage) + minTimeAfter(stage) + TIME_TO_FIRST_EVENT;
    if (m_context.scheduling.usesFleetAdmission && m_plan.stage(stage).after.empty() && withoutLoad > softDeadline) {
        softDeadline = m_request.endsAt();
    }
    return softDeadline - expectedTimeAfter(stage, now) - TIME_TO_FIRST_EVENT;
}

Duration RelayMachine::minStageTime(std::size_t stage) const
{
    const Service *service = m_request.table->service(m_plan.stage(stage).service);
    return service && service->pieces ? service->pieces->perCall + service->pieces->perPiece : Duration::zero();
}

// Expected time of the longest path that ends with this stage.
Duration RelayMachine::expectedTimeThrough(std::size_t stage, MonotonicTime now) const
{
    Duration before {};
    for (const std::size_t earlier : m_plan.stage(stage).after) {
        before = std::max(before, expectedTimeThrough(earlier, now));
    }
    if (m_plan.pieces(stage).empty()) {
        return before;
    }
    return before + m_context.stageLatency.estimate(m_plan.stage(stage).service, m_request.rank(), minStageTime(stage), now);
}

Duration RelayMachine::expectedTotalStageTime(MonotonicTime now) const
{
    Duration longest {};
    for (std::size_t stage = 0; stage < m_plan.size(); ++stage) {
        longest = std::max(longest, expectedTimeThrough(stage, now));
    }
    return longest;
}

void RelayMachine::send(RelayActions &actions, MonotonicTime now)
{
    // The request may have been banned while its stages ran, or by its last attempt.
    if (isStopped(now)) {
        refuseBanned(actions, now);
        return;
    }
    if (lacksOrigin()) {
        findOrigin(actions);
        return;
    }
    if (redirect(actions, now)) {
        return;
    }
    // The stage results were freed once the previous target had fetched them, but another target needs them again.
    if (std::exchange(m_inputsFreed, false)) {
        restartStages(actions, now);
        return;
    }
    // A request that was handed over on arrival, and came back, has run none of its stages.
    if (!m_plan.isComplete()) {
        orderReadyStages(actions, now);
        return;
    }
    if (attemptsUsed() >= static_cast<std::size_t>(m_request.route->maxAttempts) && attemptsUsed() > 0) {
        const std::optional<TargetRecord> same = m_triedTargets.empty() ? std::nullopt : m_context.targets.find(*m_triedTargets.begin());
        if (!same || !isAllowedAgain(*same) || !m_context.targets.startAttempt(same->id, m_request.prompt.promptTokens, now)) {
            giveUp(GiveUpCause::NoTarget, "the target that may get the request is gone", RETRY_SOON, actions);
            return;
        }
        sendTo(*same, actions, now);
        return;
    }
    if (asksForPlacement()) {
        m_isPlacementAsked = true;
        actions.emplace_back(RequestPlacement { placementOrder(now) });
        return;
    }
    if (const std::optional<Duration> start = startAfterDeadline(now)) {
        fallBackOrGiveUp(GiveUpCause::DeadlineUnreachable, "start_ms=" + millisecondsText(*start), RETRY_SOON, actions);
        return;
    }
    std::visit(Overloaded {
                   [&](const ChosenTarget &chosen) {
                       const bool isAdvised = m_placed && m_placed->target == chosen.record.id;
                       logDecision(actions, "placed", placementText(chosen) + (isAdvised ? ownerText(*m_placed) : ""));
                       sendTo(chosen.record, actions, now);
                       m_attempt->isCachePreferred = chosen.placement && chosen.placement->isCachePreferred;
                   },
                   [&](const PermitsNeeded &needed) {
                       m_permitTarget = needed.best;
                       actions.emplace_back(RequestPermitsFor { m_request.service });
                   },
                   [&](const NoTarget &none) {
                       if (m_connectFailures == 0 || !handOver(actions, now)) {
                           fallBackOrGiveUp(GiveUpCause::NoTarget, none.reason, none.retryAfter, actions);
                       }
                   },
               },
               m_context.targets.choose(targetRequirements(), now));
}

std::optional<Duration> RelayMachine::startAfterDeadline(MonotonicTime now) const
{
    if (!m_context.scheduling.usesFleetAdmission) {
        return std::nullopt;
    }
    const std::optional<Duration> start = m_context.targets.earliestStart(targetRequirements(), now);
    return start && now + *start > m_request.endsAt() ? start : std::nullopt;
}

// Continues a request that no target has run.
void RelayMachine::sendElsewhere(
    GiveUpCause cause, const std::string &detail, Duration retryAfter, RelayActions &actions, MonotonicTime now)
{
    if (m_connectFailures >= CONNECT_FAILURES_BEFORE_HANDOVER && handOver(actions, now)) {
        return;
    }
    if (m_connectFailures < MAX_CONNECT_FAILURES && now + MIN_USEFUL_TIME < m_request.endsAt()) {
        send(actions, now);
    } else {
        giveUp(cause, detail, retryAfter, actions);
    }
}

// Other causes hold at all daemons.
std::optional<DeclineReason> RelayMachine::declineReason(GiveUpCause cause) const
{
    switch (cause) {
    case GiveUpCause::TargetUnreachable:
        return m_context.reachability.isBlocked(m_request.service) ? DeclineReason::Blocked : DeclineReason::Unreachable;
    case GiveUpCause::ShuttingDown:
        return DeclineReason::Unavailable;
    default:
        return std::nullopt;
    }
}

bool RelayMachine::redirect(RelayActions &actions, MonotonicTime now)
{
    if (!m_context.reachability.isBlocked(m_request.service)) {
        return false;
    }
    if (handOver(actions, now)) {
        return true;
    }
    // A request that may run once needs a new connection, and there is none to be had.
    if (!m_request.handover && m_request.route->isRepeatable() && m_context.reachability.mayTryBlocked(m_request.service, now)) {
        return false;
    }
    fallBackOrGiveUp(GiveUpCause::TargetUnreachable, m_request.handover ? "" : "no daemon reaches one", RETRY_LATER, actions);
    return true;
}

// The other daemon runs the stages again: it can't free results at targets for this one, which does not reach them.
bool RelayMachine::handOver(RelayActions &actions, MonotonicTime now)
{
    const bool isSpent = attemptsUsed() >= static_cast<std::size_t>(m_request.route->maxAttempts) && attemptsUsed() > 0;
    if (m_request.handover || isSpent || m_triedReceivers.size() >= MAX_RECEIVERS || now + MIN_USEFUL_TIME > m_request.endsAt()) {
        return false;
    }
    const std::optional<Member> receiver =
        m_context.members.receiver(m_request.service, stableHash(m_request.id.value()), now, [this](const Member &member) {
            return m_triedReceivers.count(member.vm) == 0 && isAllowedReceiver(member);
        });
    if (!receiver) {
        return false;
    }
    std::vector<StageResult> results = m_plan.takeAllResults();
    if (!results.empty()) {
        m_inputsFreed = true;
        actions.emplace_back(FreeResults { std::move(results) });
    }
    Attempt attempt;
    attempt.number = ++m_attemptCount;
    attempt.receiver = receiver->vm;
    attempt.sentAt = now;
    m_attempt = std::move(attempt);
    m_triedReceivers.insert(receiver->vm);
    HandOverRequest action;
    action.attempt = m_attemptCount;
    action.receiver = *receiver;
    action.deadline = m_request.endsAt();
    action.handover.attempts = static_cast<int>(attemptsUsed());
    action.handover.triedTargets = m_triedTargets;
    if (m_streamStarted) {
        action.resumeAfter = m_framer.lastEventId();
    }
    action.handover.origin = origin();
    action.onNewConnection = !m_request.route->isRepeatable();
    logDecision(actions, "handed over", "vm=" + receiver->vm.value() + " service=" + m_request.service.value());
    actions.emplace_back(std::move(action));
    return true;
}

bool RelayMachine::isAllowedReceiver(const Member &member) const
{
    const std::vector<Region> &allowed = m_request.route->allowedRegions;
    if (allowed.empty()) {
        return true;
    }
    const std::optional<Region> region = m_context.targets.regionOf(member.failureDomain);
    return region && std::find(allowed.begin(), allowed.end(), *region) != allowed.end();
}

// Targets that may have received the request, from any daemon.
std::size_t RelayMachine::attemptsUsed() const
{
    return m_triedTargets.size() + static_cast<std::size_t>(m_attemptsElsewhere);
}

std::string RelayMachine::receiverText() const
{
    return m_attempt->receiver ? "vm=" + m_attempt->receiver->value() : "target=" + m_attempt->target.id.value();
}

void RelayMachine::sendTo(const TargetRecord &target, RelayActions &actions, MonotonicTime now)
{
    Attempt attempt;
    attempt.number = ++m_attemptCount;
    attempt.target = target;
    attempt.sentAt = now;
    attempt.pendingPromptTokens = m_request.prompt.promptTokens;
    if (m_placed && m_placed->target == target.id) {
        attempt.placed = std::exchange(m_placed, std::nullopt);
    } else if (m_placed) {
        m_context.placementReports.recordUnusable();
        dropPlacement();
    }
    m_isPlacementAsked = false;
    m_attempt = std::move(attempt);
    m_permitTarget.reset();
    m_triedTargets.insert(target.id);
    m_avoidedTargets.insert(target.id);
    if (m_request.route->kind == RouteKind::Stream && m_request.route->isResumable) {
        m_softwareVersion = target.softwareVersion;
        // Recorded before the first event, so that the caller can resume the stream as soon as it has one.
        actions.emplace_back(
            RecordStream { m_request.resumedStream.value_or(m_request.id), { m_request.service, target.softwareVersion } });
    }
    SendRequest send;
    send.attempt = m_attemptCount;
    send.target = target;
    send.deadline = m_request.endsAt();
    send.hasStages = m_plan.size() > 0;
    for (const StageResult &result : m_plan.finalResults()) {
        send.inputs.push_back(result.handle);
    }
    send.resumeAfter = m_streamStarted ? m_framer.lastEventId() : m_request.resumeAfter;
    const bool isLate = now > m_request.softDeadline();
    send.enginePriority =
        std::clamp(m_request.rank() * ENGINE_PRIORITY_PER_RANK + (isLate ? LATE_ENGINE_PRIORITY_OFFSET : 0), 0, MAX_ENGINE_PRIORITY);
    send.onNewConnection = !m_request.route->isRepeatable();
    send.maxIdleConnections = m_context.targets.maxIdleConnections(target.service);
    actions.emplace_back(std::move(send));
}

// Other requests are short, or say nothing about their length.
bool RelayMachine::asksForPlacement() const
{
    return m_context.scheduling.placesForFleet && !m_isPlacementAsked && !m_permitTarget && m_request.route->kind == RouteKind::Stream
        && m_request.prompt.promptTokens > 0 && m_context.members.count() > MAX_CELL_SIZE;
}

// Requests without inputs prefer the domain that requests with the same shared parts have their inputs made in.
PlacementOrder RelayMachine::placementOrder(MonotonicTime now) const
{
    const TargetRequirements requirements = targetRequirements();
    PlacementOrder order;
    order.service = requirements.service;
    order.promptTokens = requirements.tokens;
    order.sharedTokens = requirements.sharedTokens;
    order.cacheKey = requirements.cacheKey;
    order.endsAt = m_request.endsAt();
    order.maxPause = m_request.route->maxPause;
    order.avoid = requirements.avoid;
    order.inputDomain = requirements.inputDomain;
    if (order.inputDomain) {
        const std::size_t stage = *m_plan.largestFinalStage();
        order.inputBytes = m_plan.stage(stage).resultBytes * m_plan.pieces(stage).size();
    } else if (order.sharedTokens >= LARGE_SHARED_TOKENS) {
        order.inputDomain = m_context.targets.likelyDomain(requirements, now);
    }
    order.allowedRegions = requirements.allowedRegions;
    order.softwareVersion = requirements.softwareVersion;
    return order;
}

void RelayMachine::reportPlacementEnd(AttemptResult result)
{
    const bool isOver = result == AttemptResult::Succeeded || result == AttemptResult::Cancelled;
    std::optional<Duration> perEvent;
    if (isOver && m_attempt->events > MIN_PACE_EVENTS) {
        perEvent = (m_attempt->lastEventAt - m_attempt->firstEventAt) / (m_attempt->events - 1);
    }
    m_context.placementReports.add(*m_attempt->placed, isOver ? PlacementEvent::Ended : PlacementEvent::Failed, perEvent);
}

// The owner still counts the request at the target.
void RelayMachine::dropPlacement()
{
    if (m_placed) {
        m_context.placementReports.add(*m_placed, PlacementEvent::Ended, std::nullopt);
        m_placed.reset();
    }
}

TargetRequirements RelayMachine::targetRequirements() const
{
    TargetRequirements requirements;
    requirements.service = m_request.service;
    requirements.avoid = m_avoidedTargets;
    requirements.tokens = m_request.prompt.promptTokens;
    requirements.softDeadline = m_request.softDeadline();
    if (m_plan.isComplete()) {
        requirements.inputDomain = inputDomain();
    }
    requirements.allowedRegions = m_request.route->allowedRegions;
    requirements.softwareVersion = m_softwareVersion;
    requirements.mayRequestPermits = !m_permitTarget;
    requirements.preferredTarget = m_permitTarget;
    if (!requirements.preferredTarget && m_placed) {
        requirements.preferredTarget = m_placed->target;
    }
    const std::vector<PromptPart> &parts = m_request.prompt.parts;
    if (parts.size() > 1) {
        std::string sharedPrefix;
        for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
            sharedPrefix += parts[index].id + ',';
            requirements.sharedTokens += parts[index].tokens;
        }
        requirements.cacheKey = stableHash(sharedPrefix);
    }
    return requirements;
}

// Large results are produced near the target that will fetch them. A stage with large inputs runs in the domain that stores them,
// because each of its pieces fetches all inputs.
std::optional<FailureDomain> RelayMachine::preferredDomainFor(std::size_t stage, MonotonicTime now)
{
    if (m_plan.stage(stage).resultBytes >= LARGE_INPUT_BYTES) {
        return m_context.targets.likelyDomain(targetRequirements(), now);
    }
    return m_plan.inputBytes(stage) >= LARGE_INPUT_BYTES ? mostCommonDomain(m_plan.inputResults(stage)) : std::nullopt;
}

// States what moves between domains if a piece leaves the preferred one, and where it may go.
void RelayMachine::describeTransfer(PieceOrder &order, std::size_t stage) const
{
    if (m_plan.stage(stage).resultBytes < LARGE_INPUT_BYTES) {
        order.inputBytes = m_plan.inputBytes(stage);
    }
    order.allowedRegions = m_request.route->allowedRegions;
}

std::optional<FailureDomain> RelayMachine::inputDomain() const
{
    const std::optional<std::size_t> stage = m_plan.largestFinalStage();
    if (!stage || m_plan.stage(*stage).resultBytes < LARGE_INPUT_BYTES) {
        return std::nullopt;
    }
    return mostCommonDomain(m_plan.finalResults());
}

// Failure domain that stores most of the results.
std::optional<FailureDomain> RelayMachine::mostCommonDomain(const std::vector<StageResult> &results) const
{
    std::map<FailureDomain, int> counts;
    for (const StageResult &result : results) {
        const std::optional<TargetRecord> producer = m_context.targets.find(result.target);
        if (producer) {
            ++counts[producer->failureDomain];
        }
    }
    const auto most =
        std::max_element(counts.begin(), counts.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    return most == counts.end() ? std::nullopt : std::optional(most->first);
}

bool RelayMachine::isStopped(MonotonicTime now) const
{
    return m_isTrial ? !m_triedTargets.empty() : m_context.crashes.isBanned(m_suspects, now);
}

void RelayMachine::refuseBanned(RelayActions &actions, MonotonicTime now)
{
    const std::optional<CrashBan> ban = m_context.crashes.findBan(m_suspects, now);
    const bool isPart = ban && ban->isPart;
    fallBackOrGiveUp(
        isPart ? GiveUpCause::PromptPartBanned : GiveUpCause::Banned, banDetail(now), isPart ? RETRY_BANNED_PART : RETRY_BANNED, actions);
}

std::string RelayMachine::banDetail(MonotonicTime now) const
{
    const std::optional<CrashBan> ban = m_context.crashes.findBan(m_suspects, now);
    if (!ban) {
        return {};
    }
    return std::string(ban->isPart ? "part=" : "fingerprint=") + hexText(ban->fingerprint.value())
        + " crashes=" + std::to_string(ban->crashes);
}

bool RelayMachine::tryAcquireRetry(MonotonicTime now)
{
    return attemptsUsed() < static_cast<std::size_t>(m_request.route->maxAttempts) && now + MIN_USEFUL_TIME < m_request.endsAt()
        && m_context.retries.tryConsume(m_request.service, m_context.vmCount, now);
}

void RelayMachine::recordCompletion(const ResponseHead &head, const TargetRecord &target, MonotonicTime now)
{
    if (head.hasOpenEnd) {
        m_context.crashes.recordOpenEnd(m_suspects, target, now);
    } else {
        m_context.crashes.recordCompletion(m_suspects, now);
    }
}

void RelayMachine::endAttempt(AttemptResult result, MonotonicTime now)
{
    if (!m_attempt->receiver) {
        m_context.targets.finishAttempt(m_attempt->target.id, result, m_attempt->pendingPromptTokens, now);
    }
    if (m_attempt->placed) {
        reportPlacementEnd(result);
    }
    m_attempt.reset();
    mayBuffer(0);
}

// A target that may have read parts of the prompt before says nothing about its pace with the time to its first event.
void RelayMachine::recordEvents(std::string_view events, MonotonicTime now)
{
    if (m_attempt->receiver) {
        return;
    }
    if (m_attempt->events == 0) {
        m_attempt->firstEventAt = now;
        if (m_attempt->placed) {
            m_context.placementReports.add(*m_attempt->placed, PlacementEvent::FirstEvent, now - m_attempt->sentAt);
        }
        if (!m_attempt->isCachePreferred && !m_streamStarted && !m_request.isResumption()) {
            m_context.targets.addWorkSample(
                m_attempt->target.id, PromptWork { m_request.prompt.promptTokens }, now - m_attempt->sentAt, now);
        }
    }
    m_attempt->events += countEvents(events);
    m_attempt->lastEventAt = now;
}

void RelayMachine::recordStreamTimes(MonotonicTime now)
{
    if (m_attempt->events > MIN_PACE_EVENTS) {
        m_context.targets.addWorkSample(
            m_attempt->target.id, EventWork { m_attempt->events - 1 }, m_attempt->lastEventAt - m_attempt->firstEventAt, now);
    }
    if (m_attempt->events > 0) {
        m_context.targets.addWorkSample(m_attempt->target.id, StreamWork {}, now - m_attempt->sentAt, now);
    }
}

// The target fetches all inputs before it processes the prompt, so the stage results can be freed at the first event.
void RelayMachine::onEvents(RelayActions &actions, MonotonicTime now)
{
    if (m_attempt->pendingPromptTokens > 0) {
        m_context.targets.promptProcessed(m_attempt->target.id, m_attempt->pendingPromptTokens);
        m_attempt->pendingPromptTokens = 0;
    }
    if (m_streamStarted) {
        return;
    }
    m_streamStarted = true;
    m_streamType = contentTypeOf(*m_attempt->head);
    logDecision(actions,
                "first event",
                receiverText() + " since_sent_ms=" + millisecondsText(now - m_attempt->sentAt)
                    + " since_arrival_ms=" + millisecondsText(now - m_request.arrivedAt));
    actions.emplace_back(ForwardHead { *m_attempt->head });
    std::vector<StageResult> fetched = m_plan.takeAllResults();
    if (!fetched.empty()) {
        m_inputsFreed = true;
        actions.emplace_back(FreeResults { std::move(fetched) });
    }
}

void RelayMachine::onCompleteResponse(RelayActions &actions, MonotonicTime now)
{
    ResponseHead head = std::move(*m_attempt->head);
    std::string body = std::move(m_attempt->body);
    if (m_attempt->receiver) {
        // The other daemon has decided about retries.
        endAttempt(AttemptResult::Succeeded, now);
        finish(ForwardResponse { std::move(head), std::move(body) }, actions);
        return;
    }
    const bool isFailure = head.status >= STATUS_SERVER_ERROR;
    m_context.targets.addLatencySample(m_attempt->target.id, now - m_attempt->sentAt);
    if (!isFailure) {
        recordCompletion(head, m_attempt->target, now);
    }
    if (!isFailure && m_request.route->kind != RouteKind::Stream) {
        m_context.targets.addWorkSample(m_attempt->target.id, AnswerWork {}, now - m_attempt->sentAt, now);
    }
    endAttempt(isFailure ? AttemptResult::Errored : AttemptResult::Succeeded, now);
    m_runState = RunState::MayHaveRun;
    if (isFailure && m_request.route->isRepeatable() && tryAcquireRetry(now)) {
        logDecision(actions, "retrying on another target", "status=" + std::to_string(head.status));
        m_fallback = Fallback { std::move(head), std::move(body) };
        mayBuffer(0);
        send(actions, now);
        return;
    }
    finish(ForwardResponse { std::move(head), std::move(body) }, actions);
}

void RelayMachine::onNotRun(RelayActions &actions, MonotonicTime now)
{
    const unsigned status = m_attempt->head->status;
    const TargetId target = m_attempt->target.id;
    endAttempt(AttemptResult::Refused, now);
    logDecision(actions, "target did not run the request", "target=" + target.value() + " status=" + std::to_string(status));
    if (status == STATUS_CONFLICT && m_plan.size() > 0 && m_stageRestarts < MAX_STAGE_RESTARTS && !m_streamStarted) {
        restartStages(actions, now);
        return;
    }
    // The target that was meant has not received the request.
    if (status == STATUS_MISDIRECTED) {
        m_triedTargets.erase(target);
        ++m_connectFailures;
    }
    if (m_connectFailures < MAX_CONNECT_FAILURES && tryAcquireRetry(now)) {
        send(actions, now);
        return;
    }
    fallBackOrGiveUp(GiveUpCause::TargetRefused, "status " + std::to_string(status), RETRY_SOON, actions);
}

void RelayMachine::onResponseLost(GiveUpCause cause, const std::string &detail, RelayActions &actions, MonotonicTime now)
{
    m_runState = RunState::MayHaveRun;
    const std::string inputs = receiverText() + " since_sent_ms=" + millisecondsText(now - m_attempt->sentAt)
        + " connection=" + (m_request.route->isRepeatable() ? "any" : "new") + " why=" + detail;
    m_attemptsElsewhere += m_attempt->receiver ? 1 : 0;
    m_mayBeBoundElsewhere = m_mayBeBoundElsewhere || m_attempt->receiver;
    endAttempt(AttemptResult::Broken, now);
    m_framer.beginContinuation();
    logDecision(actions, "response lost", inputs);
    if (m_request.route->isRepeatable() && tryAcquireRetry(now)) {
        send(actions, now);
        return;
    }
    fallBackOrGiveUp(cause, detail, RETRY_SOON, actions);
}

// Prefers the response of an earlier attempt to a refusal, unless the stream to the caller has already started.
void RelayMachine::fallBackOrGiveUp(GiveUpCause cause, const std::string &detail, Duration retryAfter, RelayActions &actions)
{
    if (m_fallback && !m_streamStarted) {
        finish(ForwardResponse { m_fallback->head, m_fallback->body }, actions);
        return;
    }
    giveUp(cause, detail, retryAfter, actions);
}

// The owner has reserved capacity for the caller at the time that it states.
void RelayMachine::giveUpStage(std::size_t stage, PieceFailure failure, std::optional<Duration> ownerRetryAfter, RelayActions &actions)
{
    const std::string detail = "stage " + std::to_string(stage);
    if (failure != PieceFailure::Late) {
        giveUp(GiveUpCause::StagesFailed, detail, RETRY_LATER, actions);
    } else if (m_context.scheduling.usesFleetAdmission && ownerRetryAfter) {
        giveUpUntil(GiveUpCause::DeadlineUnreachable, detail, *ownerRetryAfter, actions);
    } else {
        giveUp(GiveUpCause::DeadlineUnreachable, detail, RETRY_OVERLOADED, actions);
    }
}

void RelayMachine::giveUp(GiveUpCause cause, const std::string &detail, Duration retryAfter, RelayActions &actions)
{
    giveUpUntil(cause, detail, spreadRetry(retryAfter, m_request.id), actions);
}

void RelayMachine::giveUpUntil(GiveUpCause cause, const std::string &detail, Duration retryAfter, RelayActions &actions)
{
    if (m_streamStarted) {
        finish(AbortStream {}, actions);
        return;
    }
    RefuseRequest refusal = refusalFor(cause, m_runState, retryAfter, detail);
    if (m_request.handover && m_runState == RunState::NotRun) {
        refusal.declined = declineReason(cause);
    }
    finish(std::move(refusal), actions);
}

void RelayMachine::finish(RelayAction last, RelayActions &actions)
{
    m_finished = true;
    dropPlacement();
    if (m_openOrders > 0) {
        actions.emplace_back(WithdrawPieces {});
    }
    std::vector<StageResult> results = m_plan.takeAllResults();
    if (!results.empty()) {
        actions.emplace_back(FreeResults { std::move(results) });
    }
    actions.push_back(std::move(last));
}

void RelayMachine::logDecision(RelayActions &actions, std::string decision, std::string inputs) const
{
    actions.emplace_back(LogDecision { std::move(decision), std::move(inputs) });
}

std::string_view toString(DeclineReason reason)
{
    switch (reason) {
    case DeclineReason::Blocked:
        return "blocked";
    case DeclineReason::Unreachable:
        return "unreachable";
    case DeclineReason::Unavailable:
        return "unavailable";
    }
    return "";
}

} // namespace CassiaRelay::Gateway
