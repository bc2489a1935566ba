#pragma once

#include "grantledger.h"

#include <deque>
#include <map>
#include <variant>

namespace CassiaRelay::Fleet {

/** The claims of this daemon: asks the granters, waits for other holders, keeps outcomes for re-sends. */
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
    /** Tells all members again how the stages of this daemon ended. */
    Outputs announceOutcomes(const Membership &membership) const;
    bool isIdle() const;

private:
    struct Waiting {
        GrantClaim claim;
        MonotonicTime arrivedAt;
    };
    /** Collects votes. */
    struct Asking {
        std::int64_t attempt = 0;
        std::int64_t revision = 0;
        MonotonicTime startedAt;
        bool allAsked = false;
        std::map<VmId, std::int64_t> votes; ///< with the incarnation that gave it
        std::map<VmId, std::int64_t> known; ///< highest incarnation that any granter knows
        std::map<VmId, Schema::GrantVerdict> denials;
    };
    struct Pausing {
        MonotonicTime until;
    };
    /** Another daemon, or an earlier process, holds the grant. */
    struct Watching {
        Schema::GrantRecord record;
        MonotonicTime lastAnswer;
        MonotonicTime nextQuery;
    };
    struct Running {
        std::int64_t attempt = 0;
        ClaimId claim;
    };
    using Phase = std::variant<Asking, Pausing, Watching, Running>;
    struct Entry {
        Fingerprint fingerprint;
        std::deque<Waiting> waiting;
        Phase phase;
    };
    using Entries = std::map<GrantKey, Entry>;
    struct Ended {
        Schema::GrantRecord record;
        MonotonicTime at;
    };

    Schema::GrantRecord record(const GrantKey &key, const Entry &entry, std::int64_t attempt) const;
    Entries::iterator findAttempt(std::int64_t attempt);
    void start(Entries::value_type &item, const Membership &membership, MonotonicTime now, Outputs &outputs);
    void askRest(Entries::value_type &item, Asking &asking, const Membership &membership, Outputs &outputs);
    void pause(Entries::value_type &item, MonotonicTime now);
    void release(const GrantKey &key, std::int64_t attempt, const Membership &membership, Outputs &outputs) const;
    void tickEntry(Entries::value_type &item, const Membership &membership, MonotonicTime now, Outputs &outputs);
    void tickAsking(Entries::value_type &item, const Membership &membership, MonotonicTime now, Outputs &outputs);
    void tickWatching(Entries::value_type &item, MonotonicTime now, Outputs &outputs);
    void expireWaiting(Entry &entry, MonotonicTime now, Outputs &outputs);
    void refuse(ClaimId claim, ErrorKind kind, const std::string &detail, Outputs &outputs);
    void win(Entries::value_type &item, MonotonicTime now, Outputs &outputs);
    std::size_t validVotes(const Asking &asking) const;
    std::size_t neededVotes(const Asking &asking, const Membership &membership) const;
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
    std::map<std::int64_t, GrantKey> m_attempts; ///< of the entries that ask or run
    std::map<ClaimId, GrantKey> m_keys;          ///< of the claims that are not yet ended
    std::map<GrantKey, Ended> m_ended;           ///< attempts of which the stage may have run
};

} // namespace CassiaRelay::Fleet
