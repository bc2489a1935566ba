#include "histogram.h"

#include <algorithm>

namespace CassiaRelay::Metrics {

namespace accumulators = boost::accumulators;

namespace {

using Seconds = std::chrono::duration<double>;

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

std::size_t bucketOf(Duration duration)
{
    return static_cast<std::size_t>(std::lower_bound(BUCKET_BOUNDS.begin(), BUCKET_BOUNDS.end(), duration) - BUCKET_BOUNDS.begin());
}

// The P-square estimator needs one sample for each of its markers.
bool isEstimated(std::uint64_t count)
{
    constexpr std::uint64_t MARKERS = 2 * QUANTILES.size() + 3;
    return count >= MARKERS;
}

// Upper bound of the bucket that holds the quantile.
Duration quantileFromBuckets(const HistogramSummary &summary, double quantile)
{
    const double rank = quantile * static_cast<double>(summary.count);
    std::uint64_t seen = 0;
    for (std::size_t index = 0; index < BUCKET_BOUNDS.size(); ++index) {
        seen += summary.buckets[index];
        if (static_cast<double>(seen) >= rank) {
            return std::min<Duration>(BUCKET_BOUNDS[index], summary.max);
        }
    }
    return summary.max;
}

} // namespace

Histogram::Histogram()
    : m_accumulator(accumulators::extended_p_square_probabilities = QUANTILES)
{
}

// One short critical section: each histogram has few writers at a time, because every organisation, class and stage has its own.
void Histogram::record(Duration duration)
{
    const Duration sample = std::max(duration, Duration::zero());
    const std::size_t bucket = bucketOf(sample);
    const std::lock_guard lock(m_mutex);
    m_accumulator(Seconds(sample).count());
    ++m_buckets[bucket];
}

HistogramSummary Histogram::summary() const
{
    const std::lock_guard lock(m_mutex);
    HistogramSummary summary;
    summary.count = accumulators::count(m_accumulator);
    if (summary.count == 0) {
        return summary;
    }
    summary.sum = toDuration(accumulators::sum(m_accumulator));
    summary.max = toDuration(accumulators::max(m_accumulator));
    summary.buckets = m_buckets;
    for (std::size_t index = 0; index < QUANTILES.size(); ++index) {
        const double quantile = QUANTILES[index];
        summary.quantiles[index] = isEstimated(summary.count) ? toDuration(accumulators::extended_p_square(m_accumulator)[index])
                                                              : quantileFromBuckets(summary, quantile);
    }
    return summary;
}

} // namespace CassiaRelay::Metrics
