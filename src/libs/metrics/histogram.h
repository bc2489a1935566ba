#pragma once

#include <common/common.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <mutex>

namespace CassiaRelay::Metrics {

/** Upper bounds of the buckets; one more bucket holds what is longer. */
inline constexpr std::array<std::chrono::microseconds, 16> BUCKET_BOUNDS {
    std::chrono::microseconds(500), std::chrono::milliseconds(1),   std::chrono::microseconds(2500), std::chrono::milliseconds(5),
    std::chrono::milliseconds(10),  std::chrono::milliseconds(25),  std::chrono::milliseconds(50),   std::chrono::milliseconds(100),
    std::chrono::milliseconds(250), std::chrono::milliseconds(500), std::chrono::seconds(1),         std::chrono::milliseconds(2500),
    std::chrono::seconds(5),        std::chrono::seconds(10),       std::chrono::seconds(30),        std::chrono::seconds(60),
};
/** Quantiles that every histogram estimates. */
inline constexpr std::array<double, 3> QUANTILES { 0.5, 0.9, 0.99 };

/** What a histogram holds at one moment. */
struct HistogramSummary {
    std::uint64_t count = 0;
    Duration sum {};
    Duration max {};
    std::array<Duration, QUANTILES.size()> quantiles {};
    std::array<std::uint64_t, BUCKET_BOUNDS.size() + 1> buckets {}; ///< samples in each bucket, not cumulative
};

/** Distribution of durations; safe from any thread. */
class Histogram
{
public:
    Histogram();

    void record(Duration duration);
    HistogramSummary summary() const;

private:
    using Accumulator = boost::accumulators::accumulator_set<double,
                                                             boost::accumulators::stats<boost::accumulators::tag::count,
                                                                                        boost::accumulators::tag::sum,
                                                                                        boost::accumulators::tag::max,
                                                                                        boost::accumulators::tag::extended_p_square>>;

    mutable std::mutex m_mutex;
    Accumulator m_accumulator;
    std::array<std::uint64_t, BUCKET_BOUNDS.size() + 1> m_buckets {};
};

} // namespace CassiaRelay::Metrics
