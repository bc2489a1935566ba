#pragma once

#include "crashtracker.h"
#include "eventframer.h"
#include "members.h"
#include "placementreports.h"
#include "reachabilitytracker.h"
#include "refusal.h"
#include "relayaction.h"
#include "responsebuffers.h"
#include "retrybudget.h"
#include "schedulingoptions.h"
#include "serviceload.h"
#include "stagelatencyestimator.h"
#include "stageplan.h"
#include "targetregistry.h"

#include <optional>
#include <set>

namespace CassiaRelay::Gateway {

/** State shared by all requests of one daemon. Used only on the thread that runs the requests. */
struct RelayContext {
    TargetRegistry &targets;
    RetryBudget &retries;
    CrashTracker &crashes;
    StageLatencyEstimator &stageLatency;
    ReachabilityTracker &reachability;
    Members &members;
    int vmCount = 1; ///< daemons among which the retry budget is divided
    SchedulingOptions scheduling {};
    ServiceLoadBoard serviceLoads {};
    PlacementReports placementReports {};
    ResponseBuffers responseBuffers {};
};

/** Why an attempt ended without a complete response. */
enum class AttemptFailure {
    NotSent,        ///< no byte of the request was written
    Withheld,       ///< not written, because the target may not get the request any more
    Refused,        ///< nothing listens at the address of the target; no byte of the request was written
    ConnectionLost, ///< the target closed the connection after part of the request was written
    Unresponsive,   ///< the connection was given up because nothing came from the other end; part of the request was written
    TimedOut,       ///< no response in time
    InvalidResponse,
};

/**
 * Runs one request: first its stages, then the request itself, on one target after another up to the attempt limit of its route.
 * When this daemon reaches no target of the service, the request is handed over to another daemon.
 *
 * Performs no I/O: each call returns the actions to perform. An action documented as the last one ends the request; none follows it.
 */
class RelayMachine
{
public:
    RelayMachine(RelayRequest request, RelayContext &context);

    /** Starts the request, or the part of a stream that follows the caller's last event. */
    RelayActions start(MonotonicTime now);
    /** Binds a stream to its origin. */
    void setOrigin(const StreamOrigin &origin);
    /** A stream that has begun ends if nobody can tell where. */
    RelayActions onOrigin(const FoundOrigin &found, MonotonicTime now);
    RelayActions onStageFinished(std::size_t stage, const std::vector<PieceCompletion> &completions, MonotonicTime now);
    /** The issuer has answered or can't be asked; permits that it issued are known to the target registry. */
    RelayActions onPermits(MonotonicTime now);
    /** @param placed no value if the owner of the service can't be asked or selects none */
    RelayActions onPlacement(const std::optional<PlacedTarget> &placed, MonotonicTime now);
    RelayActions onHead(AttemptNumber attempt, ResponseHead head, MonotonicTime now);
    RelayActions onBody(AttemptNumber attempt, std::string_view bytes, MonotonicTime now);
    RelayActions onFinished(AttemptNumber attempt, MonotonicTime now);
    RelayActions onFailed(AttemptNumber attempt, AttemptFailure failure, const std::string &detail, MonotonicTime now);
    /** The daemon that the request was handed over to has not run it and will not. */
    RelayActions onDeclined(AttemptNumber attempt, DeclineReason reason, MonotonicTime now);
    RelayActions onTimer(MonotonicTime now);
    RelayActions onCallerGone(MonotonicTime now);
    /** Ends the request because the process is about to exit: refuses it, or aborts its stream. */
    RelayActions onShutdown(MonotonicTime now);

    const RelayRequest &request() const;
    /** What the stream is bound to; no value before it is sent to a target, and for requests that are not bound. */
    std::optional<StreamOrigin> origin() const;
    bool isFinished() const;

private:
    /** The attempt in progress. */
    struct Attempt {
        AttemptNumber number = 0;
        TargetRecord target;
        std::optional<VmId> receiver; ///< daemon that the request was handed over to; there is no target then
        MonotonicTime sentAt;
        std::optional<ResponseHead> head;
        std::string body;                     ///< buffered body of a response that is not a stream
        std::int64_t pendingPromptTokens = 0; ///< prompt tokens still counted in the load of the target as unprocessed
        bool isCachePreferred = false;        ///< the target may have the shared parts of the prompt in its cache
        std::optional<PlacedTarget> placed;   ///< set if the owner of the service has selected the target
        MonotonicTime firstEventAt;
        MonotonicTime lastEventAt;
        int events = 0; ///< received from this target
    };
    /** Server error response of a target; forwarded when no target can take the retry, or the retry is refused or its response lost. */
    struct Fallback {
        ResponseHead head;
        std::string body;
    };

