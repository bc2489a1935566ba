#pragma once

#include "configuration.h"

#include <map>

namespace CassiaRelay::Gateway {

/**
 * How long stages have taken lately, by service and rank, as the requests of one daemon saw it.
 *
 * Answers a burst at which the queue of a later stage grows: a request that would be late there is turned away before its first stage,
 * instead of holding results that then lapse. Without new samples an estimate falls back to the least time within seconds.
 */
class StageLatencyEstimator
{
public:
    void addSample(const ServiceName &service, int rank, Duration duration, MonotonicTime now);
    /** @param minimum time of one call without any wait */
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
