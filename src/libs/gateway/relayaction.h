#pragma once

#include "members.h"
#include "piece.h"
#include "placementorder.h"
#include "relayrequest.h"
#include "streamdirectory.h"

#include <variant>

namespace CassiaRelay::Gateway {

using AttemptNumber = int;

/** Why a daemon does not run a request that another one has handed over. */
enum class DeclineReason {
    Blocked,     ///< it reaches no target of the service
    Unreachable, ///< it has not reached those that it tried
    Unavailable, ///< it is shutting down, or has no configuration as new as that of the other daemon
};

/** Status and header fields of a target's response. */
struct ResponseHead {
    unsigned status = 0;
    bool isStamped = false;                ///< carries the response stamp, without which a success is not forwarded
    bool isNotRun = false;                 ///< the target states that it did not run the request
    bool hasOpenEnd = false;               ///< has neither a length nor chunks and ends with its connection
    std::vector<HttpField> fields;         ///< header fields to forward
    std::optional<StreamOrigin> origin {}; ///< named by another daemon that relays the stream
};

/** Submits the pieces of one stage. */
struct OrderPieces {
    PieceOrder order;
};

/** Withdraws all ordered pieces that have not finished. */
struct WithdrawPieces {
};

/** Frees results at the targets that store them. */
struct FreeResults {
    std::vector<StageResult> results;
};

/** Remembers where a stream began, here and at other daemons. */
struct RecordStream {
    RequestId stream;
    StreamOrigin origin;
};

/** What is known of where a stream began. */
struct FoundOrigin {
    std::optional<StreamOrigin> origin;
    bool isFinal = true; ///< false if daemons that may know more have not answered
};

/** Finds out where the stream began, then calls RelayMachine::onOrigin(). */
struct FindOrigin {
    std::optional<RequestId> stream;    ///< request that brought its first event, if it is known
    std::optional<ServiceName> service; ///< that must have run it; no value if there are several
};

/** Sends the request to a target. */
struct SendRequest {
    AttemptNumber attempt = 0;
    TargetRecord target;
    MonotonicTime deadline;
    std::vector<std::string> inputs;
    bool hasStages = false;
    std::optional<std::string> resumeAfter;
    int enginePriority = 0;
    bool onNewConnection = false;       ///< no reuse: the target might close an idle connection just as the request is sent
    std::size_t maxIdleConnections = 0; ///< to this target, after the response
};

/** Hands the request over to another daemon, whose response is that of an attempt, or RelayMachine::onDeclined(). */
struct HandOverRequest {
    AttemptNumber attempt = 0;
    Member receiver;
    MonotonicTime deadline;
    Handover handover;
    std::optional<std::string> resumeAfter; ///< id of the last event of a stream that has begun here
    bool onNewConnection = false;           ///< no reuse: an idle connection might be closed just as the request is sent
};

/** Gets permits for the targets of the service from another daemon, then calls RelayMachine::onPermits(). */
struct RequestPermitsFor {
    ServiceName service;
};

/** Asks the owner of the service for a target, then calls RelayMachine::onPlacement(). */
struct RequestPlacement {
    PlacementOrder order;
};

/** Closes the connection of the attempt. */
struct CancelAttempt {
    AttemptNumber attempt = 0;
};

/** Forwards a complete response; the last action. */
struct ForwardResponse {
    ResponseHead head;
    std::string body;
};

/** Starts the stream to the caller. */
struct ForwardHead {
    ResponseHead head;
};

/** Forwards complete events. */
struct ForwardEvents {
    std::string events;
};

/** Ends a complete stream; the last action. */
struct EndStream {
};

/** Aborts the stream so that the caller notices that it is incomplete; the last action. */
struct AbortStream {
};

/** Responds with a refusal by the daemon itself; the last action. */
struct RefuseRequest {
    unsigned status = 503;
    std::optional<Duration> retryAfter;
    std::string reason;
    std::optional<DeclineReason> declined = std::nullopt; ///< set if the daemon that handed the request over may place it elsewhere
};

/** Ends a request whose caller has disconnected, without a response; the last action. */
struct DropRequest {
};

/** Calls RelayMachine::onTimer() at the given time; replaces an earlier timer. */
struct ArmTimer {
    MonotonicTime at;
};

/** Logs a decision with the values that it is based on. */
struct LogDecision {
    std::string decision;
    std::string inputs;
};

using RelayAction = std::variant<OrderPieces,
                                 WithdrawPieces,
                                 FreeResults,
                                 RequestPermitsFor,
                                 RequestPlacement,
                                 RecordStream,
                                 FindOrigin,
                                 SendRequest,
                                 HandOverRequest,
                                 CancelAttempt,
                                 ForwardResponse,
                                 ForwardHead,
                                 ForwardEvents,
                                 EndStream,
                                 AbortStream,
                                 RefuseRequest,
                                 DropRequest,
                                 ArmTimer,
                                 LogDecision>;
using RelayActions = std::vector<RelayAction>;

} // namespace CassiaRelay::Gateway
