#pragma once

#include "targetrecord.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace CassiaRelay::Gateway {

/** Another daemon, as described in its greeting. */
struct Member {
    VmId vm;
    Endpoint endpoint;
    std::int64_t incarnation = 0;
    bool isLeaving = false;
    double capacity = 1;                              ///< processing capacity of its VM, compared with the others
    std::optional<std::uint64_t> knownDaemonsHash {}; ///< Members::knownDaemonsHash() of that daemon
    FailureDomain failureDomain {};
    std::set<ServiceName> blockedServices {}; ///< services of which it reaches no target
    bool takesHandovers = true;               ///< daemons of earlier versions do not
    std::optional<std::uint64_t> bansHash {}; ///< CrashTracker::bansHash() there; no value at daemons of earlier versions
};

/**
 * Tracks which other daemons are alive. The result is a hint: no guarantee depends on it.
 *
 * The number of greetings in a round is bounded, so that their cost does not grow with the number of daemons. In a large fleet, a daemon
 * is therefore greeted every few rounds and counts as alive for longer after it was heard. Daemons that have orders of this one are
 * followed: they are greeted in each round and count as lost after a second of silence.
 */
class Members
{
public:
    /** @param capacity processing capacity of this VM, compared with the others */
    Members(VmId self, Endpoint endpoint, double capacity = 1);

    const VmId &self() const;
    void setSeeds(std::vector<Endpoint> seeds);
    /** @return true when the member is new, has a new incarnation, has started or stopped leaving, or reaches other services than before */
    bool onGreeting(const Member &member, const std::vector<Endpoint> &known, MonotonicTime now);
    /** Removes and returns the members whose last greeting is too old. */
    std::vector<Member> expire(MonotonicTime now);
    /** Endpoints to greet in the current round. */
    std::vector<Endpoint> endpointsToGreet(MonotonicTime now);
    std::vector<Member> alive() const;
    /** Hash of the addresses of this daemon and of those that are alive. */
    std::uint64_t knownDaemonsHash() const;
    /**
     * Addresses of other daemons that the next greeting to this one names.
     *
     * None if both know the same daemons, all if the receiver knows no others yet, else a few of them in turn: in a large fleet, what two
     * daemons know differs all the time.
     */
    std::vector<Endpoint> daemonsToName(const Endpoint &receiver);
    /** What the daemon at this address has last reported of its bans. */
    std::optional<std::uint64_t> bansHashOf(const Endpoint &receiver) const;
    /**
     * Whether the greeting to this daemon carries evidence of crashes; if so, the turn is taken.
     *
     * A daemon that has orders of all others exchanges greetings with each of them in each round. Its turn comes once in the time in which
     * each daemon is greeted once, so that the evidence that one daemon reads does not grow with the fleet.
     */
    bool takeEvidenceTurn(const Endpoint &receiver, MonotonicTime now);
    /** A daemon that has responded to something else than a greeting is alive. */
    void onHeard(const VmId &vm, MonotonicTime now);
    /** Detects for a few seconds within a second when the daemon is lost. */
    void follow(const VmId &vm, MonotonicTime now);
    /** Sets the services of which this daemon reaches no target. */
    void setBlockedServices(std::set<ServiceName> services);
    const std::set<ServiceName> &blockedServices() const;
    /** The daemon has declined a request because it reaches no target of the service; its next greeting may tell otherwise. */
    void onBlocked(const VmId &vm, const ServiceName &service);
    /** The daemon could not be reached, or takes no requests now. It is passed over for a while. */
    void avoid(const VmId &vm, MonotonicTime now);
    /**
     * A daemon that can place a request for the service which this one can't place; no value if there is none.
     *
     * Requests are spread over the daemons by their capacity.
     * @param key of the request
     * @param mayReceive called with a member; false excludes it
     */
    template<typename Condition>
    std::optional<Member> receiver(const ServiceName &service, std::uint64_t key, MonotonicTime now, Condition mayReceive) const;
    /**
     * The daemon that collects the pieces of a service; no value when it is this daemon.
     *
     * Only daemons with at least half of the highest capacity collect pieces, because those of the whole fleet pass through one daemon.
     * Daemons that reach no target of the service are skipped unless no daemon reaches any.
     */
    std::optional<Member> owner(const ServiceName &service) const;
    /** Like owner(), but skips daemons at which an order has recently failed. Used for new orders. */
    std::optional<Member> availableOwner(const ServiceName &service, MonotonicTime now) const;
    /**
     * Handles the failure of an order at another daemon.
     * @param hardDeadline time after which the order is of no use
     * @return whether the order may be placed again; if so, availableOwner() skips the daemon for a while
     */
    bool onOrderFailed(const VmId &vm, MonotonicTime hardDeadline, MonotonicTime now);
    /**
     * Share of the daemons for which this one decides as owner of the service; no value if another daemon is the owner.
     *
     * In a fleet that is split, each part has an owner. Its share is that of the daemons it still hears, so that the owners together do not
     * decide for many more daemons than there are.
     * @param maxVms daemons that are assumed until another one was heard
     */
    std::optional<double> ownedShare(const ServiceName &service, int maxVms) const;
    /** Whether this daemon comes first in the rendezvous ranking of a key. */
    bool owns(std::uint64_t key) const;
    /** The other daemons that come first in the rendezvous ranking of a key, without those that are leaving. */
    std::vector<Member> ranked(const std::string &key, std::size_t maxCount) const;
    void setLeaving();
    /** Number of daemons that are alive, including this one. */
    int count() const;
    /** The most daemons, including this one, that have been known at one time; no value until another daemon was heard. */
    std::optional<int> maxKnownCount() const;

private:
    struct State {
        Member member;
        std::string address; ///< text of the member's endpoint
        MonotonicTime heardAt;
        MonotonicTime greetedAt {};
        MonotonicTime toldAt {}; ///< last turn of evidence
        MonotonicTime avoidedUntil {};
        MonotonicTime followedSince {};
        MonotonicTime followedUntil {};
    };
    /** An address at which an unknown daemon may listen. */
    struct Candidate {
        Endpoint endpoint;
        MonotonicTime addedAt;
        bool isSeed = false;
        MonotonicTime greetedAt {};
    };

