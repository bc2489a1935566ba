#include "membership.h"

#include <algorithm>
#include <iterator>

namespace CassiaRelay::Fleet {

namespace {

constexpr std::chrono::milliseconds PULL_INTERVAL { 200 };
/** Largest tolerated difference between the wall clocks of callers and VMs in checks of the age of a key. */
constexpr std::chrono::seconds CLOCK_SKEW { 5 };

std::int64_t toUnixMs(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

} // namespace

Membership::Membership(VmId self, Incarnation incarnation, GrantRules rules)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_rules(rules)
{
}

void Membership::setTime(MonotonicTime now, WallTime wall)
{
    m_now = now;
    m_wall = wall;
    if (!m_started) {
        m_started = now;
        m_adoptedAt = now;
        m_oldestKey = wall + CLOCK_SKEW;
    }
}

void Membership::setResendWindow(std::chrono::milliseconds window)
{
    m_resendWindow = window;
}

void Membership::addView(std::int64_t revision, const Members &members)
{
    // The records of views before the last caught-up one are already complete.
    if (revision >= m_lastCaughtUp) {
        m_views.emplace(revision, members);
    }
    if (revision <= m_revision) {
        return;
    }
    m_revision = revision;
    m_adoptedAt = m_now;
    m_answers.clear();
    m_earlierViewsClosedAt.reset();
    m_nextPull = m_now;
}

std::int64_t Membership::revision() const
{
    return m_revision;
}

const Members &Membership::members() const
{
    static const Members NONE;
    const auto found = m_views.find(m_revision);
    return found == m_views.end() ? NONE : found->second;
}

std::size_t Membership::majority() const
{
    return members().size() / 2 + 1;
}

bool Membership::isCaughtUp() const
{
    return m_revision > 0 && m_lastCaughtUp == m_revision;
}

bool Membership::wasCaughtUp() const
{
    return m_firstCaughtUp > 0;
}

bool Membership::mayGrant(std::optional<WallTime> issued) const
{
    if (!m_rules.caughtUpOnly) {
        return true;
    }
    if (isCaughtUp()) {
        return !isTooOld(issued);
    }
    // A key issued after all earlier views were closed cannot have been granted in one of them.
    return m_earlierViewsClosedAt && issued && *issued > m_earlierViewsClosedWall + CLOCK_SKEW && *issued < m_wall + CLOCK_SKEW;
}

bool Membership::isTooOld(std::optional<WallTime> issued) const
{
    return issued && *issued < m_oldestKey;
}

std::optional<MonotonicTime> Membership::earlierViewsClosedAt() const
{
    return m_earlierViewsClosedAt;
}

std::vector<Schema::VmIncarnation> Membership::knownIncarnations() const
{
    std::vector<Schema::VmIncarnation> known;
    for (const auto &[vm, incarnation] : m_knownIncarnations) {
        known.push_back({ incarnation, vm.value() });
    }
    return known;
}

Outputs Membership::tick(MonotonicTime now)
{
    if (members().count(m_self) == 0 || now < m_nextPull || (isCaughtUp() && m_earlierViewsClosedAt)) {
        return {};
    }
    m_nextPull = now + PULL_INTERVAL;
    evaluate();
    Members asked;
    for (const auto &[revision, members] : m_views) {
        asked.insert(members.begin(), members.end());
    }
    asked.erase(m_self);
    Outputs outputs;
    for (const VmId &vm : asked) {
        outputs.push_back(SendMessage { vm, Schema::ViewPull { static_cast<std::int64_t>(m_incarnation.value()), m_revision, views() } });
    }
    return outputs;
}

Outputs Membership::onPull(const VmId &from, const Schema::ViewPull &pull, const std::vector<Schema::GrantRecord> &records)
{
    addViews(pull.views);
    if (m_rules.sameViewOnly && m_revision > pull.revision) {
        return { SendMessage { from, Schema::ViewNews { views() } } };
    }
    if (m_revision < pull.revision) {
        return {};
    }
    std::int64_t &known = m_knownIncarnations[from];
    known = std::max(known, pull.incarnation);
    const Answer own = ownAnswer();
    Schema::ViewAnswer answer;
    answer.revision = pull.revision;
    answer.pullerIncarnation = pull.incarnation;
    answer.incarnation = static_cast<std::int64_t>(m_incarnation.value());
    answer.firstSeasoned = own.firstCaughtUp;
    answer.lastSeasoned = own.lastCaughtUp;
    answer.uptimeMs = own.uptime.count();
    answer.oldestKeyMs = toUnixMs(own.oldestKey);
    answer.records = records;
    answer.views = views();
    return { SendMessage { from, answer } };
}

void Membership::onNews(const Schema::ViewNews &news)
{
    addViews(news.views);
}

bool Membership::onAnswer(const VmId &from, const Schema::ViewAnswer &answer)
{
    if (answer.pullerIncarnation != static_cast<std::int64_t>(m_incarnation.value())) {
        return false;
    }
    addViews(answer.views);
    if (answer.revision != m_revision) {
        return false;
    }
    m_answers[from] = { answer.firstSeasoned,
                        answer.lastSeasoned,
                        std::chrono::milliseconds(answer.uptimeMs),
                        WallTime(std::chrono::milliseconds(answer.oldestKeyMs)) };
    return true;
}

void Membership::addViews(const std::vector<Schema::CellView> &views)
{
    for (const Schema::CellView &view : views) {
        Members members;
        for (const std::string &vm : view.members) {
            members.insert(VmId(vm));
        }
        addView(view.revision, members);
    }
}

std::vector<Schema::CellView> Membership::views() const
{
    std::vector<Schema::CellView> views;
    for (const auto &[revision, members] : m_views) {
        Schema::CellView view;
        view.revision = revision;
        for (const VmId &vm : members) {
            view.members.push_back(vm.value());
        }
        views.push_back(view);
    }
    return views;
}

std::map<VmId, Membership::Answer> Membership::answers() const
{
    std::map<VmId, Answer> answers = m_answers;
    answers[m_self] = ownAnswer();
    return answers;
}

Membership::Answer Membership::ownAnswer() const
{
    const auto uptime =
        m_started ? std::chrono::duration_cast<std::chrono::milliseconds>(m_now - *m_started) : std::chrono::milliseconds(0);
    return { m_firstCaughtUp, m_lastCaughtUp, uptime, m_oldestKey };
}

// The latest view in which this or an answering member was caught up. If there is none, any known view may have granted.
std::int64_t Membership::baseRevision() const
{
    std::int64_t base = 0;
    for (const auto &[vm, answer] : answers()) {
        base = std::max(base, answer.lastCaughtUp);
    }
    return m_rules.quorumOfEveryView ? base : m_revision;
}

bool Membership::isAccepted(const Answer &answer, std::int64_t revision, AnswerFilter filter) const
{
    const bool caughtUp = answer.firstCaughtUp > 0 && answer.firstCaughtUp <= revision;
    const bool longRunning = answer.uptime >= m_resendWindow;
    return caughtUp || filter == AnswerFilter::Any || (filter == AnswerFilter::CaughtUpOrLongRunning && longRunning);
}

bool Membership::isHistoryComplete(AnswerFilter filter) const
{
    const std::int64_t base = baseRevision();
    // If no answering member was ever caught up, a silent one may have been, so all members have to answer.
    if (base == 0 && (filter == AnswerFilter::CaughtUp || !haveAnswered(members()))) {
        return false;
    }
    for (const auto &[revision, members] : m_views) {
        if (revision >= base && revision <= m_revision && !hasQuorum(revision, members, filter)) {
            return false;
        }
    }
    return true;
}

bool Membership::hasQuorum(std::int64_t revision, const Members &members, AnswerFilter filter) const
{
    // A member that has been caught up before still has the records of its votes and needs no other answers for the current view.
    if (revision == m_revision && m_firstCaughtUp > 0 && filter != AnswerFilter::Any) {
        return true;
    }
    std::size_t accepted = 0;
    for (const auto &[vm, answer] : answers()) {
        const bool ownCurrentAnswer = vm == m_self && revision == m_revision && filter == AnswerFilter::CaughtUp;
        if (!ownCurrentAnswer && members.count(vm) > 0 && isAccepted(answer, revision, filter)) {
            ++accepted;
        }
    }
    return accepted >= members.size() / 2 + 1 || (filter == AnswerFilter::CaughtUpOrLongRunning && hasExpired(revision, members));
}

// VMs that are not on the list are stopped, and the keys that they granted are not re-sent after the resend window.
bool Membership::hasExpired(std::int64_t revision, const Members &members) const
{
    if (revision == m_revision || m_now - m_adoptedAt < m_resendWindow) {
        return false;
    }
    Members remaining;
    std::set_intersection(
        members.begin(), members.end(), this->members().begin(), this->members().end(), std::inserter(remaining, remaining.end()));
    return haveAnswered(remaining);
}

bool Membership::haveAnswered(const Members &members) const
{
    return std::all_of(members.begin(), members.end(), [this](const VmId &vm) { return vm == m_self || m_answers.count(vm) > 0; });
}

void Membership::evaluate()
{
    if (!m_started || members().count(m_self) == 0) {
        return;
    }
    if (!m_earlierViewsClosedAt && isHistoryComplete(AnswerFilter::Any)) {
        m_earlierViewsClosedAt = m_now;
        m_earlierViewsClosedWall = m_wall;
    }
    if (isCaughtUp()) {
        return;
    }
    for (const AnswerFilter filter : { AnswerFilter::CaughtUp, AnswerFilter::CaughtUpOrLongRunning }) {
        if (isHistoryComplete(filter)) {
            markCaughtUp(filter);
            return;
        }
    }
}

void Membership::markCaughtUp(AnswerFilter filter)
{
    // Records of keys that are older than the records of a member whose answer was used may have been lost.
    WallTime oldest = m_firstCaughtUp > 0 || filter == AnswerFilter::CaughtUpOrLongRunning ? m_oldestKey : WallTime {};
    for (const auto &[vm, answer] : m_answers) {
        if (filter == AnswerFilter::CaughtUpOrLongRunning || answer.firstCaughtUp > 0) {
            oldest = std::max(oldest, answer.oldestKey);
        }
    }
    m_oldestKey = oldest;
    m_firstCaughtUp = m_firstCaughtUp > 0 ? m_firstCaughtUp : m_revision;
    m_lastCaughtUp = m_revision;
    m_views.erase(m_views.begin(), m_views.lower_bound(m_revision));
}

} // namespace CassiaRelay::Fleet
