#pragma once

#include "targetrecord.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace CassiaRelay::Gateway {

/** Load and pace of a target, as one daemon reports them to another. */
struct TargetReport {
    TargetId target;
    StartTime startedAt; ///< a report does not hold for a later start of the target
    struct Load {
        int running = 0;
        int waiting = 0;
        int slots = 0;
        std::optional<std::int64_t> toldPercent;
        MonotonicTime statedAt;
    };
    struct Pace {
        double learned = 1;
        MonotonicTime measuredAt;
    };
    std::optional<Load> load;
    std::optional<Pace> pace;
};

/**
 * Keeps the newest report of each target and selects those that are worth sending.
 *
 * Addresses many daemons with few requests each, of which none uses a given target often enough to know its load.
 */
class TargetReportBoard
{
public:
    static constexpr std::size_t MAX_REPORTS_PER_GREETING = 12;
    static constexpr std::chrono::milliseconds LOAD_LIFETIME {
        1000
    }; ///< half of the running requests of a target end within about this time

    /**
     * Merges a report, from a response of the target or from another daemon. Returns whether anything in it was newer.
     *
     * Drops what is expired, in the future or out of range, and reports of an earlier start of the target.
     */
    bool merge(const TargetReport &report, MonotonicTime now);
    const TargetReport *find(const TargetId &target) const;
    /** Returns the recent reports that differ most from an idle target of usual pace. */
    std::vector<TargetReport> mostRelevant(std::size_t maxCount, MonotonicTime now) const;
    void remove(const TargetId &target);
    void removeExpired(MonotonicTime now);
    std::size_t size() const;

private:
    std::unordered_map<TargetId, TargetReport> m_reports;
};

} // namespace CassiaRelay::Gateway
