#include "targetpace.h"

#include <algorithm>
#include <cmath>

namespace CassiaRelay::Gateway {

namespace {

constexpr std::int64_t MAX_TOLD_PERCENT = 10'000; // no machine that still serves is a hundred times slower than usual
constexpr double PERCENT = 100;
constexpr int FULL_WEIGHT_SAMPLES = 8; // a slowdown of a seventh of the time hits all of 8 samples once in 6 million times
constexpr double MAX_FACTOR = 8;       // a larger factor does not change a placement any more, and one wrong sample must not weigh more
constexpr double MIN_TOLD = 0.5; // no machine becomes more than twice as fast as it usually is; a lower figure would attract all requests
constexpr double MIN_FACTOR = 1 / MAX_FACTOR;

double bounded(double factor)
{
    return std::clamp(factor, MIN_FACTOR, MAX_FACTOR);
}

} // namespace

bool TargetPace::isPlausible(std::int64_t percent)
{
    return percent > 0 && percent <= MAX_TOLD_PERCENT;
}

void TargetPace::setTold(std::int64_t percent, MonotonicTime statedAt)
{
    if (!isPlausible(percent) || (m_toldAt && *m_toldAt > statedAt)) {
        return;
    }
    m_told = std::clamp(static_cast<double>(percent) / PERCENT, MIN_TOLD, MAX_FACTOR);
    m_toldAt = statedAt;
}

// Divided by the told figure, so that the slowdowns that the target reports do not count as its own pace as well. The first samples replace
// as many assumed samples of usual pace, so a mean counts in proportion to its samples.
void TargetPace::addSample(double ratio, MonotonicTime now, const ToldPaces &toldPaces)
{
    if (!learned(now)) {
        m_learned = 1;
        m_samples = 0;
    }
    const double sample = bounded(bounded(ratio) / std::pow(told(now).value_or(1), toldPaces.weight()));
    const double replaced = m_samples < FULL_WEIGHT_SAMPLES ? 1 : m_learned;
    m_learned = bounded(m_learned + (sample - replaced) / FULL_WEIGHT_SAMPLES);
    m_samples = std::min(m_samples + 1, FULL_WEIGHT_SAMPLES);
    m_learnedAt = now;
}

// What another daemon reports is already weighted by the number of its samples.
void TargetPace::setLearned(double ratio, MonotonicTime measuredAt)
{
    if (ratio <= 0 || (m_learnedAt && *m_learnedAt >= measuredAt)) {
        return;
    }
    m_learned = bounded(ratio);
    m_samples = FULL_WEIGHT_SAMPLES;
    m_learnedAt = measuredAt;
}

// A target whose figure is as old as the time in which it changes may be slow as often as any other.
double TargetPace::factor(MonotonicTime now, const ToldPaces &toldPaces) const
{
    double expected = toldPaces.usual();
    if (told(now)) {
        const double age = std::clamp(std::chrono::duration<double>(now - *m_toldAt) / TOLD_LIFETIME, 0.0, 1.0);
        expected = m_told + (toldPaces.usual() - m_told) * age;
    }
    return bounded(std::pow(expected, toldPaces.weight()) * learned(now).value_or(1));
}

std::optional<double> TargetPace::told(MonotonicTime now) const
{
    return m_toldAt && *m_toldAt + TOLD_LIFETIME > now ? std::optional(m_told) : std::nullopt;
}

std::optional<double> TargetPace::learned(MonotonicTime now) const
{
    return m_learnedAt && *m_learnedAt + LEARNED_LIFETIME > now ? std::optional(m_learned) : std::nullopt;
}

std::optional<MonotonicTime> TargetPace::toldAt() const
{
    return m_toldAt;
}

std::optional<MonotonicTime> TargetPace::learnedAt() const
{
    return m_learnedAt;
}

} // namespace CassiaRelay::Gateway
