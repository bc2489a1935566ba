#include "permitmessages.h"

#include <algorithm>

namespace CassiaRelay::GatewayDaemon {

namespace {

constexpr std::int64_t MAX_PERMITS = 1000; // far more than any daemon asks for

} // namespace

Schema::TargetRateLimit toMessage(const Gateway::RateLimitReport &report, MonotonicTime now)
{
    Schema::TargetRateLimit message;
    message.target = report.target.value();
    message.startedMs = report.startedAt.time_since_epoch().count();
    message.service = report.service.value();
    message.perSecond = report.perSecond;
    message.ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(now - report.statedAt).count();
    return message;
}

Gateway::RateLimitReport fromMessage(const Schema::TargetRateLimit &message, MonotonicTime now)
{
    Gateway::RateLimitReport report;
    report.target = TargetId(message.target);
    report.startedAt = Gateway::StartTime(std::chrono::milliseconds(message.startedMs));
    report.service = Gateway::ServiceName(message.service);
    report.perSecond = message.perSecond;
    report.statedAt = now - std::chrono::milliseconds(std::max<std::int64_t>(0, message.ageMs));
    return report;
}

Schema::TargetPermits toMessage(const Gateway::RequestPermits &permits)
{
    Schema::TargetPermits message;
    message.target = permits.target.value();
    message.startedMs = permits.startedAt.time_since_epoch().count();
    message.count = permits.count;
    return message;
}

Gateway::RequestPermits fromMessage(const Schema::TargetPermits &message)
{
    return { TargetId(message.target),
             Gateway::StartTime(std::chrono::milliseconds(message.startedMs)),
             static_cast<int>(std::clamp<std::int64_t>(message.count, 0, MAX_PERMITS)) };
}

} // namespace CassiaRelay::GatewayDaemon
