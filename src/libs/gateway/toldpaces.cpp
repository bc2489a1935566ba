#include "toldpaces.h"

#include <algorithm>
#include <cmath>

namespace CassiaRelay::Gateway {

namespace {

constexpr double TOLD_SMOOTHING_FACTOR = 0.02; // averages about the last 50 responses; the mean of the targets changes slowly
constexpr double SHARE_SMOOTHING_FACTOR = 0.1; // averages about the last ten figures that differ; a daemon sees about one in a second
constexpr double UNUSUAL_FIGURE = 0.1;         // logarithm; a figure within a tenth of the usual one predicts nothing
constexpr double WORTHLESS_SHARE = 0.5;        // a random figure is better than none in at most half of the cases
constexpr double TRUSTED_SHARE = 0.8;          // true figures change between the report and the work in up to a fifth of the cases

} // namespace

void ToldPaces::recordTold(double told)
{
    m_usual += (told - m_usual) * TOLD_SMOOTHING_FACTOR;
}

void ToldPaces::recordOutcome(double told, double ratio)
{
    if (told <= 0 || ratio <= 0 || std::abs(std::log(told)) < UNUSUAL_FIGURE) {
        return;
    }
    const bool isBetter = std::abs(std::log(ratio / told)) < std::abs(std::log(ratio));
    m_betterShare += ((isBetter ? 1 : 0) - m_betterShare) * SHARE_SMOOTHING_FACTOR;
}

double ToldPaces::usual() const
{
    return m_usual;
}

double ToldPaces::weight() const
{
    return std::clamp((m_betterShare - WORTHLESS_SHARE) / (TRUSTED_SHARE - WORTHLESS_SHARE), 0.0, 1.0);
}

} // namespace CassiaRelay::Gateway
