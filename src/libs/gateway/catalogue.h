#pragma once

#include "routetable.h"
#include "storeentry.h"

#include <functional>
#include <map>
#include <optional>
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
    bool isDisabled = false;
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
 * A version is never replaced by an older one. Entries that vanished while the store was in trouble stay believed for a short grace
 * after its return, because they may have lapsed only for lack of a store to renew them at. What vanishes later is gone at once.
 */
class Catalogue
{
public:
    CatalogueChanges applyChanges(const StoreChanges &changes, MonotonicTime now);
    /** A whole listing; what it does not hold is gone. */
    CatalogueChanges applyListing(const std::vector<StoreEntry> &entries, std::int64_t revision, MonotonicTime now);
    /** The store has not answered, or turned this daemon away. */
    void setStoreUnavailable();
    void setStoreAvailable();
    /** Drops entries whose grace has ended. */
    CatalogueChanges expire(MonotonicTime now);
    /** When the next grace ends; nothing while the store is in trouble or no entry is in doubt. */
    std::optional<MonotonicTime> nextExpiry() const;

    const RouteTablePointer &table() const;
    bool hasTargets() const;
    std::int64_t revision() const;

private:
    void apply(const StoreEntry &entry, CatalogueChanges &changes, MonotonicTime now);
    void adoptConfiguration(const Configuration &configuration, CatalogueChanges &changes);
    void adoptTarget(const TargetRecord &record, CatalogueChanges &changes);
    void dropTarget(const TargetId &id, CatalogueChanges &changes, MonotonicTime now);

    RouteTablePointer m_table;
    std::map<TargetId, TargetRecord> m_targets;
    std::map<TargetId, MonotonicTime> m_pendingRemovals; ///< vanished while the store was in trouble; when that counts
    std::set<FailureDomain> m_disabledDomains;
    std::int64_t m_revision = 0;
    bool m_storeUnavailable = false;
    bool m_isFirstResponse = false; ///< what is being applied is the first answer after trouble
};

} // namespace CassiaRelay::Gateway
