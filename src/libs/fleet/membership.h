#pragma once

#include "grantrules.h"
#include "output.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace CassiaRelay::Fleet {

using Members = std::set<VmId>;

/**
 * Views of the cell and whether this daemon remembers every grant of the earlier ones.
 * A view is closed here when no earlier one can grant any more, and seasoned when all records of the earlier ones are known.
 */
class Membership
{
public:
    Membership(VmId self, Incarnation incarnation, GrantRules rules);

    /** Call first, and on each tick. */
    void setTime(MonotonicTime now, WallTime wall);
    void setResendWindow(std::chrono::milliseconds window);

    /** Takes a view over when it is newer than the current one. */
    void learn(std::int64_t revision, const Members &members);
    std::int64_t revision() const;
    const Members &members() const;
    std::size_t majority() const;

    bool isSeasoned() const;
    /** Whether this process has been seasoned in any view. */
    bool wasSeasoned() const;
    /** True when a member that remembers everything since its start may vote for a key with this time of issue. */
    bool mayGrant(std::optional<WallTime> issued) const;
    /** True when a key with this time of issue may have been forgotten for good. */
    bool isTooOld(std::optional<WallTime> issued) const;
    /** Time at which the current view was closed; nothing when it is not. */
    std::optional<MonotonicTime> closedSince() const;
    /** Highest incarnation of each member that has pulled this one. */
    std::vector<Schema::VmIncarnation> knownIncarnations() const;

    Outputs tick(MonotonicTime now);
    Outputs onPull(const VmId &from, const Schema::ViewPull &pull, const std::vector<Schema::GrantRecord> &records);
    void onNews(const Schema::ViewNews &news);
    /** @return true when the records of the answer are to be taken over */
    bool onAnswer(const VmId &from, const Schema::ViewAnswer &answer);
    /** Becomes seasoned or closed when the answers so far allow it; their records must be taken over before. */
    void evaluate();

private:
    struct Answer {
        std::int64_t firstSeasoned = 0;
        std::int64_t lastSeasoned = 0;
        std::chrono::milliseconds uptime {};
        WallTime oldestKey;
    };

    enum class Voucher {
        Seasoned,
        SeasonedOrOld, ///< also a member that has been up for longer than callers send a key again
        Any,
    };

    void learn(const std::vector<Schema::CellView> &views);
    std::vector<Schema::CellView> views() const;
    std::map<VmId, Answer> answers() const;
    Answer ownAnswer() const;
    std::int64_t base() const;
    bool vouches(const Answer &answer, std::int64_t revision, Voucher voucher) const;
    bool isChainComplete(Voucher voucher) const;
    bool isVouchedFor(std::int64_t revision, const Members &members, Voucher voucher) const;
    bool isOutlived(std::int64_t revision, const Members &members) const;
    bool haveAnswered(const Members &members) const;
    void becomeSeasoned(Voucher voucher);

    VmId m_self;
    Incarnation m_incarnation;
    GrantRules m_rules;
    MonotonicTime m_now;
    WallTime m_wall;
    std::optional<MonotonicTime> m_started;
    WallTime m_oldestKey;
    std::chrono::milliseconds m_resendWindow { 30000 };
    std::int64_t m_revision = 0;
    MonotonicTime m_adoptedAt;
    std::map<std::int64_t, Members> m_views;
    std::int64_t m_firstSeasoned = 0;
    std::int64_t m_lastSeasoned = 0;
    std::map<VmId, Answer> m_answers;
    std::map<VmId, std::int64_t> m_knownIncarnations;
    std::optional<MonotonicTime> m_closedAt;
    WallTime m_closedWall;
    MonotonicTime m_nextPull;
};

} // namespace CassiaRelay::Fleet
