#include "refusal.h"

namespace CassiaRelay::Gateway {

namespace {

constexpr unsigned STATUS_BAD_GATEWAY = 502;
constexpr unsigned STATUS_UNAVAILABLE = 503;
constexpr unsigned STATUS_GATEWAY_TIMEOUT = 504;
constexpr std::chrono::milliseconds RETRY_AFTER_START { 500 }; // a daemon loads its configuration within this time after its start
// While the store is down, callers that came back after 500 ms were refused a second time; most callers wait for up to 4 s.
constexpr std::chrono::milliseconds RETRY_WITHOUT_STORE { 3000 };

} // namespace

RefuseRequest refusalFor(GiveUpCause cause, RunState state, Duration retryAfter, const std::string &detail)
{
    RefuseRequest refusal;
    refusal.reason = std::string(toString(cause)) + (detail.empty() ? "" : ": " + detail);
    if (state == RunState::NotRun) {
        refusal.status = STATUS_UNAVAILABLE;
        refusal.retryAfter = retryAfter;
        return refusal;
    }
    const bool outOfTime = cause == GiveUpCause::TimedOut || cause == GiveUpCause::DeadlineUnreachable;
    refusal.status = outOfTime ? STATUS_GATEWAY_TIMEOUT : STATUS_BAD_GATEWAY;
    return refusal;
}

// Derived from the request id to be reproducible.
Duration spreadRetry(Duration time, const RequestId &request)
{
    constexpr std::uint64_t STEPS = 1024;
    const double position = static_cast<double>(stableHash(request.value()) % STEPS) / static_cast<double>(STEPS);
    return std::chrono::duration_cast<Duration>(time * (0.5 + position));
}

Duration retryWithoutConfiguration(bool isStoreAvailable, const RequestId &request)
{
    return isStoreAvailable ? RETRY_AFTER_START : spreadRetry(RETRY_WITHOUT_STORE, request);
}

std::string_view toString(GiveUpCause cause)
{
    switch (cause) {
    case GiveUpCause::NoTarget:
        return "no target may get the request now";
    case GiveUpCause::TargetRefused:
        return "the target did not take the request";
    case GiveUpCause::TargetUnreachable:
        return "no target could be reached";
    case GiveUpCause::StagesFailed:
        return "a stage could not be completed";
    case GiveUpCause::DeadlineUnreachable:
        return "the time that is left does not suffice";
    case GiveUpCause::TimedOut:
        return "the request was not answered in time";
    case GiveUpCause::IncompleteResponse:
        return "the target was lost before its answer was whole";
    case GiveUpCause::InvalidResponse:
        return "what the target sent is no whole answer to this request";
    case GiveUpCause::Banned:
        return "the request has crashed targets";
    case GiveUpCause::PromptPartBanned:
        return "requests with a part of this prompt have crashed targets";
    case GiveUpCause::UnknownOrigin:
        return "it is not known where the stream began";
    case GiveUpCause::StagesOverloaded:
        return "the stages are crowded";
    case GiveUpCause::OutOfDate:
        return "this daemon is too slow to follow the changes of configuration and targets";
    case GiveUpCause::NoConfiguration:
        return "this daemon has no configuration yet";
    case GiveUpCause::ShuttingDown:
        return "this daemon is shutting down";
    }
    return "";
}

} // namespace CassiaRelay::Gateway
