#include "catalogue.h"

namespace CassiaRelay::Gateway {

namespace {

constexpr std::chrono::milliseconds RETURN_GRACE { 2200 }; // lapsed entries are back about two seconds after the store's return

} // namespace

CatalogueChanges Catalogue::applyChanges(const StoreChanges &changes, MonotonicTime now)
{
    CatalogueChanges result;
    for (const StoreEntry &entry : changes.entries) {
        apply(entry, result, now);
    }
    m_isFirstAnswer = false;
    m_revision = std::max(m_revision, changes.revision);
    return result;
}

CatalogueChanges Catalogue::applyListing(const std::vector<StoreEntry> &entries, std::int64_t revision, MonotonicTime now)
{
    CatalogueChanges result;
    std::set<TargetId> listed;
    std::set<FailureDomain> out;
    for (const StoreEntry &entry : entries) {
        apply(entry, result, now);
        if (const auto *target = std::get_if<TargetPublished>(&entry)) {
            listed.insert(target->record.id);
        } else if (const auto *domain = std::get_if<DomainTakenOut>(&entry)) {
            out.insert(domain->domain);
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
    const std::set<FailureDomain> before = m_domainsOut;
    for (const FailureDomain &domain : before) {
        if (out.count(domain) == 0) {
            apply(DomainTakenBack { domain }, result, now);
        }
    }
    m_revision = revision;
    m_isFirstAnswer = false;
    return result;
}

void Catalogue::noteTrouble()
{
    m_inTrouble = true;
}

void Catalogue::noteAnswer()
{
    m_isFirstAnswer = m_isFirstAnswer || m_inTrouble;
    m_inTrouble = false;
}

std::optional<MonotonicTime> Catalogue::nextExpiry() const
{
    std::optional<MonotonicTime> next;
    if (m_inTrouble) {
        return next;
    }
    for (const auto &[id, until] : m_doubtful) {
        next = next ? std::min(*next, until) : until;
    }
    return next;
}

CatalogueChanges Catalogue::expire(MonotonicTime now)
{
    CatalogueChanges changes;
    if (m_inTrouble) {
        return changes;
    }
    for (auto doubtful = m_doubtful.begin(); doubtful != m_doubtful.end();) {
        if (doubtful->second > now) {
            ++doubtful;
            continue;
        }
        m_targets.erase(doubtful->first);
        changes.emplace_back(TargetDropped { doubtful->first, false });
        doubtful = m_doubtful.erase(doubtful);
    }
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

std::int64_t Catalogue::revision() const
{
    return m_revision;
}

void Catalogue::apply(const StoreEntry &entry, CatalogueChanges &changes, MonotonicTime now)
{
    std::visit(Overloaded {
                   [&](const ConfigurationPublished &published) { adoptConfiguration(published.configuration, changes); },
                   [&](const DomainTakenOut &taken) {
                       if (m_domainsOut.insert(taken.domain).second) {
                           changes.emplace_back(DomainChanged { taken.domain, true });
                       }
                   },
                   [&](const DomainTakenBack &taken) {
                       if (m_domainsOut.erase(taken.domain) > 0) {
                           changes.emplace_back(DomainChanged { taken.domain, false });
                       }
                   },
                   [&](const TargetPublished &published) { adoptTarget(published.record, changes); },
                   [&](const TargetRemoved &removed) { dropTarget(removed.id, changes, now); },
                   [&](const EntryUnreadable &unreadable) {
                       changes.emplace_back(EntryRejected { unreadable.key, unreadable.reason });
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

void Catalogue::adoptTarget(const TargetRecord &record, CatalogueChanges &changes)
{
    m_doubtful.erase(record.id);
    const auto known = m_targets.find(record.id);
    if (known != m_targets.end() && known->second.startedAt != record.startedAt) {
        changes.emplace_back(TargetDropped { record.id, true });
    }
    m_targets[record.id] = record;
    changes.emplace_back(TargetAdopted { record });
}

void Catalogue::dropTarget(const TargetId &id, CatalogueChanges &changes, MonotonicTime now)
{
    const auto known = m_targets.find(id);
    if (known == m_targets.end()) {
        return;
    }
    if (m_isFirstAnswer && !known->second.isLeaving) {
        m_doubtful.emplace(id, now + RETURN_GRACE);
        return;
    }
    m_doubtful.erase(id);
    m_targets.erase(known);
    changes.emplace_back(TargetDropped { id, false });
}

} // namespace CassiaRelay::Gateway
