#pragma once

#include "relayaction.h"

namespace CassiaRelay::Gateway {

/** Why the daemon gives a request up. */
enum class GiveUpCause {
    NoTarget,
    TargetRefused,
    TargetUnreachable,
    StagesFailed,
    DeadlineUnreachable, ///< what is left of the time does not suffice
    TimedOut,
    IncompleteResponse, ///< the target was lost while it may have run the request
    InvalidResponse,    ///< what the target sent is no answer to this request
    Banned,             ///< the request crashes targets
    ShuttingDown,
    NoConfiguration,  ///< the daemon has just started
    StagesOverloaded, ///< the stages would take far longer than the objective
};

/** A new connection reaches another daemon. */
inline constexpr std::chrono::milliseconds RETRY_ELSEWHERE { 50 };

/** What is known of the attempts of a request. */
enum class RunState {
    NotRun,
    MayHaveRun,
};

/**
 * The one place that decides the status of a refusal: 503 only for a request that has not run and never will.
 *
 * @param retryAfter when callers should come back; only used when the request has not run
 */
RefuseRequest refusalFor(GiveUpCause cause, RunState state, Duration retryAfter, const std::string &detail);

std::string_view toString(GiveUpCause cause);

} // namespace CassiaRelay::Gateway
