#pragma once

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace CassiaRelay {

/** What went wrong, as callers and operators see it; each kind has a fixed remedy. */
enum class ErrorKind {
    BadRequest,
    Unauthorized,
    UnknownPipeline,
    PayloadTooLarge,
    IdempotencyKeyMissing,
    IdempotencyKeyReused,
    RateLimited,
    Overloaded,
    DeadlineUnreachable,
    DeadlineExceeded,
    NoTargetAvailable,
    StageFailed,
    Quarantined,
    Isolated,
    Draining,
    GrantUnavailable,
    OutcomeUnknown,
    CallerGone,
    SettingsInvalid,
    Internal,
};

/** Whether any non-repeatable stage of the request can have run. */
enum class Outcome {
    NotRun,
    Unknown,
};

std::string_view toString(ErrorKind kind);
std::string_view toString(Outcome outcome);
/** What the reader of the error can do about it. */
std::string_view remedyFor(ErrorKind kind);

/** The final negative answer to a request. */
struct Refusal {
    ErrorKind kind = ErrorKind::Internal;
    Outcome outcome = Outcome::NotRun;
    std::string detail;
    std::optional<std::chrono::milliseconds> retryAfter;
};

/** Base of all exceptions of the project. */
class Error : public std::runtime_error
{
public:
    /** remedy defaults to that of the kind. */
    Error(ErrorKind kind, const std::string &message, std::string remedy = {});

    ErrorKind kind() const;
    const std::string &remedy() const;

private:
    ErrorKind m_kind;
    std::string m_remedy;
};

} // namespace CassiaRelay
