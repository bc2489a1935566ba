#pragma once

#include <common/common.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace CassiaRelay::Gateway {

/** Name of a group of targets that run the same kind of work. */
using ServiceName = StrongId<struct ServiceTag>;
using RouteName = StrongId<struct RouteTag>;
using Region = StrongId<struct RegionTag>;

/** Whether a request may run more than once. */
enum class RouteKind {
    Safe,   ///< may run any number of times
    Unsafe, ///< runs at most once
    Stream, ///< responds with events; runs at most once unless the route is resumable
};

/** A service that receives a share of the requests of a route. */
struct WeightedService {
    ServiceName service;
    double weight = 1;
};

/** Work that must complete before the request itself can run. */
struct RouteStage {
    ServiceName service;
    std::vector<std::size_t> after; ///< stages whose results are inputs of this one
    std::size_t resultBytes = 0;    ///< approximate size of one result
};

/** Where requests of one host and path prefix are sent, and how they are handled. */
struct Route {
    RouteName name;
    std::string host;
    std::string prefix;
    RouteKind kind = RouteKind::Unsafe;
    std::chrono::milliseconds timeout { 0 };
    std::chrono::milliseconds objective { 0 }; ///< latency up to which a response is on time
    std::chrono::milliseconds maxPause { 0 };  ///< between events, up to which a response is on time; 0: not limited
    int rank = 0;                              ///< priority class, 0 first
    int maxAttempts = 1;
    std::vector<WeightedService> services;
    std::vector<RouteStage> stages;
    std::vector<Region> allowedRegions; ///< empty: all regions
    bool isPublic = false;
    bool isResumable = false;

    bool sendsTo(const ServiceName &service) const
    {
        return std::any_of(services.begin(), services.end(), [&service](const WeightedService &weighted) {
            return weighted.service == service && weighted.weight > 0;
        });
    }
    /** Whether a request may run a second time. */
    bool isRepeatable() const
    {
        return kind == RouteKind::Safe || (kind == RouteKind::Stream && isResumable);
    }
};

/** Capacity of one target of a stage service. */
struct PieceCapacity {
    int slots = 1;               ///< concurrent calls
    int queue = 0;               ///< queued calls
    int batch = 1;               ///< maximum pieces per call
    Duration perCall {};         ///< fixed time of a call
    Duration perPiece {};        ///< approximate time for each piece
    std::size_t resultBytes = 0; ///< memory for results, in bytes
    Duration resultLifetime {};  ///< time after the call until a result that is not freed is dropped
    /** Rate of the link of a target; 0 if unknown. */
    double linkBytesPerSecond = 0;
};

struct Service {
    ServiceName name;
    double coldRate = 0;               ///< requests per second that a cold target can handle; 0: targets are never cold
    std::optional<int> maxConnections; ///< that one target accepts from all daemons together; more are reset
    std::optional<PieceCapacity> pieces;
};

struct Organisation {
    OrganisationId id;
    std::vector<std::string> keys;
    std::optional<int> rank; ///< overrides the rank of the route
};

/** Limits on the size and duration of requests from callers. */
struct CallerLimits {
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout { 10000 };
    std::chrono::milliseconds idleTimeout { 60000 };
};

/** One version of the configuration that operators publish. */
struct Configuration {
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Organisation> organisations;
    CallerLimits limits;
};

} // namespace CassiaRelay::Gateway
