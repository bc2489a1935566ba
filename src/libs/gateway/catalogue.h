#pragma once

#include "routetable.h"
#include "storeentry.h"
#include "versionhistory.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace CassiaRelay::Gateway {

/** A target was added or updated. */
struct TargetAdopted {
    TargetRecord record;
};
/** A target was removed. */
struct TargetDropped {
    TargetId id;
    bool hasRestarted = false; ///< followed by a TargetAdopted with the new start time
};
/** A failure domain was disabled or restored. */
struct DomainChanged {
    FailureDomain domain;
    bool isDisabled = false;
};
/** A newer configuration took effect. */
struct TableAdopted {
    RouteTablePointer table;
};
/** An invalid entry of the store was ignored. */
struct EntryRejected {
    std::string key;
    std::string reason;
};
using CatalogueChange = std::variant<TargetAdopted, TargetDropped, DomainChanged, TableAdopted, EntryRejected>;
using CatalogueChanges = std::vector<CatalogueChange>;

/**
 * Local view of the store: the newest configuration, the disabled failure domains and the targets.
 *
 * A configuration is never replaced by an older version. Targets that disappeared while the store was unavailable for so long that entries
 * of live targets expire are kept for a short grace period after its return: they may only not have been renewed. All other targets that
 * disappear are dropped immediately.
 *
 * A store that was restored from a copy lists what it held some seconds ago, until it is written again. The first listing after that
 * brings no target back that has left since, and withdraws nothing before the grace period has ended.
 */
class Catalogue
{
public:
    CatalogueChanges applyChanges(const StoreChanges &changes, MonotonicTime now);
    /** Applies a complete listing; targets and disabled domains that it does not contain are removed. */
    CatalogueChanges applyListing(const std::vector<StoreEntry> &entries, std::int64_t revision, MonotonicTime now);
    /**
     * Compares the era in a response of the store with the one before; the store starts a new era when it was restored from a copy.
     * @return true in a new era: the response must not be applied, and a complete listing is needed
     */
    bool isNewEra(std::int64_t era);
    /** The store did not respond, or refused the request of this daemon. */
    void setStoreUnavailable();
    void setStoreAvailable(MonotonicTime now);
    /** Everything that the store had acknowledged by then has been applied. */
    void setCurrentAsOf(MonotonicTime time);
    /** No value before the first answer of the store. */
    const std::optional<MonotonicTime> &currentAsOf() const;
    /** Whether the last call to the store was answered; true before the first one. */
    bool isStoreAvailable() const;
    /** Drops targets whose grace period has ended. */
    CatalogueChanges expire(MonotonicTime now);
    /** When the next grace period ends; no value while the store is unavailable or no removal is pending. */
    std::optional<MonotonicTime> nextExpiry() const;

    const RouteTablePointer &table() const;
    bool hasTargets() const;
    /** Like VersionHistory::soleVersion(), but without a value while the store is unavailable: targets may come and go unnoticed. */
    std::optional<SoleVersion> soleVersion(const ServiceName &service, MonotonicTime now) const;
    std::int64_t revision() const;

private:
    void apply(const StoreEntry &entry, CatalogueChanges &changes, MonotonicTime now);
    void adoptConfiguration(const Configuration &configuration, CatalogueChanges &changes);
    void adoptTarget(const TargetRecord &record, CatalogueChanges &changes, MonotonicTime now);
    void dropTarget(const TargetId &id, CatalogueChanges &changes, MonotonicTime now);
    std::optional<StoreEntry> withoutOutdatedState(const StoreEntry &entry) const;
    void forgetDroppedTargets(MonotonicTime now);

    /** A target that was removed recently. */
    struct DroppedTarget {
        StartTime startedAt;
        MonotonicTime droppedAt;
    };

    RouteTablePointer m_table;
    std::map<TargetId, TargetRecord> m_targets;
    VersionHistory m_versions;
    std::map<TargetId, MonotonicTime> m_pendingRemovals; ///< end of the grace period, by target
    std::map<TargetId, DroppedTarget> m_droppedTargets;
    std::set<FailureDomain> m_disabledDomains;
    std::map<FailureDomain, MonotonicTime> m_pendingRestorations; ///< end of the grace period, by disabled domain
    std::optional<std::int64_t> m_era;
    std::int64_t m_revision = 0;
    bool m_storeUnavailable = false;
    std::optional<MonotonicTime> m_answeredAt; ///< time of the last response
    std::optional<MonotonicTime> m_currentAsOf;
    bool m_isFirstResponse = false; ///< the first response after an outage in which entries may have expired
    bool m_isRestoredCopy = false;  ///< no listing has been applied since the store was restored from a copy
};

} // namespace CassiaRelay::Gateway
