#include "streamdirectory.h"

namespace CassiaRelay::Gateway {

namespace {

constexpr std::chrono::seconds LIFETIME { 60 }; // callers wait for at most about 15 s in all
constexpr std::size_t MAX_RECORDS = 20000;      // about 5 MB; 300 streams per second for a minute

} // namespace

void StreamDirectory::record(const RequestId &stream, const StreamOrigin &origin, MonotonicTime now)
{
    m_entries[stream] = { origin, now };
    m_ages.push_back({ stream, now });
    while (m_ages.size() > MAX_RECORDS) {
        removeOldest();
    }
}

std::optional<StreamOrigin> StreamDirectory::find(const RequestId &stream) const
{
    const auto found = m_entries.find(stream);
    return found == m_entries.end() ? std::nullopt : std::optional(found->second.origin);
}

void StreamDirectory::removeExpired(MonotonicTime now)
{
    while (!m_ages.empty() && m_ages.front().recordedAt + LIFETIME <= now) {
        removeOldest();
    }
}

std::size_t StreamDirectory::size() const
{
    return m_entries.size();
}

void StreamDirectory::removeOldest()
{
    const auto entry = m_entries.find(m_ages.front().stream);
    if (entry != m_entries.end() && entry->second.recordedAt == m_ages.front().recordedAt) {
        m_entries.erase(entry);
    }
    m_ages.pop_front();
}

} // namespace CassiaRelay::Gateway
