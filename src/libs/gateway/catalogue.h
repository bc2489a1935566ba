#pragma once

#include "routetable.h"
#include "storeentry.h"

#include <functional>
#include <map>
#include <set>

namespace CassiaRelay::Gateway {

/** A belief has changed. */
struct TargetAdopted {
    TargetRecord record;
};
struct TargetDropped {
    TargetId id;
    bool hasRestarted = false; ///< another start of it follows
};
struct DomainChanged {
    FailureDomain domain;
    bool isOut = false;
};
struct TableAdopted {
    RouteTablePointer table;
};
struct EntryRejected {
    std::string key;
    std::string reason;
};
using CatalogueChange = std::variant<TargetAdopted, TargetDropped, DomainChanged, TableAdopted, EntryRejected>;
using CatalogueChanges = std::vector<CatalogueChange>;

/**
 * What the daemon believes of the store: the newest configuration, the domains that are out and the targets.
 *
 * A version is never replaced by an older one. Entries that vanish while the store is in trouble stay believed for a short grace after
 * its return, because they may have lapsed only for lack of a store to renew them at.
 */
class Catalogue
{
public:
    CatalogueChanges applyChanges(const StoreChanges &changes, MonotonicTime now);
    /** A whole listing; what it does not hold is gone. */
    CatalogueChanges applyListing(const std::vector<StoreEntry> &entries, std::int64_t revision, MonotonicTime now);
    /** The store has not answered, or turned this daemon away. */
    void noteTrouble(MonotonicTime now);
    void noteAnswer(MonotonicTime now);
    /** Drops entries whose grace has ended. */
    CatalogueChanges expire(MonotonicTime now);

    const RouteTablePointer &table() const;
    bool hasTargets() const;
    std::int64_t revision() const;

private:
    void apply(const StoreEntry &entry, CatalogueChanges &changes, MonotonicTime now);
    void adoptConfiguration(const Configuration &configuration, CatalogueChanges &changes);
    void adoptTarget(const TargetRecord &record, CatalogueChanges &changes);
    void dropTarget(const TargetId &id, CatalogueChanges &changes, MonotonicTime now);
    bool isInGrace(MonotonicTime now) const;

    RouteTablePointer m_table;
    std::map<TargetId, TargetRecord> m_targets;
    std::map<TargetId, MonotonicTime> m_doubtful; ///< vanished while the store was in trouble; when that counts
    std::set<FailureDomain> m_domainsOut;
    std::int64_t m_revision = 0;
    bool m_inTrouble = false;
    MonotonicTime m_graceUntil;
};

} // namespace CassiaRelay::Gateway
