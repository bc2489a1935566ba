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
 * Tracks the views of the cell and whether this daemon has every grant record of the earlier ones.
 *
 * A view is a revision of the member list. The earlier views are closed when none of them can grant any more. This daemon is
 * caught up in a view when it has all grant records of the earlier ones; the peer messages call this "seasoned". It sends pulls
 * to request the records and views of the other members.
 */
class Membership
{
public:
    Membership(VmId self, Incarnation incarnation, GrantRules rules);

    /** Must be called before any other function, and on each tick. */
    void setTime(MonotonicTime now, WallTime wall);
    void setResendWindow(std::chrono::milliseconds window);

    /** Adds a view, and switches to it if it is newer than the current one. */
    void addView(std::int64_t revision, const Members &members);
    std::int64_t revision() const;
    const Members &members() const;
    std::size_t majority() const;

    bool isCaughtUp() const;
    /** Returns whether this process has been caught up in any view. */
    bool wasCaughtUp() const;
    /** Returns whether this member may vote for a key with this time of issue, given that it has all records since its start. */
    bool mayGrant(std::optional<WallTime> issued) const;
    /** Returns whether the record of a key with this time of issue may have been lost permanently. */
    bool isTooOld(std::optional<WallTime> issued) const;
    /** Time at which the earlier views were closed; std::nullopt if they are not. */
    std::optional<MonotonicTime> earlierViewsClosedAt() const;
    /** Highest incarnation of each member that has sent a pull to this daemon. */
    std::vector<Schema::VmIncarnation> knownIncarnations() const;

    Outputs tick(MonotonicTime now);
    Outputs onPull(const VmId &from, const Schema::ViewPull &pull, const std::vector<Schema::GrantRecord> &records);
    void onNews(const Schema::ViewNews &news);
    /** @return true if the records of the answer are to be merged */
    bool onAnswer(const VmId &from, const Schema::ViewAnswer &answer);
    /** Closes the earlier views and becomes caught up if the answers so far allow it. Merge the records of the answers first. */
    void evaluate();

private:
    struct Answer {
        std::int64_t firstCaughtUp = 0;
        std::int64_t lastCaughtUp = 0;
        std::chrono::milliseconds uptime {};
        WallTime oldestKey;
    };

    /** Selects the answers that count towards the quorum of a view. */
    enum class AnswerFilter {
        CaughtUp,
        CaughtUpOrLongRunning, ///< also members that have been running for at least the resend window
        Any,
    };

    void addViews(const std::vector<Schema::CellView> &views);
    std::vector<Schema::CellView> views() const;
    std::map<VmId, Answer> answers() const;
    Answer ownAnswer() const;
    std::int64_t baseRevision() const;
    bool isAccepted(const Answer &answer, std::int64_t revision, AnswerFilter filter) const;
    bool isHistoryComplete(AnswerFilter filter) const;
    bool hasQuorum(std::int64_t revision, const Members &members, AnswerFilter filter) const;
    bool hasExpired(std::int64_t revision, const Members &members) const;
    bool haveAnswered(const Members &members) const;
    void markCaughtUp(AnswerFilter filter);

    VmId m_self;
    Incarnation m_incarnation;
    GrantRules m_rules;
    MonotonicTime m_now;
    WallTime m_wall;
    std::optional<MonotonicTime> m_started;
    WallTime m_oldestKey; ///< records of keys issued before this time may have been lost
    std::chrono::milliseconds m_resendWindow { 30000 };
    std::int64_t m_revision = 0;
    MonotonicTime m_adoptedAt;
    std::map<std::int64_t, Members> m_views;
    std::int64_t m_firstCaughtUp = 0;
    std::int64_t m_lastCaughtUp = 0;
    std::map<VmId, Answer> m_answers;
    std::map<VmId, std::int64_t> m_knownIncarnations;
    std::optional<MonotonicTime> m_earlierViewsClosedAt;
    WallTime m_earlierViewsClosedWall;
    MonotonicTime m_nextPull;
};

} // namespace CassiaRelay::Fleet
