#pragma once

#include <fleet/fleet.h>

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace CassiaRelay::Fleet {

/** Several daemons in one process. Messages arrive at once; those across a partition or to a removed daemon are lost. */
class TestCell
{
public:
    FleetNode &add(
        const std::string &vm, GrantRules rules = {}, const FleetNode::DocumentCheck &check = [](const Schema::Document &) {});
    void remove(const std::string &vm);
    FleetNode &node(const std::string &vm);
    /** Passes a VM list with these members to the daemon. */
    void readList(const std::string &vm, std::int64_t revision, const std::set<std::string> &members);
    /** Separates these daemons from all others. */
    void partition(const std::set<std::string> &side);
    void heal();
    void run(std::chrono::milliseconds time);
    void perform(const std::string &vm, const Outputs &outputs);

    ClaimId claim(const std::string &vm, const std::string &key, std::uint64_t body = 1);
    void finish(const std::string &vm, ClaimId claim, GrantEnd end, const std::string &result);
    /** Returns nullptr while the claim is pending. */
    const GrantDecision *decision(ClaimId claim) const;
    bool isHeld(ClaimId claim) const;
    const std::string *replay(ClaimId claim) const;
    const Refusal *refusal(ClaimId claim) const;

    MonotonicTime now() const;
    WallTime wall() const;
    std::map<Fingerprint, QuarantineState> &quarantine(const std::string &vm);
    const DemandChanged &demand(const std::string &vm);
    std::size_t sentBytes(const std::string &vm) const;
    /** Number of grant messages that all daemons have sent to others, by kind. */
    const std::map<std::string, std::size_t> &sentKinds() const;
    std::size_t grantBytes() const;

private:
    struct Envelope {
        VmId from;
        VmId to;
        Schema::PeerMessage message;
    };

    void deliver();
    void count(const Schema::PeerMessage &message);

    MonotonicTime m_now { std::chrono::hours(1) };
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_lastClaim = 0;
    std::map<std::string, std::unique_ptr<FleetNode>> m_nodes;
    std::set<std::string> m_partitioned;
    std::deque<Envelope> m_messages;
    std::map<std::uint64_t, GrantDecision> m_decisions;
    std::map<std::string, std::map<Fingerprint, QuarantineState>> m_quarantine;
    std::map<std::string, DemandChanged> m_demand;
    std::map<std::string, std::size_t> m_sentBytes;
    std::map<std::string, std::size_t> m_sentKinds;
    std::size_t m_grantBytes = 0;
};

} // namespace CassiaRelay::Fleet
