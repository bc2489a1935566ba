#include "targetstate.h"

#include <algorithm>

namespace CassiaRelay::Routing {

namespace {

constexpr int WARM_SUCCESSES = 8;
constexpr double JUMP = 4;
constexpr int JUMPS_TO_COLD = 3;
constexpr int MIN_BASELINE_SAMPLES = 16;
constexpr double BASELINE_SMOOTHING = 0.02;
constexpr double RECENT_SMOOTHING = 0.2;

} // namespace

void TargetState::adopt(const Target &target)
{
    const bool isBack = !isPublished || (!published.acceptsWork() && target.acceptsWork());
    const bool isNew = published.id != target.id;
    published = target;
    isPublished = true;
    if (isBack) {
        markCold();
    }
    if (isNew) {
        warmth = Warmth::Unknown;
        m_incarnation = target.incarnation;
    }
}

void TargetState::withdraw()
{
    isPublished = false;
}

// Reports and lists come late, so an older incarnation says nothing.
bool TargetState::observeIncarnation(Incarnation incarnation)
{
    if (!(m_incarnation < incarnation)) {
        return false;
    }
    const bool isRestart = m_incarnation != Incarnation();
    m_incarnation = incarnation;
    if (isRestart) {
        markCold();
    }
    return isRestart;
}

void TargetState::onStarted()
{
    ++inFlight;
}

void TargetState::onDropped()
{
    --inFlight;
}

void TargetState::onFinished(AttemptOutcome outcome, double pace, MonotonicTime now)
{
    --inFlight;
    m_limit.onFinished(outcome, pace / std::max(m_pace, 0.01), bound(), now);
    // The next process that accepts a connection there is a fresh one.
    if (outcome == AttemptOutcome::Unreachable || outcome == AttemptOutcome::ConnectionLost) {
        markCold();
        return;
    }
    if (outcome != AttemptOutcome::Succeeded) {
        m_successes = warmth == Warmth::Warm ? m_successes : 0;
        return;
    }
    observePace(pace);
    if (warmth == Warmth::Warm) {
        return;
    }
    ++m_successes;
    warmth = m_successes >= WARM_SUCCESSES ? Warmth::Warm : Warmth::Warming;
}

void TargetState::setShare(int share)
{
    m_share = share;
}

void TargetState::markCold()
{
    warmth = Warmth::Cold;
    m_successes = 0;
    m_slowInRow = 0;
}

bool TargetState::needsPermit() const
{
    return warmth != Warmth::Warm;
}

bool TargetState::hasRoom() const
{
    if (!isPublished || !published.acceptsWork() || isReserved) {
        return false;
    }
    if (isProbing) {
        return inFlight == 0;
    }
    return inFlight < (needsPermit() ? published.limits.coldConcurrency + m_successes : m_limit.value(bound()));
}

double TargetState::expectedWait() const
{
    const double slots = std::max(1, published.limits.concurrency);
    return (1 + (inFlight + reportedQueue) / slots) * m_recentPace;
}

int TargetState::bound() const
{
    return m_share.value_or(published.limits.concurrency);
}

// Slow answers don't move the baseline that they are judged by, unless they stay.
void TargetState::observePace(double pace)
{
    m_recentPace += RECENT_SMOOTHING * (pace - m_recentPace);
    const bool isJump = m_samples >= MIN_BASELINE_SAMPLES && pace > JUMP * m_pace;
    if (!isJump) {
        m_slowInRow = 0;
        ++m_samples;
        m_pace += std::max(BASELINE_SMOOTHING, 1.0 / (m_samples + 1)) * (pace - m_pace);
        return;
    }
    if (++m_slowInRow >= JUMPS_TO_COLD) {
        markCold();
        m_samples = 0;
    }
}

} // namespace CassiaRelay::Routing
