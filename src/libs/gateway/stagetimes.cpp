#include "stagetimes.h"

#include <cmath>

namespace CassiaRelay::Gateway {

namespace {

constexpr double WEIGHT_OF_NEWEST = 0.2;               // about the last five stages count
constexpr std::chrono::milliseconds HALF_LIFE { 700 }; // queues of a few calls empty within about this time

} // namespace

void StageTimes::note(const ServiceName &service, int rank, Duration taken, MonotonicTime now)
{
    Estimate &estimate = m_estimates[{ service, rank }];
    if (estimate.mean == Duration::zero()) {
        estimate.mean = taken;
    } else {
        const double mean = static_cast<double>(estimate.mean.count());
        estimate.mean = Duration(static_cast<Duration::rep>(mean + WEIGHT_OF_NEWEST * (static_cast<double>(taken.count()) - mean)));
    }
    estimate.at = now;
}

Duration StageTimes::expected(const ServiceName &service, int rank, Duration least, MonotonicTime now) const
{
    const auto found = m_estimates.find({ service, rank });
    if (found == m_estimates.end() || found->second.mean <= least) {
        return least;
    }
    const std::chrono::duration<double> age = now - found->second.at;
    const double kept = std::exp2(-age / std::chrono::duration<double>(HALF_LIFE));
    return least + Duration(static_cast<Duration::rep>(static_cast<double>((found->second.mean - least).count()) * kept));
}

} // namespace CassiaRelay::Gateway
