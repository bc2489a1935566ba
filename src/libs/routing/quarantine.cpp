#include "quarantine.h"

#include <algorithm>

namespace CassiaRelay::Routing {

namespace {

constexpr std::chrono::minutes RETENTION { 10 };
constexpr std::size_t MAX_ENTRIES = 4096;
constexpr std::size_t QUARANTINE_LOSSES = 2;

} // namespace

QuarantineState Quarantine::state(Fingerprint fingerprint, MonotonicTime now)
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end()) {
        return QuarantineState::Cleared;
    }
    const Entry &entry = found->second;
    if (now - entry.updatedAt > RETENTION) {
        m_entries.erase(found);
        return QuarantineState::Cleared;
    }
    const std::size_t losses = entry.unconfirmed.size() + static_cast<std::size_t>(entry.deaths);
    if (losses >= QUARANTINE_LOSSES || entry.cell == QuarantineState::Quarantined) {
        return QuarantineState::Quarantined;
    }
    return losses > 0 ? QuarantineState::Suspect : entry.cell;
}

Decisions Quarantine::onLost(Fingerprint fingerprint, const TargetId &target, MonotonicTime now)
{
    if (m_entries.size() >= MAX_ENTRIES && m_entries.count(fingerprint) == 0) {
        forgetOldest();
    }
    Entry &entry = m_entries[fingerprint];
    entry.updatedAt = now;
    if (std::find(entry.unconfirmed.begin(), entry.unconfirmed.end(), target) != entry.unconfirmed.end()) {
        return {};
    }
    entry.unconfirmed.push_back(target);
    m_lostOn[target].push_back(fingerprint);
    return { ReportLoss { fingerprint, target } };
}

void Quarantine::onTargetDead(const TargetId &target)
{
    for (const Fingerprint &fingerprint : takeUnconfirmed(target)) {
        ++m_entries.at(fingerprint).deaths;
    }
}

Decisions Quarantine::onTargetAlive(const TargetId &target)
{
    Decisions decisions;
    for (const Fingerprint &fingerprint : takeUnconfirmed(target)) {
        decisions.push_back(RetractLoss { fingerprint, target });
    }
    return decisions;
}

// Requests whose loss on the target is no longer unconfirmed after this.
std::vector<Fingerprint> Quarantine::takeUnconfirmed(const TargetId &target)
{
    std::vector<Fingerprint> taken;
    const auto lost = m_lostOn.find(target);
    if (lost == m_lostOn.end()) {
        return taken;
    }
    for (const Fingerprint &fingerprint : lost->second) {
        const auto found = m_entries.find(fingerprint);
        if (found == m_entries.end()) {
            continue;
        }
        auto &unconfirmed = found->second.unconfirmed;
        const auto loss = std::find(unconfirmed.begin(), unconfirmed.end(), target);
        if (loss == unconfirmed.end()) {
            continue;
        }
        unconfirmed.erase(loss);
        taken.push_back(fingerprint);
    }
    m_lostOn.erase(lost);
    return taken;
}

Decisions Quarantine::onSucceeded(Fingerprint fingerprint)
{
    return m_entries.erase(fingerprint) == 0 ? Decisions {} : Decisions { ReportSurvived { fingerprint } };
}

void Quarantine::adopt(Fingerprint fingerprint, QuarantineState state, MonotonicTime now)
{
    if (state == QuarantineState::Cleared) {
        m_entries.erase(fingerprint);
        return;
    }
    if (m_entries.size() >= MAX_ENTRIES && m_entries.count(fingerprint) == 0) {
        forgetOldest();
    }
    Entry &entry = m_entries[fingerprint];
    entry.cell = state;
    entry.updatedAt = now;
}

void Quarantine::forgetOldest()
{
    const auto older = [](const auto &left, const auto &right) { return left.second.updatedAt < right.second.updatedAt; };
    m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(), older));
}

} // namespace CassiaRelay::Routing
