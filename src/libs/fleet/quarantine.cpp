#include "quarantine.h"

#include <algorithm>

namespace CassiaRelay::Fleet {

namespace {

constexpr std::chrono::minutes QUARANTINE_TIME { 10 };
constexpr std::size_t LOSSES_TO_QUARANTINE = 2;
constexpr std::size_t MAX_ENTRIES = 1024;

void sendToAll(const Members &members, const Schema::QuarantineReport &report, Outputs &outputs)
{
    for (const VmId &vm : members) {
        outputs.push_back(SendMessage { vm, report });
    }
}

} // namespace

Outputs Quarantine::reportLoss(Fingerprint fingerprint, const TargetId &target, const Members &members, MonotonicTime now)
{
    Schema::QuarantineReport loss;
    loss.fingerprint = static_cast<std::int64_t>(fingerprint.value());
    loss.targets = { target.value() };
    loss.remainingMs = std::chrono::milliseconds(QUARANTINE_TIME).count();
    Outputs outputs = onReport(loss, now);
    sendToAll(members, loss, outputs);
    return outputs;
}

Outputs Quarantine::retractLoss(Fingerprint fingerprint, const TargetId &target, const Members &members, MonotonicTime now)
{
    const Schema::QuarantineReport retracted { static_cast<std::int64_t>(fingerprint.value()), 0, { target.value() } };
    Outputs outputs = onReport(retracted, now);
    sendToAll(members, retracted, outputs);
    return outputs;
}

Outputs Quarantine::reportSurvived(Fingerprint fingerprint, const Members &members, MonotonicTime now)
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || stateOf(found->second) != QuarantineState::Suspect) {
        return {};
    }
    const Schema::QuarantineReport cleared { static_cast<std::int64_t>(fingerprint.value()), 0, {} };
    Outputs outputs = onReport(cleared, now);
    sendToAll(members, cleared, outputs);
    return outputs;
}

Outputs Quarantine::onReport(const Schema::QuarantineReport &report, MonotonicTime now)
{
    const Fingerprint fingerprint(static_cast<std::uint64_t>(report.fingerprint));
    const auto found = m_entries.find(fingerprint);
    const QuarantineState before = found == m_entries.end() ? QuarantineState::Clear : stateOf(found->second);
    Outputs outputs;
    if (report.targets.empty()) {
        if (before != QuarantineState::Suspect) {
            return {};
        }
        m_entries.erase(found);
        return { QuarantineChanged { fingerprint, QuarantineState::Clear } };
    }
    if (report.remainingMs <= 0) {
        return onRetracted(fingerprint, report.targets);
    }
    Entry &entry = m_entries[fingerprint];
    for (const std::string &target : report.targets) {
        entry.targets.insert(TargetId(target));
    }
    const auto remaining = std::min<std::chrono::milliseconds>(std::chrono::milliseconds(report.remainingMs), QUARANTINE_TIME);
    entry.expiresAt = std::max<MonotonicTime>(entry.expiresAt, now + remaining);
    if (stateOf(entry) != before) {
        outputs.push_back(QuarantineChanged { fingerprint, stateOf(entry) });
    }
    dropOldest(outputs);
    return outputs;
}

Outputs Quarantine::onRetracted(Fingerprint fingerprint, const std::vector<std::string> &targets)
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end()) {
        return {};
    }
    const QuarantineState before = stateOf(found->second);
    for (const std::string &target : targets) {
        found->second.targets.erase(TargetId(target));
    }
    if (found->second.targets.empty()) {
        m_entries.erase(found);
        return { QuarantineChanged { fingerprint, QuarantineState::Clear } };
    }
    const QuarantineState after = stateOf(found->second);
    return after == before ? Outputs {} : Outputs { QuarantineChanged { fingerprint, after } };
}

Outputs Quarantine::reportsFor(const VmId &vm, MonotonicTime now) const
{
    Outputs outputs;
    for (const auto &[fingerprint, entry] : m_entries) {
        outputs.push_back(SendMessage { vm, report(fingerprint, entry, now) });
    }
    return outputs;
}

Outputs Quarantine::expire(MonotonicTime now)
{
    Outputs outputs;
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (now < entry->second.expiresAt) {
            ++entry;
            continue;
        }
        outputs.push_back(QuarantineChanged { entry->first, QuarantineState::Clear });
        entry = m_entries.erase(entry);
    }
    return outputs;
}

QuarantineState Quarantine::stateOf(const Entry &entry)
{
    return entry.targets.size() >= LOSSES_TO_QUARANTINE ? QuarantineState::Quarantined : QuarantineState::Suspect;
}

Schema::QuarantineReport Quarantine::report(Fingerprint fingerprint, const Entry &entry, MonotonicTime now) const
{
    Schema::QuarantineReport report;
    report.fingerprint = static_cast<std::int64_t>(fingerprint.value());
    report.remainingMs = std::chrono::duration_cast<std::chrono::milliseconds>(entry.expiresAt - now).count();
    for (const TargetId &target : entry.targets) {
        report.targets.push_back(target.value());
    }
    return report;
}

void Quarantine::dropOldest(Outputs &outputs)
{
    if (m_entries.size() <= MAX_ENTRIES) {
        return;
    }
    const auto oldest = std::min_element(m_entries.begin(), m_entries.end(), [](const auto &left, const auto &right) {
        return left.second.expiresAt < right.second.expiresAt;
    });
    outputs.push_back(QuarantineChanged { oldest->first, QuarantineState::Clear });
    m_entries.erase(oldest);
}

} // namespace CassiaRelay::Fleet
