#include "crashregister.h"

namespace CassiaRelay::Gateway {

namespace {

constexpr int MAX_CRASHES = 2;                             // a request that lost this many targets in a row is the likely cause
constexpr std::chrono::seconds MEMORY { 60 };              // callers send such a request again within their deadline, up to 15 s
constexpr std::chrono::milliseconds CONFIRMATION { 1500 }; // a crashed target refuses connections at once
constexpr std::size_t MAX_ABOARD = 512;
constexpr std::size_t MAX_ENTRIES = 4096; // a crash of one engine has at most its slots aboard

} // namespace

void CrashRegister::noteLost(Fingerprint fingerprint, const TargetId &target, MonotonicTime now)
{
    std::vector<Lost> &lost = m_lost[target];
    if (lost.size() < MAX_ABOARD) {
        lost.push_back({ fingerprint, now });
    }
}

// Copies of one request that were aboard the same target count once.
void CrashRegister::noteDown(const TargetId &target, MonotonicTime now)
{
    const auto lost = m_lost.find(target);
    if (lost == m_lost.end()) {
        return;
    }
    std::set<Fingerprint> aboard;
    for (const Lost &one : lost->second) {
        if (one.at + CONFIRMATION > now) {
            aboard.insert(one.fingerprint);
        }
    }
    m_lost.erase(lost);
    if (m_entries.size() + aboard.size() > MAX_ENTRIES) {
        forgetOld(now);
    }
    for (const Fingerprint &fingerprint : aboard) {
        Seen &seen = m_entries[fingerprint].own;
        ++seen.crashes;
        seen.lastAt = now;
    }
}

void CrashRegister::noteSurvived(Fingerprint fingerprint)
{
    m_entries.erase(fingerprint);
}

void CrashRegister::merge(const VmId &from, const std::vector<CrashCount> &counts, MonotonicTime now)
{
    for (const CrashCount &count : counts) {
        if (m_entries.size() >= MAX_ENTRIES) {
            return;
        }
        Seen &seen = m_entries[count.fingerprint].others[from];
        if (seen.crashes < count.crashes) {
            seen.crashes = count.crashes;
            seen.lastAt = now;
        }
    }
}

bool CrashRegister::isBanned(Fingerprint fingerprint, MonotonicTime now) const
{
    const auto entry = m_entries.find(fingerprint);
    if (entry == m_entries.end()) {
        return false;
    }
    const auto fresh = [now](const Seen &seen) { return seen.lastAt + MEMORY > now ? seen.crashes : 0; };
    int crashes = fresh(entry->second.own);
    for (const auto &[vm, seen] : entry->second.others) {
        crashes += fresh(seen);
    }
    return crashes >= MAX_CRASHES;
}

std::vector<CrashCount> CrashRegister::own(MonotonicTime now) const
{
    std::vector<CrashCount> counts;
    for (const auto &[fingerprint, entry] : m_entries) {
        if (entry.own.crashes == 0 || entry.own.lastAt + MEMORY <= now) {
            continue;
        }
        counts.push_back({ fingerprint, entry.own.crashes });
    }
    return counts;
}

void CrashRegister::forgetOld(MonotonicTime now)
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        MonotonicTime last = entry->second.own.lastAt;
        for (const auto &[vm, seen] : entry->second.others) {
            last = std::max(last, seen.lastAt);
        }
        entry = last + MEMORY <= now ? m_entries.erase(entry) : std::next(entry);
    }
    for (auto lost = m_lost.begin(); lost != m_lost.end();) {
        lost = lost->second.back().at + CONFIRMATION <= now ? m_lost.erase(lost) : std::next(lost);
    }
}

} // namespace CassiaRelay::Gateway
