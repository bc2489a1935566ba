#pragma once

#include <common/common.h>

#include <nlohmann/json.hpp>

#include <deque>
#include <optional>

namespace CassiaRelay::StandIns {

/** The request rate that a target names in its answers, and whether the arrivals of all daemons stay within what the users allow. */
class RateLimitCheck
{
public:
    /** @param perSecond no value: the answers name no limit any more */
    void setLimit(std::optional<double> perSecond, MonotonicTime now);
    std::optional<double> limit() const;
    void recordArrival(MonotonicTime now);
    nlohmann::json stats() const;

private:
    struct Period {
        MonotonicTime startedAt;
        double perSecond = 0;
    };

    double highestLimit(MonotonicTime now) const;

    std::optional<double> m_limit;
    MonotonicTime m_firstNamedAt;
    std::deque<Period> m_periods; ///< limits that have been in force, the current one last
    std::deque<MonotonicTime> m_arrivals;
    std::uint64_t m_arrivalsWhileLimited = 0;
    std::uint64_t m_overruns = 0; ///< arrivals that were one too many
    std::size_t m_peak = 0;       ///< arrivals in one window while the limit was binding
};

} // namespace CassiaRelay::StandIns