    bool isCurrent(AttemptNumber attempt) const;
    bool isAllowedAgain(const TargetRecord &target) const;
    bool forwardsEvents() const;
    /** @param bytes of the current response. Returns false if it has become too long. */
    bool mayBuffer(std::size_t bytes);
    /** Whether the stream may have begun at a version that is not known here. */
    bool lacksOrigin() const;
    void findOrigin(RelayActions &actions) const;
    void begin(RelayActions &actions, MonotonicTime now);
    void orderReadyStages(RelayActions &actions, MonotonicTime now);
    void restartStages(RelayActions &actions, MonotonicTime now);
    Duration minTimeAfter(std::size_t stage) const;
    Duration expectedTimeAfter(std::size_t stage, MonotonicTime now) const;
    /** Returns the expected time of one stage, from the owner's report if fleet admission is on and there is one. */
    Duration expectedStageTime(std::size_t stage, MonotonicTime now) const;
    MonotonicTime stageSoftDeadline(std::size_t stage, MonotonicTime now) const;
    /** Returns the expected time until a target starts the request; no value if that is before the request ends. */
    std::optional<Duration> startAfterDeadline(MonotonicTime now) const;
    void giveUpStage(std::size_t stage, PieceFailure failure, std::optional<Duration> ownerRetryAfter, RelayActions &actions);
    Duration minStageTime(std::size_t stage) const;
    Duration expectedTimeThrough(std::size_t stage, MonotonicTime now) const;
    Duration expectedTotalStageTime(MonotonicTime now) const;
    void send(RelayActions &actions, MonotonicTime now);
    void sendElsewhere(GiveUpCause cause, const std::string &detail, Duration retryAfter, RelayActions &actions, MonotonicTime now);
    std::optional<DeclineReason> declineReason(GiveUpCause cause) const;
    /** Hands the request over, or refuses it, if its service is blocked. Returns false if it is to be sent to a target from here. */
    bool redirect(RelayActions &actions, MonotonicTime now);
    bool handOver(RelayActions &actions, MonotonicTime now);
    bool isAllowedReceiver(const Member &member) const;
    std::size_t attemptsUsed() const;
    std::string receiverText() const;
    void sendTo(const TargetRecord &target, RelayActions &actions, MonotonicTime now);
    bool asksForPlacement() const;
    PlacementOrder placementOrder(MonotonicTime now) const;
    void reportPlacementEnd(AttemptResult result);
    void dropPlacement();
    void recordEvents(std::string_view events, MonotonicTime now);
    void recordStreamTimes(MonotonicTime now);
    TargetRequirements targetRequirements() const;
    std::optional<FailureDomain> preferredDomainFor(std::size_t stage, MonotonicTime now);
    void describeTransfer(PieceOrder &order, std::size_t stage) const;
    std::optional<FailureDomain> inputDomain() const;
    std::optional<FailureDomain> mostCommonDomain(const std::vector<StageResult> &results) const;
    /** Whether the request must not be sent to a target any more because it has crashed targets. */
    bool isStopped(MonotonicTime now) const;
    void refuseBanned(RelayActions &actions, MonotonicTime now);
    std::string banDetail(MonotonicTime now) const;
    bool tryAcquireRetry(MonotonicTime now);
    void recordCompletion(const ResponseHead &head, const TargetRecord &target, MonotonicTime now);
    void endAttempt(AttemptResult result, MonotonicTime now);
    void onEvents(RelayActions &actions, MonotonicTime now);
    void onCompleteResponse(RelayActions &actions, MonotonicTime now);
    void onNotRun(RelayActions &actions, MonotonicTime now);
    void onResponseLost(GiveUpCause cause, const std::string &detail, RelayActions &actions, MonotonicTime now);
    /** @param retryAfter changed at random, so that rejected callers do not retry together */
    void giveUp(GiveUpCause cause, const std::string &detail, Duration retryAfter, RelayActions &actions);
    /** @param retryAfter told to the caller as it is */
    void giveUpUntil(GiveUpCause cause, const std::string &detail, Duration retryAfter, RelayActions &actions);
    void fallBackOrGiveUp(GiveUpCause cause, const std::string &detail, Duration retryAfter, RelayActions &actions);
    void finish(RelayAction last, RelayActions &actions);
    void logDecision(RelayActions &actions, std::string decision, std::string inputs) const;

    RelayRequest m_request;
    CrashSuspects m_suspects; ///< what a crash of the request's target may be due to
    RelayContext &m_context;
    StagePlan m_plan;
    std::size_t m_openOrders = 0;
    std::vector<MonotonicTime> m_orderedAt; ///< time of the latest order, by stage
    int m_stageRestarts = 0;
    std::optional<Attempt> m_attempt;
    AttemptNumber m_attemptCount = 0;
    int m_connectFailures = 0;
    int m_attemptsElsewhere = 0;         ///< by other daemons
    std::set<VmId> m_triedReceivers;     ///< daemons to which the request was handed over
    std::set<TargetId> m_triedTargets;   ///< targets that may have received part of the request
    std::set<TargetId> m_avoidedTargets; ///< targets that later attempts avoid: tried or unreachable
    RunState m_runState = RunState::NotRun;
    std::optional<Fallback> m_fallback;
    std::string m_streamType; ///< content type of the stream to the caller
    ResponseBuffer m_buffer;  ///< taken by the current response and the fallback
    EventFramer m_framer;
    std::optional<std::string> m_softwareVersion; ///< version of all targets of a resumable stream, once the first one is chosen
    std::optional<TargetId> m_permitTarget;       ///< target for which permits were requested, until a target is chosen
    std::optional<PlacedTarget> m_placed;         ///< selected by the owner of the service, until a target is chosen
    bool m_isPlacementAsked = false;              ///< for the next attempt
    bool m_inputsFreed = false;                   ///< the stage results were freed at the first event
    bool m_isTrial = false;                       ///< banned, and let through to a single target
    bool m_streamStarted = false;
    bool m_mayBeBoundElsewhere = false; ///< a daemon that was lost may have sent the stream to a target
    bool m_finished = false;
};

/** Text for the log and for other daemons. */
std::string_view toString(DeclineReason reason);

} // namespace CassiaRelay::Gateway
