#pragma once

#include "piece.h"
#include "relayrequest.h"

#include <variant>

namespace CassiaRelay::Gateway {

using AttemptNumber = int;

/** Head of what a target answered. */
struct ResponseHead {
    unsigned status = 0;
    bool isStamped = false;        ///< bears the mark without which an answer can't be passed on as a success
    bool isNotRun = false;         ///< the target states that it did not run the request
    std::vector<HttpField> fields; ///< to be passed on
};

/** Has the pieces of a stage made. */
struct OrderPieces {
    PieceOrder order;
};

/** Takes back all pieces that have been ordered and not ended. */
struct WithdrawPieces {
};

/** Frees results at the targets that hold them. */
struct FreeResults {
    std::vector<StageResult> results;
};

/** Sends the request to a target now. */
struct SendRequest {
    AttemptNumber attempt = 0;
    TargetRecord target;
    MonotonicTime deadline;
    std::vector<std::string> inputs;
    bool hasStages = false;
    std::optional<std::string> resumeAfter;
    int enginePriority = 0;
    bool onNewConnection = false; ///< so that a lost connection is never an idle one that the target closed
};

/** Closes the connection of the attempt. */
struct CancelAttempt {
    AttemptNumber attempt = 0;
};

/** Passes a whole answer on; the last action. */
struct ForwardResponse {
    ResponseHead head;
    std::string body;
};

struct ForwardHead {
    ResponseHead head;
};

struct ForwardEvents {
    std::string events;
};

/** The stream is whole; the last action. */
struct EndStream {
};

/** The stream ends early and must look so; the last action. */
struct AbortStream {
};

/** Answers for the daemon itself; the last action. */
struct RefuseRequest {
    unsigned status = 503;
    std::optional<Duration> retryAfter;
    std::string reason;
};

/** The caller has gone and nothing is answered; the last action. */
struct DropRequest {
};

/** Calls onTimer at that time; replaces an earlier one. */
struct ArmTimer {
    MonotonicTime at;
};

/** A line for the log. */
struct LogDecision {
    std::string decision;
    std::string inputs;
};

using RelayAction = std::variant<OrderPieces,
                                 WithdrawPieces,
                                 FreeResults,
                                 SendRequest,
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
