#pragma once

#include <common/common.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace CassiaRelay::Gateway {

/** A group of targets that run the same kind of work. */
using ServiceName = StrongId<struct ServiceTag>;
using RouteName = StrongId<struct RouteTag>;
using Region = StrongId<struct RegionTag>;

/** What may be repeated of a request. */
enum class RouteKind {
    Safe,   ///< may run any number of times
    Unsafe, ///< runs at most once
    Stream, ///< answers with events; runs at most once unless the route is resumable
};

/** One share of the requests of a route. */
struct WeightedService {
    ServiceName service;
    double weight = 1;
};

/** Work that must be done before the request itself can run. */
struct RouteStage {
    ServiceName service;
    std::vector<std::size_t> after; ///< stages whose results are inputs of this one
    std::size_t resultBytes = 0;    ///< approximate size of one result
};

/** Where requests of one host and path prefix go, and how they are treated. */
struct Route {
    RouteName name;
    std::string host;
    std::string prefix;
    RouteKind kind = RouteKind::Unsafe;
    std::chrono::milliseconds timeout { 0 };
    std::chrono::milliseconds objective { 0 }; ///< latency up to which an answer is punctual
    int rank = 0;                              ///< urgency, 0 first
    int maxAttempts = 1;
    std::vector<WeightedService> services;
    std::vector<RouteStage> stages;
    std::vector<Region> allowedRegions; ///< empty: all
    bool isPublic = false;
    bool isResumable = false;

    /** Whether a second run of one request is allowed. */
    bool isRepeatable() const
    {
        return kind == RouteKind::Safe || (kind == RouteKind::Stream && isResumable);
    }
};

/** How one target of a stage service works. */
struct PieceCapacity {
    int slots = 1; ///< calls that run at the same time
    int queue = 0; ///< calls that wait
    int batch = 1; ///< pieces of one call
    Duration perCall {};
    Duration perPiece {};        ///< approximate
    std::size_t resultBytes = 0; ///< memory for results
    Duration resultLifetime {};  ///< time after the call until a result that nobody frees is dropped
};

struct Service {
    ServiceName name;
    double coldRate = 0; ///< requests a second that a cold target bears; 0: targets are never cold
    std::optional<PieceCapacity> pieces;
};

struct Organisation {
    OrganisationId id;
    std::vector<std::string> keys;
    std::optional<int> rank; ///< takes precedence over that of the route
};

/** What callers may send, and how long they may take. */
struct CallerLimits {
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout { 10000 };
    std::chrono::milliseconds idleTimeout { 60000 };
};

/** One version of everything that operators set. */
struct Configuration {
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Organisation> organisations;
    CallerLimits limits;
};

} // namespace CassiaRelay::Gateway