    template<typename Condition>
    std::optional<Member> highestRanked(const ServiceName &service, Condition isCandidate) const;

    Duration greetingTimeout(const State &state, MonotonicTime now) const;
    std::size_t roundsToGreetAll() const;
    std::vector<Endpoint> nextDaemonsToName();
    void updateMaxKnownCount();
    /** Rank of the member in a rendezvous ranking that takes the capacity into account; the highest one wins. */
    static double weightedRank(const Member &member, std::uint64_t key);

    VmId m_self;
    Endpoint m_endpoint;
    std::string m_address; ///< text of the endpoint
    double m_capacity;
    std::uint64_t m_knownDaemonsHash;
    int m_maxKnownCount = 0;
    VmId m_lastNamed; ///< last of the members that a greeting has named in turn
    bool m_isLeaving = false;
    std::set<ServiceName> m_blockedServices;
    std::map<VmId, State> m_members;
    std::map<std::string, Candidate> m_candidates; ///< by address
};

template<typename Condition>
std::optional<Member> Members::receiver(const ServiceName &service, std::uint64_t key, MonotonicTime now, Condition mayReceive) const
{
    const Member *best = nullptr;
    double bestRank = 0;
    for (const auto &[vm, state] : m_members) {
        const Member &member = state.member;
        if (member.isLeaving || !member.takesHandovers || state.avoidedUntil > now || member.blockedServices.count(service) > 0
            || !mayReceive(member)) {
            continue;
        }
        const double rank = weightedRank(member, key);
        if (!best || rank > bestRank) {
            best = &member;
            bestRank = rank;
        }
    }
    return best ? std::optional(*best) : std::nullopt;
}

} // namespace CassiaRelay::Gateway
