#pragma once

#include "catalogue.h"

#include <optional>

namespace CassiaRelay::Gateway {

/**
 * Decides whether what a daemon knows of the store is too old to decide about requests.
 *
 * Knowledge grows old while the store does not answer, which is no reason to stop serving: then nothing can be changed there, or only this
 * daemon is cut off from it. It also grows old while the daemon itself is too slow to read the answers. Then there may be changes that all
 * other daemons know, so requests are refused until the next answer has been applied. The lag of the event loop tells the two apart.
 */
class KnowledgeAge
{
public:
    /** @param changeTime in which a change in the store must be in force */
    KnowledgeAge(const Catalogue &catalogue, Duration changeTime);

    /** A task ran so much later than planned. */
    void recordLag(Duration lag, MonotonicTime now);
    /** A task is planned for this time; while it is overdue, the daemon lags. */
    void setNextTask(MonotonicTime plannedAt);

    /** Time since which changes may be missing; no value before the first answer. */
    std::optional<Duration> age(MonotonicTime now) const;
    /** Whether the daemon has been slow within the time in which a change must be in force. */
    bool isLagging(MonotonicTime now) const;
    bool isTooOld(MonotonicTime now) const;

private:
    const Catalogue &m_catalogue;
    Duration m_changeTime;
    std::optional<MonotonicTime> m_nextTask;
    std::optional<MonotonicTime> m_laggedAt;
};

} // namespace CassiaRelay::Gateway
