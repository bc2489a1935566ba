#include "error.h"

#include <utility>

namespace CassiaRelay {

std::string_view toString(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::BadRequest:
        return "bad-request";
    case ErrorKind::Unauthorized:
        return "unauthorized";
    case ErrorKind::UnknownPipeline:
        return "unknown-pipeline";
    case ErrorKind::PayloadTooLarge:
        return "payload-too-large";
    case ErrorKind::IdempotencyKeyMissing:
        return "idempotency-key-missing";
    case ErrorKind::IdempotencyKeyReused:
        return "idempotency-key-reused";
    case ErrorKind::RateLimited:
        return "rate-limited";
    case ErrorKind::Overloaded:
        return "overloaded";
    case ErrorKind::DeadlineUnreachable:
        return "deadline-unreachable";
    case ErrorKind::DeadlineExceeded:
        return "deadline-exceeded";
    case ErrorKind::NoTargetAvailable:
        return "no-target-available";
    case ErrorKind::StageFailed:
        return "stage-failed";
    case ErrorKind::Quarantined:
        return "quarantined";
    case ErrorKind::Isolated:
        return "isolated";
    case ErrorKind::Draining:
        return "draining";
    case ErrorKind::GrantUnavailable:
        return "grant-unavailable";
    case ErrorKind::OutcomeUnknown:
        return "outcome-unknown";
    case ErrorKind::CallerGone:
        return "caller-gone";
    case ErrorKind::SettingsInvalid:
        return "settings-invalid";
    case ErrorKind::Internal:
        return "internal";
    }
    return "internal";
}

std::string_view toString(Outcome outcome)
{
    return outcome == Outcome::NotRun ? "not_run" : "unknown";
}

std::string_view remedyFor(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::BadRequest:
        return "correct the request as the detail says and send it again";
    case ErrorKind::Unauthorized:
        return "send 'Authorization: Bearer TOKEN' with a token of your organisation";
    case ErrorKind::UnknownPipeline:
        return "use the name of a pipeline in the fleet configuration";
    case ErrorKind::PayloadTooLarge:
        return "send a smaller body or header";
    case ErrorKind::IdempotencyKeyMissing:
        return "send an Idempotency-Key header, the same one each time this request is sent again";
    case ErrorKind::IdempotencyKeyReused:
        return "use a new Idempotency-Key for a different body";
    case ErrorKind::RateLimited:
        return "send again after the time in Retry-After, or ask the operators for a higher limit";
    case ErrorKind::Overloaded:
        return "send again after the time in Retry-After";
    case ErrorKind::DeadlineUnreachable:
        return "send again after the time in Retry-After, with a longer Request-Timeout-Ms if you can wait";
    case ErrorKind::DeadlineExceeded:
        return "send again with a longer Request-Timeout-Ms";
    case ErrorKind::NoTargetAvailable:
        return "send again after the time in Retry-After; operators: see 'cassiarelay targets'";
    case ErrorKind::StageFailed:
        return "send again; operators: see 'cassiarelay request ID'";
    case ErrorKind::Quarantined:
        return "do not send this request again; it stopped the targets that ran it";
    case ErrorKind::Isolated:
        return "send again to another VM; this one has lost the platform and most of its cell";
    case ErrorKind::Draining:
        return "send again; the balancer will choose another VM";
    case ErrorKind::GrantUnavailable:
        return "send again with the same Idempotency-Key after the time in Retry-After";
    case ErrorKind::OutcomeUnknown:
        return "find out from the service whether the request took effect before you send it under a new key";
    case ErrorKind::CallerGone:
        return "keep the connection open until the answer is complete";
    case ErrorKind::SettingsInvalid:
        return "correct the fields that the message names";
    case ErrorKind::Internal:
        return "report this with the request id to the operators";
    }
    return "report this with the request id to the operators";
}

Error::Error(ErrorKind kind, const std::string &message, std::string remedy)
    : std::runtime_error(message)
    , m_kind(kind)
    , m_remedy(remedy.empty() ? std::string(remedyFor(kind)) : std::move(remedy))
{
}

ErrorKind Error::kind() const
{
    return m_kind;
}

const std::string &Error::remedy() const
{
    return m_remedy;
}

} // namespace CassiaRelay
