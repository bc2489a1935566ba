#include "problemdocument.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace CassiaRelay::Net {

unsigned httpStatus(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::BadRequest:
    case ErrorKind::IdempotencyKeyMissing:
        return 400;
    case ErrorKind::Unauthorized:
        return 401;
    case ErrorKind::UnknownPipeline:
        return 404;
    case ErrorKind::IdempotencyKeyReused:
        return 409;
    case ErrorKind::PayloadTooLarge:
        return 413;
    case ErrorKind::Quarantined:
        return 422;
    case ErrorKind::RateLimited:
        return 429;
    case ErrorKind::StageFailed:
    case ErrorKind::OutcomeUnknown:
        return 502;
    case ErrorKind::DeadlineExceeded:
        return 504;
    case ErrorKind::Overloaded:
    case ErrorKind::DeadlineUnreachable:
    case ErrorKind::NoTargetAvailable:
    case ErrorKind::Isolated:
    case ErrorKind::Draining:
    case ErrorKind::GrantUnavailable:
        return 503;
    case ErrorKind::CallerGone:
    case ErrorKind::SettingsInvalid:
    case ErrorKind::Internal:
        return 500;
    }
    return 500;
}

std::string problemText(const Refusal &refusal, const std::string &requestId)
{
    const nlohmann::json problem = {
        { "type", "about:blank" },
        { "title", std::string(toString(refusal.kind)) },
        { "status", httpStatus(refusal.kind) },
        { "kind", std::string(toString(refusal.kind)) },
        { "outcome", std::string(toString(refusal.outcome)) },
        { "detail", refusal.detail },
        { "remedy", std::string(remedyFor(refusal.kind)) },
        { "requestId", requestId },
    };
    return problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse problemResponse(const Refusal &refusal, const std::string &requestId)
{
    HttpResponse response;
    response.status = httpStatus(refusal.kind);
    response.contentType = "application/problem+json";
    response.body = problemText(refusal, requestId);
    if (refusal.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter);
        response.fields.push_back({ "Retry-After", std::to_string(std::max<std::int64_t>(1, seconds.count())) });
    }
    return response;
}

} // namespace CassiaRelay::Net
