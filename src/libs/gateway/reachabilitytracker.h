#pragma once

#include "targetregistry.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace CassiaRelay::Gateway {

/** A connection to open to a target, to find out whether it can be reached. */
struct ReachabilityProbe {
    ServiceName service;
    TargetId target;
    Endpoint endpoint;
};

/** A service became unreachable or reachable, for the log. */
struct ReachabilityChange {
    ServiceName service;
    bool isBlocked = false;
    std::size_t probes = 0; ///< of the round that decided
    Duration blockedFor {}; ///< when it became reachable
};

/**
 * Tracks whether this daemon can open connections to the targets of each service.
 *
 * A failed attempt only starts a round of probes. A service is blocked when all probes of a round fail, and no longer blocked when one
 * succeeds. Whether its targets are down or only out of reach from this daemon is told by the other daemons; see Members.
 */
class ReachabilityTracker
{
public:
    using ProbeHandler = std::function<void()>;

    /** Sets what to call when takeProbes() will return something. */
    void setProbeHandler(ProbeHandler onProbesWanted);
    /** A connection to a target of the service could not be opened, or was lost. */
    void recordFailure(const ServiceName &service, MonotonicTime now);
    /** A target of the service has responded. */
    void recordResponse(const ServiceName &service, MonotonicTime now);

    /** Starts the rounds of probes that are due and returns their probes. */
    std::vector<ReachabilityProbe> takeProbes(TargetRegistry &targets, MonotonicTime now);
    void onProbed(const ReachabilityProbe &probe, bool isConnected, MonotonicTime now);
    /** Returns the time at which a round is due; no value if none is. */
    std::optional<MonotonicTime> nextRoundAt() const;

    /** Whether no new connection to the targets of the service can be opened. */
    bool isBlocked(const ServiceName &service) const;
    std::set<ServiceName> blockedServices() const;
    /**
     * Whether a request for a blocked service that no other daemon takes is worth an attempt: over a kept connection if these still
     * work, and otherwise now and then.
     */
    bool mayTryBlocked(const ServiceName &service, MonotonicTime now);
    std::vector<ReachabilityChange> takeChanges();

    /** Time within which a probe connects or has failed. */
    static constexpr std::chrono::milliseconds PROBE_TIMEOUT { 300 };

private:
    struct State {
        bool isRoundWanted = false;
        std::size_t openProbes = 0;
        std::size_t failedProbes = 0;
        bool hasConnected = false; ///< a probe of the latest round
        MonotonicTime roundStartedAt;
        MonotonicTime nextRoundAt;
        std::optional<MonotonicTime> blockedSince;
        MonotonicTime respondedAt;
        MonotonicTime triedAt;
    };

    void wantRound(State &state);
    void block(const ServiceName &service, State &state, MonotonicTime now);
    void unblock(const ServiceName &service, State &state, MonotonicTime now);

    ProbeHandler m_onProbesWanted;
    std::map<ServiceName, State> m_services;
    std::vector<ReachabilityChange> m_changes;
};

} // namespace CassiaRelay::Gateway
