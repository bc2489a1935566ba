#pragma once

#include "targetrecord.h"

#include <map>
#include <optional>
#include <set>

namespace CassiaRelay::Gateway {

/** The only software version that targets of a service have run for some time. */
struct SoleVersion {
    std::string softwareVersion;
    Duration alone {};     ///< for which no target of another version was listed
    MonotonicTime asOf {}; ///< targets that were published later may be missing

    /** Whether all streams that are not older than this began at this version. */
    bool hasBegunAllStreams(Duration maxStreamAge) const;
};

/**
 * Remembers which software versions the targets of each service have run.
 *
 * A daemon that has just started knows nothing of the time before, and does not take the versions that it sees for those that there were.
 */
class VersionHistory
{
public:
    /** The store is listed anew; targets may have come and gone unnoticed before. */
    void restart(MonotonicTime now);
    void add(const TargetRecord &record, MonotonicTime now);
    void remove(const TargetId &id, MonotonicTime now);
    /** Returns no value if the service has no targets, or targets of several versions. */
    std::optional<SoleVersion> soleVersion(const ServiceName &service, MonotonicTime now) const;

private:
    struct Version {
        std::set<TargetId> targets;
        MonotonicTime lastListedAt; ///< of its last target; without meaning while there are targets
    };
    struct Listed {
        ServiceName service;
        std::string softwareVersion;
    };

    std::map<ServiceName, std::map<std::string, Version>> m_versions;
    std::map<TargetId, Listed> m_targets;
    MonotonicTime m_knownSince;
};

} // namespace CassiaRelay::Gateway
