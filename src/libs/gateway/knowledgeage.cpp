#include "knowledgeage.h"

namespace CassiaRelay::Gateway {

namespace {

constexpr std::chrono::milliseconds MIN_LAG { 250 };      // a VM that is merely busy runs its tasks sooner
constexpr std::chrono::milliseconds SENDING_TIME { 150 }; // from the last check until a target has the request

} // namespace

KnowledgeAge::KnowledgeAge(const Catalogue &catalogue, Duration changeTime)
    : m_catalogue(catalogue)
    , m_changeTime(changeTime)
{
}

void KnowledgeAge::recordLag(Duration lag, MonotonicTime now)
{
    if (lag >= MIN_LAG) {
        m_laggedAt = now;
    }
}

void KnowledgeAge::setNextTask(MonotonicTime plannedAt)
{
    m_nextTask = plannedAt;
}

std::optional<Duration> KnowledgeAge::age(MonotonicTime now) const
{
    const std::optional<MonotonicTime> &currentAsOf = m_catalogue.currentAsOf();
    return currentAsOf ? std::optional<Duration>(now - *currentAsOf) : std::nullopt;
}

bool KnowledgeAge::isLagging(MonotonicTime now) const
{
    const bool isOverdue = m_nextTask && *m_nextTask + MIN_LAG <= now;
    return isOverdue || (m_laggedAt && *m_laggedAt + m_changeTime > now);
}

bool KnowledgeAge::isTooOld(MonotonicTime now) const
{
    const std::optional<Duration> current = age(now);
    return m_catalogue.isStoreAvailable() && current && *current > m_changeTime - SENDING_TIME && isLagging(now);
}

} // namespace CassiaRelay::Gateway
