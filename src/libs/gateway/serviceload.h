#pragma once

#include "configuration.h"

#include <map>

namespace CassiaRelay::Gateway {

/** Load of a stage service, as seen by the daemon that owns it. */
struct ServiceLoadReport {
    static constexpr std::size_t MAX_RANKS = 8; ///< ranks with a time of their own; as many as a greeting carries

    ServiceName service;
    std::vector<Duration>
        completionTimes;     ///< expected time until a new order would be complete, by rank; the last one holds for higher ranks
    std::size_t targets = 0; ///< that may be given work
    std::size_t waitingPieces = 0;
    std::optional<std::size_t> freeBytes; ///< result memory; no value if it is not limited
};

/**
 * Keeps the newest load report of each stage service, so that a daemon with few requests of its own knows the load of the whole fleet.
 *
 * Answers a burst of one kind of request that arrives at many daemons, each of which sees only a small part of it.
 */
class ServiceLoadBoard
{
public:
    static constexpr std::size_t MAX_SERVICES = 64;               ///< bound on memory; deployments have three to five stage services
    static constexpr std::chrono::milliseconds LIFETIME { 1500 }; ///< a queue grows or empties by one objective within about this time

    /** Ignored if it has no completion time. Replaces the oldest report if the board is full. */
    void put(const ServiceLoadReport &report, MonotonicTime now);
    /** Returns the expected time until a new order of this rank would be complete; no value if no recent report is known. */
    std::optional<Duration> completionTime(const ServiceName &service, int rank, MonotonicTime now) const;
    /** Returns how long ago the report of the service arrived; no value if no recent report is known. */
    std::optional<Duration> age(const ServiceName &service, MonotonicTime now) const;
    std::size_t size() const;

private:
    struct Entry {
        ServiceLoadReport report;
        MonotonicTime receivedAt;
    };

    const Entry *recentEntry(const ServiceName &service, MonotonicTime now) const;

    std::map<ServiceName, Entry> m_entries;
};

} // namespace CassiaRelay::Gateway
