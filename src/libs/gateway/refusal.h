#pragma once

#include "relayaction.h"

namespace CassiaRelay::Gateway {

/** Why the daemon gives up a request. */
enum class GiveUpCause {
    NoTarget,
    TargetRefused,
    TargetUnreachable,
    StagesFailed,
    DeadlineUnreachable, ///< the remaining time is too short
    TimedOut,
    IncompleteResponse, ///< the target was lost before its response was complete; it may have run the request
    InvalidResponse,    ///< the target did not send a valid response to this request
    Banned,             ///< the request has repeatedly crashed targets
    PromptPartBanned,   ///< targets have crashed under requests with a part of the prompt
    ShuttingDown,
    OutOfDate,        ///< the daemon is too slow to follow the changes of configuration and targets
    NoConfiguration,  ///< the daemon has not read its configuration since it started
    UnknownOrigin,    ///< nobody knows at which software version the stream that the caller resumes began
    StagesOverloaded, ///< the stages are expected to take far longer than the objective
};

/** Retry delay when another daemon can accept the request: a new connection of the caller reaches a different daemon. */
inline constexpr std::chrono::milliseconds RETRY_ELSEWHERE { 50 };

/** Whether a target may have run the request. */
enum class RunState {
    NotRun,
    MayHaveRun,
};

/**
 * Creates a refusal. Its status is decided only here: 503 is used only for a request that has not run and never will.
 *
 * @param retryAfter when the caller should retry; only used when the request has not run
 */
RefuseRequest refusalFor(GiveUpCause cause, RunState state, Duration retryAfter, const std::string &detail);

/** Spreads the retries of callers that are refused together over 0.5 to 1.5 times the given time. */
Duration spreadRetry(Duration time, const RequestId &request);

/**
 * When to retry a request that came before the daemon had read a configuration.
 * @param isStoreAvailable whether the last call to the store was answered
 */
Duration retryWithoutConfiguration(bool isStoreAvailable, const RequestId &request);

std::string_view toString(GiveUpCause cause);

} // namespace CassiaRelay::Gateway
