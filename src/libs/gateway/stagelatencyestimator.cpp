#include "stagelatencyestimator.h"

#include <cmath>

namespace CassiaRelay::Gateway {

namespace {

constexpr double SMOOTHING_FACTOR = 0.2; // averages about the last five samples
// Half-life of the part of an estimate above the minimum. A queue of a few calls empties within about this time.
constexpr std::chrono::milliseconds EXCESS_HALF_LIFE { 700 };

} // namespace

void StageLatencyEstimator::addSample(const ServiceName &service, int rank, Duration duration, MonotonicTime now)
{
    Estimate &estimate = m_estimates[{ service, rank }];
    if (estimate.mean == Duration::zero()) {
        estimate.mean = duration;
    } else {
        const double mean = static_cast<double>(estimate.mean.count());
        estimate.mean = Duration(static_cast<Duration::rep>(mean + SMOOTHING_FACTOR * (static_cast<double>(duration.count()) - mean)));
    }
    estimate.updatedAt = now;
}

Duration StageLatencyEstimator::estimate(const ServiceName &service, int rank, Duration minimum, MonotonicTime now) const
{
    const auto found = m_estimates.find({ service, rank });
    if (found == m_estimates.end() || found->second.mean <= minimum) {
        return minimum;
    }
    const std::chrono::duration<double> age = now - found->second.updatedAt;
    const double decay = std::exp2(-age / std::chrono::duration<double>(EXCESS_HALF_LIFE));
    return minimum + Duration(static_cast<Duration::rep>(static_cast<double>((found->second.mean - minimum).count()) * decay));
}

} // namespace CassiaRelay::Gateway
