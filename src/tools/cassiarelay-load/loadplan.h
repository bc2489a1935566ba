#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace CassiaRelay::Load {

/** A time in which a stream arrives faster. */
struct Burst {
    std::chrono::milliseconds from { 0 };
    std::chrono::milliseconds to { 0 };
    double factor = 1;
};

/** One organisation that calls one pipeline. */
struct StreamPlan {
    std::string name;
    std::string token;
    std::string pipeline;
    std::string directPath; ///< path on a target, for calls without a daemon
    int priorityClass = 0;
    double ratePerSecond = 1;
    std::chrono::milliseconds deadline { 1000 };
    int promptPrefixes = 1; ///< distinct prompt beginnings
    bool streamed = false;
    bool idempotencyKey = false;
    std::vector<Burst> bursts;
};

/** One arrival. */
struct Arrival {
    std::chrono::microseconds at { 0 };
    std::size_t stream = 0;
    std::string prompt;
    std::string key;
};

/** Everything that a run sends. */
struct LoadPlan {
    std::vector<StreamPlan> streams;

    /** @throws Error when the file cannot be read or a field has the wrong type */
    static LoadPlan load(const std::string &file);
    /** Poisson arrivals of every stream in the order of time; the same for the same arguments. */
    std::vector<Arrival> arrivals(std::chrono::milliseconds length, double scale, std::uint64_t seed) const;
};

} // namespace CassiaRelay::Load
