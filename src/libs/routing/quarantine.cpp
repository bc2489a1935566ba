#include "quarantine.h"

#include <algorithm>

namespace CassiaRelay::Routing {

namespace {

constexpr std::chrono::minutes ENTRY_RETENTION { 10 };
constexpr std::size_t MAX_ENTRIES = 4096;
constexpr std::size_t LOSSES_TO_QUARANTINE = 2;

} // namespace

QuarantineState Quarantine::state(Fingerprint fingerprint, MonotonicTime now)
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end()) {
        return QuarantineState::Cleared;
    }
    const Entry &entry = found->second;
    if (now - entry.updatedAt > ENTRY_RETENTION) {
        m_entries.erase(found);
        return QuarantineState::Cleared;
    }
    const std::size_t losses = entry.unconfirmedLosses.size() + static_cast<std::size_t>(entry.confirmedLosses);
    if (losses >= LOSSES_TO_QUARANTINE || entry.cellState == QuarantineState::Quarantined) {
        return QuarantineState::Quarantined;
    }
    return losses > 0 ? QuarantineState::Suspect : entry.cellState;
}

Decisions Quarantine::onConnectionLost(Fingerprint fingerprint, const TargetId &target, MonotonicTime now)
{
    if (m_entries.size() >= MAX_ENTRIES && m_entries.count(fingerprint) == 0) {
        evictOldest();
    }
    Entry &entry = m_entries[fingerprint];
    entry.updatedAt = now;
    if (std::find(entry.unconfirmedLosses.begin(), entry.unconfirmedLosses.end(), target) != entry.unconfirmedLosses.end()) {
        return {};
    }
    entry.unconfirmedLosses.push_back(target);
    m_lossesByTarget[target].push_back(fingerprint);
    return { ReportLoss { fingerprint, target } };
}

void Quarantine::onTargetDead(const TargetId &target)
{
    for (const Fingerprint &fingerprint : takeUnconfirmedLosses(target)) {
        ++m_entries.at(fingerprint).confirmedLosses;
    }
}

Decisions Quarantine::onTargetAlive(const TargetId &target)
{
    Decisions decisions;
    for (const Fingerprint &fingerprint : takeUnconfirmedLosses(target)) {
        decisions.push_back(RetractLoss { fingerprint, target });
    }
    return decisions;
}

// Removes the unconfirmed losses on the target and returns the requests that had them.
std::vector<Fingerprint> Quarantine::takeUnconfirmedLosses(const TargetId &target)
{
    std::vector<Fingerprint> taken;
    const auto lost = m_lossesByTarget.find(target);
    if (lost == m_lossesByTarget.end()) {
        return taken;
    }
    for (const Fingerprint &fingerprint : lost->second) {
        const auto found = m_entries.find(fingerprint);
        if (found == m_entries.end()) {
            continue;
        }
        auto &unconfirmedLosses = found->second.unconfirmedLosses;
        const auto loss = std::find(unconfirmedLosses.begin(), unconfirmedLosses.end(), target);
        if (loss == unconfirmedLosses.end()) {
            continue;
        }
        unconfirmedLosses.erase(loss);
        taken.push_back(fingerprint);
    }
    m_lossesByTarget.erase(lost);
    return taken;
}

Decisions Quarantine::onSucceeded(Fingerprint fingerprint)
{
    return m_entries.erase(fingerprint) == 0 ? Decisions {} : Decisions { ReportSurvived { fingerprint } };
}

void Quarantine::applyCellState(Fingerprint fingerprint, QuarantineState state, MonotonicTime now)
{
    if (state == QuarantineState::Cleared) {
        m_entries.erase(fingerprint);
        return;
    }
    if (m_entries.size() >= MAX_ENTRIES && m_entries.count(fingerprint) == 0) {
        evictOldest();
    }
    Entry &entry = m_entries[fingerprint];
    entry.cellState = state;
    entry.updatedAt = now;
}

void Quarantine::evictOldest()
{
    const auto older = [](const auto &left, const auto &right) { return left.second.updatedAt < right.second.updatedAt; };
    m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(), older));
}

} // namespace CassiaRelay::Routing
