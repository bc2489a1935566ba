#include "serviceload.h"

#include <algorithm>

namespace CassiaRelay::Gateway {

void ServiceLoadBoard::put(const ServiceLoadReport &report, MonotonicTime now)
{
    if (report.completionTimes.empty()) {
        return;
    }
    if (m_entries.count(report.service) == 0 && m_entries.size() >= MAX_SERVICES) {
        m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(), [](const auto &left, const auto &right) {
            return left.second.receivedAt < right.second.receivedAt;
        }));
    }
    m_entries[report.service] = { report, now };
}

std::optional<Duration> ServiceLoadBoard::completionTime(const ServiceName &service, int rank, MonotonicTime now) const
{
    const Entry *entry = recentEntry(service, now);
    if (!entry) {
        return std::nullopt;
    }
    const std::vector<Duration> &times = entry->report.completionTimes;
    const auto index = static_cast<std::size_t>(std::max(0, rank));
    return times.at(std::min(index, times.size() - 1));
}

std::optional<Duration> ServiceLoadBoard::age(const ServiceName &service, MonotonicTime now) const
{
    const Entry *entry = recentEntry(service, now);
    return entry ? std::optional<Duration>(now - entry->receivedAt) : std::nullopt;
}

std::size_t ServiceLoadBoard::size() const
{
    return m_entries.size();
}

const ServiceLoadBoard::Entry *ServiceLoadBoard::recentEntry(const ServiceName &service, MonotonicTime now) const
{
    const auto found = m_entries.find(service);
    return found == m_entries.end() || found->second.receivedAt + LIFETIME < now ? nullptr : &found->second;
}

} // namespace CassiaRelay::Gateway
