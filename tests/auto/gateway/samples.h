#pragma once

#include <gateway/gateway.h>

namespace CassiaRelay::Gateway::Samples {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline const MonotonicTime START = MonotonicTime() + std::chrono::hours(1);

inline TargetRecord target(const std::string &id, const std::string &service, const std::string &domain = "a")
{
    TargetRecord record;
    record.id = TargetId(id);
    record.service = ServiceName(service);
    record.endpoint = { "127.0.0.1", 8000 };
    record.failureDomain = FailureDomain(domain);
    record.startedAt = StartTime(milliseconds(1));
    record.slots = 8;
    return record;
}

inline Route route(RouteKind kind, int maxAttempts = 1)
{
    Route result;
    result.name = RouteName("route");
    result.host = "host.example";
    result.prefix = "/jobs/";
    result.kind = kind;
    result.timeout = seconds(10);
    result.objective = seconds(2);
    result.maxAttempts = maxAttempts;
    result.services = { { ServiceName("engine"), 1 } };
    return result;
}

inline Service stageService(const std::string &name)
{
    Service service;
    service.name = ServiceName(name);
    service.pieces = PieceCapacity { 1, 2, 10, milliseconds(240), milliseconds(10), 10'000'000, seconds(4) };
    return service;
}

} // namespace CassiaRelay::Gateway::Samples
