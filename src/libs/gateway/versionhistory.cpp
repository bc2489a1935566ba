#include "versionhistory.h"

#include <algorithm>

namespace CassiaRelay::Gateway {

namespace {

constexpr std::chrono::minutes LIFETIME { 5 }; // no stream lasts as long
// For which a target may still be given streams after its entry was removed, by daemons that have not heard of it.
constexpr std::chrono::seconds REMOVAL_DELAY { 5 };

} // namespace

bool SoleVersion::hasBegunAllStreams(Duration maxStreamAge) const
{
    return alone >= maxStreamAge + REMOVAL_DELAY;
}

void VersionHistory::restart(MonotonicTime now)
{
    m_knownSince = now;
}

// A target may restart under its id with another version.
void VersionHistory::add(const TargetRecord &record, MonotonicTime now)
{
    const auto listed = m_targets.find(record.id);
    const bool isSame =
        listed != m_targets.end() && listed->second.service == record.service && listed->second.softwareVersion == record.softwareVersion;
    if (isSame) {
        return;
    }
    remove(record.id, now);
    m_targets[record.id] = { record.service, record.softwareVersion };
    m_versions[record.service][record.softwareVersion].targets.insert(record.id);
}

void VersionHistory::remove(const TargetId &id, MonotonicTime now)
{
    const auto listed = m_targets.find(id);
    if (listed == m_targets.end()) {
        return;
    }
    std::map<std::string, Version> &versions = m_versions[listed->second.service];
    Version &version = versions[listed->second.softwareVersion];
    version.targets.erase(id);
    version.lastListedAt = now;
    m_targets.erase(listed);
    for (auto old = versions.begin(); old != versions.end();) {
        const bool isOld = old->second.targets.empty() && old->second.lastListedAt + LIFETIME <= now;
        old = isOld ? versions.erase(old) : std::next(old);
    }
}

std::optional<SoleVersion> VersionHistory::soleVersion(const ServiceName &service, MonotonicTime now) const
{
    const auto versions = m_versions.find(service);
    if (versions == m_versions.end()) {
        return std::nullopt;
    }
    std::optional<std::string> only;
    MonotonicTime since = std::max(m_knownSince, now - LIFETIME);
    for (const auto &[softwareVersion, version] : versions->second) {
        if (version.targets.empty()) {
            continue;
        }
        if (only) {
            return std::nullopt;
        }
        only = softwareVersion;
    }
    if (!only) {
        return std::nullopt;
    }
    for (const auto &[softwareVersion, version] : versions->second) {
        if (softwareVersion != *only) {
            since = std::max(since, version.lastListedAt);
        }
    }
    return SoleVersion { *only, now - since, {} };
}

} // namespace CassiaRelay::Gateway
