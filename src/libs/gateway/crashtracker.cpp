#include "crashtracker.h"

namespace CassiaRelay::Gateway {

namespace {

constexpr int CRASHES_TO_BAN = 2;                // a request that was running in this many crashes in a row is their likely cause
constexpr std::chrono::seconds RETENTION { 60 }; // callers retry such a request within their deadline of up to 15 s
constexpr std::chrono::milliseconds CONFIRMATION_WINDOW { 1500 }; // a crashed target refuses connections immediately
constexpr std::size_t MAX_PENDING_LOSSES = 512;
constexpr std::size_t MAX_ENTRIES = 4096; // a crash of one engine adds at most one entry per slot

} // namespace

void CrashTracker::recordConnectionLoss(Fingerprint fingerprint, const TargetId &target, MonotonicTime now)
{
    std::vector<PendingLoss> &losses = m_pendingLosses[target];
    if (losses.size() < MAX_PENDING_LOSSES) {
        losses.push_back({ fingerprint, now });
    }
}

// Copies of a request that were running on the same target count as one crash.
void CrashTracker::recordTargetDown(const TargetId &target, MonotonicTime now)
{
    const auto losses = m_pendingLosses.find(target);
    if (losses == m_pendingLosses.end()) {
        return;
    }
    std::set<Fingerprint> affected;
    for (const PendingLoss &loss : losses->second) {
        if (loss.at + CONFIRMATION_WINDOW > now) {
            affected.insert(loss.fingerprint);
        }
    }
    m_pendingLosses.erase(losses);
    if (m_entries.size() + affected.size() > MAX_ENTRIES) {
        removeExpired(now);
    }
    for (const Fingerprint &fingerprint : affected) {
        Observation &seen = m_entries[fingerprint].own;
        ++seen.crashes;
        seen.lastAt = now;
    }
}

void CrashTracker::recordCompletion(Fingerprint fingerprint)
{
    m_entries.erase(fingerprint);
}

void CrashTracker::merge(const VmId &from, const std::vector<CrashCount> &counts, MonotonicTime now)
{
    for (const CrashCount &count : counts) {
        if (m_entries.size() >= MAX_ENTRIES) {
            return;
        }
        Observation &seen = m_entries[count.fingerprint].others[from];
        if (seen.crashes < count.crashes) {
            seen.crashes = count.crashes;
            seen.lastAt = now;
        }
    }
}

bool CrashTracker::isBanned(Fingerprint fingerprint, MonotonicTime now) const
{
    const auto entry = m_entries.find(fingerprint);
    if (entry == m_entries.end()) {
        return false;
    }
    const auto recentCrashes = [now](const Observation &seen) { return seen.lastAt + RETENTION > now ? seen.crashes : 0; };
    int crashes = recentCrashes(entry->second.own);
    for (const auto &[vm, seen] : entry->second.others) {
        crashes += recentCrashes(seen);
    }
    return crashes >= CRASHES_TO_BAN;
}

std::vector<CrashCount> CrashTracker::localCounts(MonotonicTime now) const
{
    std::vector<CrashCount> counts;
    for (const auto &[fingerprint, entry] : m_entries) {
        if (entry.own.crashes == 0 || entry.own.lastAt + RETENTION <= now) {
            continue;
        }
        counts.push_back({ fingerprint, entry.own.crashes });
    }
    return counts;
}

void CrashTracker::removeExpired(MonotonicTime now)
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        MonotonicTime last = entry->second.own.lastAt;
        for (const auto &[vm, seen] : entry->second.others) {
            last = std::max(last, seen.lastAt);
        }
        entry = last + RETENTION <= now ? m_entries.erase(entry) : std::next(entry);
    }
    for (auto losses = m_pendingLosses.begin(); losses != m_pendingLosses.end();) {
        losses = losses->second.back().at + CONFIRMATION_WINDOW <= now ? m_pendingLosses.erase(losses) : std::next(losses);
    }
}

} // namespace CassiaRelay::Gateway
