#pragma once

#include "toldpaces.h"

#include <common/common.h>

#include <cstdint>
#include <optional>

namespace CassiaRelay::Gateway {

/**
 * How long the work of one target takes, compared with similar targets: 1 is usual, 2 takes twice as long.
 *
 * Addresses fleets with slow and fast targets, and targets that share their machine with others and are slow for some hundred milliseconds.
 * The learned figure is measured relative to the told one, so their product corrects a target that reports wrong figures all the time.
 */
class TargetPace
{
public:
    static constexpr std::chrono::milliseconds TOLD_LIFETIME { 600 }; ///< the slowdowns of a target change this often
    static constexpr std::chrono::seconds LEARNED_LIFETIME { 60 };    ///< a daemon uses each engine about once in 50 s

    /** Returns whether a figure that a target reports can be true. */
    static bool isPlausible(std::int64_t percent);

    /** @param percent as reported by the target; implausible figures are ignored, and so are those older than the known one */
    void setTold(std::int64_t percent, MonotonicTime statedAt);
    /** Records how long work took, divided by the usual time of as much work. */
    void addSample(double ratio, MonotonicTime now, const ToldPaces &toldPaces = {});
    /** Applies what another daemon has measured, if it is newer. */
    void setLearned(double ratio, MonotonicTime measuredAt);
    /**
     * Factor by which the next work is expected to take longer than usual.
     *
     * @param toldPaces of the targets of the service: the told figure approaches their mean as it ages, and counts with their weight
     */
    double factor(MonotonicTime now, const ToldPaces &toldPaces = {}) const;
    std::optional<double> told(MonotonicTime now) const;
    std::optional<double> learned(MonotonicTime now) const;
    std::optional<MonotonicTime> toldAt() const;
    std::optional<MonotonicTime> learnedAt() const;

private:
    double m_told = 1;
    std::optional<MonotonicTime> m_toldAt;
    double m_learned = 1;
    int m_samples = 0;
    std::optional<MonotonicTime> m_learnedAt;
};

} // namespace CassiaRelay::Gateway
