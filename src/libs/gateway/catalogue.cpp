#include "catalogue.h"

namespace CassiaRelay::Gateway {

namespace {

constexpr std::chrono::milliseconds RECONNECT_GRACE { 2200 }; // expired entries are renewed about two seconds after the store's return
// An entry expires after three heartbeats of 1.2 s. A live target has renewed it at most one of them before the store became unavailable.
constexpr std::chrono::milliseconds MIN_EXPIRY_TIME { 2400 };
constexpr std::chrono::seconds DROPPED_TARGET_LIFETIME { 60 }; // older than any copy from which the store is restored

} // namespace

CatalogueChanges Catalogue::applyChanges(const StoreChanges &changes, MonotonicTime now)
{
    CatalogueChanges result;
    for (const StoreEntry &entry : changes.entries) {
        apply(entry, result, now);
    }
    m_isFirstResponse = false;
    m_revision = std::max(m_revision, changes.revision);
    return result;
}

CatalogueChanges Catalogue::applyListing(const std::vector<StoreEntry> &entries, std::int64_t revision, MonotonicTime now)
{
    m_versions.restart(now);
    CatalogueChanges result;
    std::set<TargetId> listed;
    std::set<FailureDomain> disabled;
    m_isFirstResponse = m_isFirstResponse || m_isRestoredCopy;
    for (const StoreEntry &published : entries) {
        const std::optional<StoreEntry> current = m_isRestoredCopy ? withoutOutdatedState(published) : published;
        if (!current) {
            continue;
        }
        const StoreEntry &entry = *current;
        apply(entry, result, now);
        if (const auto *target = std::get_if<TargetPublished>(&entry)) {
            listed.insert(target->record.id);
        } else if (const auto *domain = std::get_if<DomainDisabled>(&entry)) {
            disabled.insert(domain->domain);
        }
    }
    std::vector<TargetId> missing;
    for (const auto &[id, record] : m_targets) {
        if (listed.count(id) == 0) {
            missing.push_back(id);
        }
    }
    for (const TargetId &id : missing) {
        dropTarget(id, result, now);
    }
    const std::set<FailureDomain> before = m_disabledDomains;
    for (const FailureDomain &domain : before) {
        if (disabled.count(domain) > 0) {
            continue;
        }
        if (m_isRestoredCopy) {
            m_pendingRestorations.emplace(domain, now + RECONNECT_GRACE);
        } else {
            apply(DomainRestored { domain }, result, now);
        }
    }
    m_revision = revision;
    m_isFirstResponse = false;
    m_isRestoredCopy = false;
    return result;
}

bool Catalogue::isNewEra(std::int64_t era)
{
    const bool isNew = m_era && *m_era != era;
    m_era = era;
    m_isRestoredCopy = m_isRestoredCopy || isNew;
    return isNew;
}

void Catalogue::setStoreUnavailable()
{
    m_storeUnavailable = true;
}

void Catalogue::setStoreAvailable(MonotonicTime now)
{
    const bool mayHaveExpired = m_storeUnavailable && (!m_answeredAt || now - *m_answeredAt >= MIN_EXPIRY_TIME);
    m_isFirstResponse = m_isFirstResponse || mayHaveExpired;
    m_answeredAt = now;
    m_storeUnavailable = false;
}

void Catalogue::setCurrentAsOf(MonotonicTime time)
{
    m_currentAsOf = time;
}

const std::optional<MonotonicTime> &Catalogue::currentAsOf() const
{
    return m_currentAsOf;
}

bool Catalogue::isStoreAvailable() const
{
    return !m_storeUnavailable;
}

std::optional<MonotonicTime> Catalogue::nextExpiry() const
{
    std::optional<MonotonicTime> next;
    if (m_storeUnavailable) {
        return next;
    }
    for (const auto &[id, until] : m_pendingRemovals) {
        next = next ? std::min(*next, until) : until;
    }
    for (const auto &[domain, until] : m_pendingRestorations) {
        next = next ? std::min(*next, until) : until;
    }
    return next;
}

CatalogueChanges Catalogue::expire(MonotonicTime now)
{
    CatalogueChanges changes;
    if (m_storeUnavailable) {
        return changes;
    }
    for (auto removal = m_pendingRemovals.begin(); removal != m_pendingRemovals.end();) {
        if (removal->second > now) {
            ++removal;
            continue;
        }
        const auto target = m_targets.find(removal->first);
        m_droppedTargets[removal->first] = { target->second.startedAt, now };
        m_targets.erase(target);
        m_versions.remove(removal->first, now);
        changes.emplace_back(TargetDropped { removal->first, false });
        removal = m_pendingRemovals.erase(removal);
    }
    for (auto restoration = m_pendingRestorations.begin(); restoration != m_pendingRestorations.end();) {
        if (restoration->second > now) {
            ++restoration;
            continue;
        }
        const FailureDomain domain = restoration->first;
        restoration = m_pendingRestorations.erase(restoration);
        apply(DomainRestored { domain }, changes, now);
    }
    forgetDroppedTargets(now);
    return changes;
}

const RouteTablePointer &Catalogue::table() const
{
    return m_table;
}

bool Catalogue::hasTargets() const
{
    return !m_targets.empty();
}

std::optional<SoleVersion> Catalogue::soleVersion(const ServiceName &service, MonotonicTime now) const
{
    std::optional<SoleVersion> sole = m_storeUnavailable ? std::nullopt : m_versions.soleVersion(service, now);
    if (sole) {
        sole->asOf = m_currentAsOf.value_or(MonotonicTime());
    }
    return sole;
}

std::int64_t Catalogue::revision() const
{
    return m_revision;
}

void Catalogue::apply(const StoreEntry &entry, CatalogueChanges &changes, MonotonicTime now)
{
    std::visit(Overloaded {
                   [&](const ConfigurationPublished &published) { adoptConfiguration(published.configuration, changes); },
                   [&](const DomainDisabled &disabled) {
                       m_pendingRestorations.erase(disabled.domain);
                       if (m_disabledDomains.insert(disabled.domain).second) {
                           changes.emplace_back(DomainChanged { disabled.domain, true });
                       }
                   },
                   [&](const DomainRestored &restored) {
                       m_pendingRestorations.erase(restored.domain);
                       if (m_disabledDomains.erase(restored.domain) > 0) {
                           changes.emplace_back(DomainChanged { restored.domain, false });
                       }
                   },
                   [&](const TargetPublished &published) { adoptTarget(published.record, changes, now); },
                   [&](const TargetRemoved &removed) { dropTarget(removed.id, changes, now); },
                   [&](const InvalidEntry &invalid) {
                       changes.emplace_back(EntryRejected { invalid.key, invalid.reason });
                   },
               },
               entry);
}

void Catalogue::adoptConfiguration(const Configuration &configuration, CatalogueChanges &changes)
{
    if (m_table && configuration.version <= m_table->version()) {
        return;
    }
    m_table = std::make_shared<const RouteTable>(configuration);
    changes.emplace_back(TableAdopted { m_table });
}

void Catalogue::adoptTarget(const TargetRecord &record, CatalogueChanges &changes, MonotonicTime now)
{
    m_pendingRemovals.erase(record.id);
    m_droppedTargets.erase(record.id);
    const auto known = m_targets.find(record.id);
    if (known != m_targets.end() && known->second.startedAt != record.startedAt) {
        changes.emplace_back(TargetDropped { record.id, true });
    }
    m_targets[record.id] = record;
    m_versions.add(record, now);
    changes.emplace_back(TargetAdopted { record });
}

void Catalogue::dropTarget(const TargetId &id, CatalogueChanges &changes, MonotonicTime now)
{
    const auto known = m_targets.find(id);
    if (known == m_targets.end()) {
        return;
    }
    if (m_isFirstResponse && !known->second.isLeaving) {
        m_pendingRemovals.emplace(id, now + RECONNECT_GRACE);
        return;
    }
    m_pendingRemovals.erase(id);
    m_droppedTargets[id] = { known->second.startedAt, now };
    m_targets.erase(known);
    m_versions.remove(id, now);
    changes.emplace_back(TargetDropped { id, false });
}

// In a copy, a target that is leaving or gone may still be listed as before. A live target is written again within seconds, and that
// change is applied as usual.
std::optional<StoreEntry> Catalogue::withoutOutdatedState(const StoreEntry &entry) const
{
    const auto *published = std::get_if<TargetPublished>(&entry);
    if (!published) {
        return entry;
    }
    const auto dropped = m_droppedTargets.find(published->record.id);
    if (dropped != m_droppedTargets.end() && dropped->second.startedAt == published->record.startedAt) {
        return std::nullopt;
    }
    TargetPublished current = *published;
    const auto known = m_targets.find(current.record.id);
    if (known != m_targets.end() && known->second.startedAt == current.record.startedAt) {
        current.record.isLeaving = current.record.isLeaving || known->second.isLeaving;
    }
    return current;
}

void Catalogue::forgetDroppedTargets(MonotonicTime now)
{
    for (auto dropped = m_droppedTargets.begin(); dropped != m_droppedTargets.end();) {
        dropped = dropped->second.droppedAt + DROPPED_TARGET_LIFETIME <= now ? m_droppedTargets.erase(dropped) : std::next(dropped);
    }
}

} // namespace CassiaRelay::Gateway
