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
};

/**
 * Tracks which other daemons are alive. The result is a hint: no guarantee depends on it.
 *
 * A daemon counts as alive while its last greeting or response is less than a second old, by the steady clock.
 */
class Members
{
public:
    Members(VmId self, Endpoint endpoint);

    void setSeeds(std::vector<Endpoint> seeds);
    /** @return true when the member is new, has a new incarnation or has started or stopped leaving */
    bool onGreeting(const Member &member, const std::vector<Endpoint> &known, MonotonicTime now);
    /** Removes and returns the members whose last greeting is too old. */
    std::vector<Member> expire(MonotonicTime now);
    /** Endpoints to greet in the current round. */
    std::vector<Endpoint> endpointsToGreet();
    std::vector<Member> alive() const;
    /** The daemon that collects the pieces of a service; no value when it is this daemon. */
    std::optional<Member> owner(const ServiceName &service) const;
    /** Like owner(), but skips daemons at which an order has recently failed. Used for new orders. */
    std::optional<Member> availableOwner(const ServiceName &service, MonotonicTime now) const;
    /**
     * Handles the failure of an order at another daemon.
     * @param hardDeadline time after which the order is of no use
     * @return whether the order may be placed again; if so, availableOwner() skips the daemon for a while
     */
    bool onOrderFailed(const VmId &vm, MonotonicTime hardDeadline, MonotonicTime now);
    void setLeaving();
    /** Number of daemons that may be alive, including this one. */
    int count() const;

private:
    struct State {
        Member member;
        MonotonicTime heardAt;
        MonotonicTime avoidedUntil;
    };
    /** An address at which an unknown daemon may listen. */
    struct Candidate {
        Endpoint endpoint;
        MonotonicTime addedAt;
        bool isSeed = false;
    };

    template<typename Condition>
    std::optional<Member> highestRanked(const ServiceName &service, Condition isCandidate) const;

    VmId m_self;
    Endpoint m_endpoint;
    bool m_isLeaving = false;
    std::map<VmId, State> m_members;
    std::map<std::string, Candidate> m_candidates; ///< by address
};

} // namespace CassiaRelay::Gateway
