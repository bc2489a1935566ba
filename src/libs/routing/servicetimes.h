#pragma once

#include "workitem.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <map>
#include <utility>

namespace CassiaRelay::Routing {

/** Median service time of each pool and priority class over the latest attempts, estimated in bounded memory. */
class ServiceTimes
{
public:
    void record(const PoolName &pool, int priorityClass, Duration time, MonotonicTime now);
    /** Empty until there are enough measurements. */
    std::optional<Duration> median(const PoolName &pool, int priorityClass) const;
    /** Sum of the median service times of the current stage and the later ones; stages without measurements count as zero. */
    Duration remaining(const WorkItem &item) const;
    /** Service time relative to the median; 1 without measurements. */
    double relativeTime(const WorkItem &item, Duration serviceTime) const;
    /** @return true if the measurements are too old to base a refusal on; the caller then runs one work item as a probe */
    bool tryStartProbe(const PoolName &pool, int priorityClass, MonotonicTime now);

private:
    using Quantile = boost::accumulators::accumulator_set<double, boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

    struct Window {
        Quantile quantile { boost::accumulators::quantile_probability = 0.5 };
        std::size_t count = 0;
    };

    struct Measurements {
        Window current;
        Window previous;
        MonotonicTime startedAt; ///< of the current window
        MonotonicTime updatedAt; ///< last measurement or probe
    };

    Measurements &measurementsOf(const PoolName &pool, int priorityClass, MonotonicTime now);

    std::map<std::pair<PoolName, int>, Measurements> m_measurements;
};

} // namespace CassiaRelay::Routing
