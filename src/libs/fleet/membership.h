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
    void addView(std::int64_t revision, const Members &members);
    std::int64_t revision() const;
    const Members &members() const;
    std::size_t majority() const;

    bool isCaughtUp() const;
    /** Whether this process has been seasoned in any view. */
    bool wasCaughtUp() const;
    /** True when a member that remembers everything since its start may vote for a key with this time of issue. */
    bool mayGrant(std::optional<WallTime> issued) const;
    /** True when a key with this time of issue may have been forgotten for good. */
    bool isTooOld(std::optional<WallTime> issued) const;
    /** Time at which the current view was closed; nothing when it is not. */
    std::optional<MonotonicTime> earlierViewsClosedAt() const;
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
        std::int64_t firstCaughtUp = 0;
        std::int64_t lastCaughtUp = 0;
        std::chrono::milliseconds uptime {};
        WallTime oldestKey;
    };

    enum class AnswerFilter {
        CaughtUp,
        CaughtUpOrLongRunning, ///< also a member that has been up for longer than callers send a key again
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
    WallTime m_oldestKey;
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
