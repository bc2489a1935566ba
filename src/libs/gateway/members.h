#pragma once

#include "targetrecord.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace CassiaRelay::Gateway {

/** Another daemon, as it has said. */
struct Member {
    VmId vm;
    Endpoint endpoint;
    std::int64_t incarnation = 0;
    bool isLeaving = false;
};

/**
 * Which other daemons are alive. Advice only: no promise rests on it.
 *
 * A daemon is alive while it has answered or greeted within the last second; the steady clock counts.
 */
class Members
{
public:
    Members(VmId self, Endpoint endpoint);

    void setSeeds(std::vector<Endpoint> seeds);
    /** @return true when this is news: a new member, a new incarnation or a daemon that leaves */
    bool onGreeting(const Member &member, const std::vector<Endpoint> &known, MonotonicTime now);
    /** Members that have been silent too long. */
    std::vector<Member> expire(MonotonicTime now);
    /** Whom to greet in this round. */
    std::vector<Endpoint> endpointsToGreet();
    std::vector<Member> alive() const;
    /** The daemon that gathers the pieces of a service, or nothing when it is this one. */
    std::optional<Member> owner(const ServiceName &service) const;
    /** The same, but the next in rank while an owner fails; for new orders. */
    std::optional<Member> availableOwner(const ServiceName &service, MonotonicTime now) const;
    /**
     * An order at another daemon failed.
     * @param hardDeadline when the order was to be given up
     * @return whether it may be placed again; the daemon is passed over for a while then
     */
    bool onOrderFailed(const VmId &vm, MonotonicTime hardDeadline, MonotonicTime now);
    void setLeaving();
    /** Daemons that may be alive: heard lately, and this one. */
    int count() const;

private:
    struct State {
        Member member;
        MonotonicTime heardAt;
        MonotonicTime avoidedUntil;
    };
    /** An address of which it isn't known who answers there. */
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
