#include "usualtimes.h"

#include <algorithm>
#include <cmath>

namespace CassiaRelay::Gateway {

namespace {

constexpr double OVERHEAD_TOKENS = 256; // a request without a prompt takes about as long as reading so many tokens: one step of the engine
constexpr double MIN_STEP = 0.02;  // of the median, in units of its logarithm; follows a lasting change of all targets within 50 samples
constexpr double FIRST_STEP = 0.5; // the first sample may be from a slow target

double unitsOf(const Work &work)
{
    return std::visit(
        Overloaded {
            [](const PromptWork &prompt) { return OVERHEAD_TOKENS + static_cast<double>(std::max<std::int64_t>(0, prompt.tokens)); },
            [](const EventWork &events) { return static_cast<double>(std::max(1, events.events)); },
            [](const PieceWork &pieces) { return static_cast<double>(std::max<Duration::rep>(1, pieces.expected.count())); },
            [](const AnswerWork &) { return 1.0; },
            [](const StreamWork &) { return 1.0; },
        },
        work);
}

} // namespace

double UsualTimes::addSample(const ServiceName &service, const Work &work, Duration measured)
{
    Median &median = m_medians[service][work.index()];
    const double perUnit = std::max(1.0, static_cast<double>(measured.count())) / unitsOf(work);
    if (median.samples == 0) {
        median.perUnit = perUnit;
    }
    ++median.samples;
    const double ratio = perUnit / median.perUnit;
    // The median is where as many samples are above it as below, so each moves it by the same step.
    const double step = std::min(std::abs(std::log(ratio)), std::max(MIN_STEP, FIRST_STEP / median.samples));
    median.perUnit *= std::exp(ratio > 1 ? step : -step);
    return ratio;
}

Duration UsualTimes::usual(const ServiceName &service, const Work &work) const
{
    const auto found = m_medians.find(service);
    const double perUnit = found == m_medians.end() ? 0 : found->second[work.index()].perUnit;
    return Duration(static_cast<Duration::rep>(perUnit * unitsOf(work)));
}

} // namespace CassiaRelay::Gateway
