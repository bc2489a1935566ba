#include "servicetimes.h"

namespace CassiaRelay::Routing {

namespace {

constexpr std::size_t WINDOW_SIZE = 256;
constexpr std::size_t MIN_SAMPLES = 8;
constexpr std::chrono::seconds WINDOW_DURATION { 4 };
constexpr std::chrono::milliseconds PROBE_INTERVAL { 250 };

using Milliseconds = std::chrono::duration<double, std::milli>;

} // namespace

void ServiceTimes::record(const PoolName &pool, int priorityClass, Duration time, MonotonicTime now)
{
    Measurements &measurements = measurementsOf(pool, priorityClass, now);
    measurements.current.quantile(Milliseconds(time).count());
    ++measurements.current.count;
    measurements.updatedAt = now;
}

std::optional<Duration> ServiceTimes::median(const PoolName &pool, int priorityClass) const
{
    const auto found = m_measurements.find({ pool, priorityClass });
    if (found == m_measurements.end()) {
        return std::nullopt;
    }
    const Measurements &measurements = found->second;
    const Window &window = measurements.current.count >= MIN_SAMPLES ? measurements.current : measurements.previous;
    if (window.count < MIN_SAMPLES) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(Milliseconds(boost::accumulators::p_square_quantile(window.quantile)));
}

Duration ServiceTimes::remaining(const WorkItem &item) const
{
    Duration total = median(item.pool, item.priorityClass).value_or(Duration::zero());
    for (const LaterStage &later : item.laterStages) {
        total += median(later.pool, later.priorityClass).value_or(Duration::zero());
    }
    return total;
}

double ServiceTimes::relativeTime(const WorkItem &item, Duration serviceTime) const
{
    const auto medianTime = median(item.pool, item.priorityClass);
    if (!medianTime || *medianTime <= Duration::zero()) {
        return 1;
    }
    return std::chrono::duration<double>(serviceTime) / std::chrono::duration<double>(*medianTime);
}

// Without probes, outdated measurements could cause all work to be refused, and no new measurement would correct them.
bool ServiceTimes::tryStartProbe(const PoolName &pool, int priorityClass, MonotonicTime now)
{
    Measurements &measurements = measurementsOf(pool, priorityClass, now);
    if (now - measurements.updatedAt < PROBE_INTERVAL) {
        return false;
    }
    measurements.updatedAt = now;
    return true;
}

// Windows also end after a fixed time, so that measurements from before a pool became faster are discarded.
ServiceTimes::Measurements &ServiceTimes::measurementsOf(const PoolName &pool, int priorityClass, MonotonicTime now)
{
    Measurements &measurements = m_measurements[{ pool, priorityClass }];
    if (measurements.current.count >= WINDOW_SIZE || now - measurements.startedAt >= WINDOW_DURATION) {
        measurements.previous = std::exchange(measurements.current, Window());
        measurements.startedAt = now;
    }
    return measurements;
}

} // namespace CassiaRelay::Routing
