#pragma once

#include "configuration.h"

#include <map>

namespace CassiaRelay::Gateway {

/**
 * Estimates the duration of stages, by service and rank, from the recent requests of one daemon.
 *
 * In a burst, the queue of a later stage grows. With the estimate, the daemon can refuse a request before its first stage if it would be
 * late at a later one, instead of storing results that expire unused. Without new samples, an estimate decays within seconds to the
 * minimum passed to estimate().
 */
class StageLatencyEstimator
{
public:
    void addSample(const ServiceName &service, int rank, Duration duration, MonotonicTime now);
    /** @param minimum duration of one call without queueing */
    Duration estimate(const ServiceName &service, int rank, Duration minimum, MonotonicTime now) const;

private:
    struct Key {
        ServiceName service;
        int rank = 0;

        bool operator<(const Key &other) const
        {
            return service != other.service ? service < other.service : rank < other.rank;
        }
    };
    struct Estimate {
        Duration mean {};
        MonotonicTime updatedAt;
    };

    std::map<Key, Estimate> m_estimates;
};

} // namespace CassiaRelay::Gateway
