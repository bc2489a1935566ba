#pragma once

#include "grantledger.h"

#include <deque>
#include <map>
#include <variant>

namespace CassiaRelay::Fleet {

/** Handles the claims of this daemon: collects votes, waits while another daemon holds the grant, and keeps outcomes. */
class GrantClaims
{
public:
    GrantClaims(VmId self, Incarnation incarnation, GrantRules rules);

    void setRetention(std::chrono::milliseconds retention);
    Outputs claim(const GrantClaim &claim, const Membership &membership, MonotonicTime now);
    Outputs finish(ClaimId claim, GrantEnd end, const std::string &result, const Membership &membership, MonotonicTime now);
    Outputs tick(const Membership &membership, MonotonicTime now);
    Outputs onReply(const VmId &from, const Schema::GrantReply &reply, const Membership &membership, MonotonicTime now);
    Outputs onQuery(const VmId &from, const Schema::HolderQuery &query, const Membership &membership) const;
    Outputs onHolderReply(const VmId &from, const Schema::HolderReply &reply, MonotonicTime now);
    /** Sends the outcomes of the stages of this daemon to all members again. */
    Outputs announceOutcomes(const Membership &membership) const;
    bool isIdle() const;

private:
    struct PendingClaim {
        GrantClaim claim;
        MonotonicTime arrivedAt;
    };
    /** The votes of the members are being collected. */
    struct Voting {
        std::int64_t attempt = 0;
        std::int64_t revision = 0;
        MonotonicTime startedAt;
        bool allRequested = false;
        std::map<VmId, std::int64_t> votes;             ///< incarnation of each member that has granted
        std::map<VmId, std::int64_t> knownIncarnations; ///< highest incarnation that any granter knows
        std::map<VmId, Schema::GrantVerdict> denials;
    };
    /** The next attempt is delayed. */
    struct BackingOff {
        MonotonicTime until;
    };
    /** Another daemon, or an earlier process of this one, holds the grant. */
    struct WaitingForHolder {
        Schema::GrantRecord record;
        MonotonicTime lastAnswer;
        MonotonicTime nextQuery;
    };
    struct Running {
        std::int64_t attempt = 0;
        ClaimId claim;
    };
    using Phase = std::variant<Voting, BackingOff, WaitingForHolder, Running>;
    struct Entry {
        Fingerprint fingerprint;
        std::deque<PendingClaim> pending;
        Phase phase;
    };
    using Entries = std::map<GrantKey, Entry>;
    struct Ended {
        Schema::GrantRecord record;
        MonotonicTime endedAt;
    };

    Schema::GrantRecord record(const GrantKey &key, const Entry &entry, std::int64_t attempt) const;
    Entries::iterator findAttempt(std::int64_t attempt);
    void startAttempt(Entries::value_type &item, const Membership &membership, MonotonicTime now, Outputs &outputs);
    void requestRemainingVotes(Entries::value_type &item, Voting &voting, const Membership &membership, Outputs &outputs);
    void backOff(Entries::value_type &item, MonotonicTime now);
    void release(const GrantKey &key, std::int64_t attempt, const Membership &membership, Outputs &outputs) const;
    void tickEntry(Entries::value_type &item, const Membership &membership, MonotonicTime now, Outputs &outputs);
    void tickVoting(Entries::value_type &item, const Membership &membership, MonotonicTime now, Outputs &outputs);
    void tickWaitingForHolder(Entries::value_type &item, MonotonicTime now, Outputs &outputs);
    void expirePending(Entry &entry, MonotonicTime now, Outputs &outputs);
    void refuse(ClaimId claim, ErrorKind kind, const std::string &detail, Outputs &outputs);
    void acquire(Entries::value_type &item, MonotonicTime now, Outputs &outputs);
    std::size_t validVotes(const Voting &voting) const;
    std::size_t neededVotes(const Voting &voting, const Membership &membership) const;
    void onRefused(
        Entries::value_type &item, const Schema::GrantRecord &record, const Membership &membership, MonotonicTime now, Outputs &outputs);
    Outputs answerEnded(const GrantClaim &claim, const Schema::GrantRecord &record);
    void endRunning(Entries::value_type &item,
                    GrantEnd end,
                    const std::string &result,
                    const Membership &membership,
                    MonotonicTime now,
                    Outputs &outputs);
    void resolve(Entry &entry, Schema::GrantState state, const std::optional<std::string> &result, Outputs &outputs);
    void refuseAll(Entry &entry, ErrorKind kind, const std::string &detail, Outputs &outputs);
    void dropEmpty(const GrantKey &key);

    VmId m_self;
    Incarnation m_incarnation;
    GrantRules m_rules;
    std::chrono::milliseconds m_retention { std::chrono::hours(1) };
    std::int64_t m_lastAttempt = 0;
    Entries m_entries;
    std::map<std::int64_t, GrantKey> m_attempts; ///< of the entries that are voting or running
    std::map<ClaimId, GrantKey> m_keys;          ///< of the claims that have not ended
    std::map<GrantKey, Ended> m_ended;           ///< attempts whose stage may have run
};

} // namespace CassiaRelay::Fleet
