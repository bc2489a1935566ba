#include "targetstate.h"

#include <algorithm>

namespace CassiaRelay::Routing {

namespace {

constexpr int SUCCESSES_TO_WARM = 8;
constexpr double OUTLIER_FACTOR = 4;
constexpr int OUTLIERS_TO_COLD = 3;
constexpr int MIN_BASELINE_SAMPLES = 16;
constexpr double BASELINE_SMOOTHING = 0.02;
constexpr double RECENT_SMOOTHING = 0.2;

} // namespace

void TargetState::update(const Target &target)
{
    const bool isReturning = !isPublished || (!published.acceptsWork() && target.acceptsWork());
    const bool isNew = published.id != target.id;
    published = target;
    isPublished = true;
    if (isReturning) {
        markCold();
    }
    if (isNew) {
        warmupState = WarmupState::Unknown;
        m_incarnation = target.incarnation;
    }
}

void TargetState::markUnpublished()
{
    isPublished = false;
}

// Load reports and target lists may arrive late, so an older incarnation is ignored.
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

void TargetState::acquireSlot()
{
    ++inFlight;
}

void TargetState::releaseSlot()
{
    --inFlight;
}

void TargetState::onFinished(AttemptOutcome outcome, double relativeTime, MonotonicTime now)
{
    --inFlight;
    m_concurrencyLimit.onFinished(outcome, relativeTime / std::max(m_baselineTime, 0.01), maxConcurrency(), now);
    // The next connection is probably accepted by a newly started process, which is cold.
    if (outcome == AttemptOutcome::Unreachable || outcome == AttemptOutcome::ConnectionLost) {
        markCold();
        return;
    }
    if (outcome != AttemptOutcome::Succeeded) {
        m_warmupSuccesses = warmupState == WarmupState::Warm ? m_warmupSuccesses : 0;
        return;
    }
    recordRelativeTime(relativeTime);
    if (warmupState == WarmupState::Warm) {
        return;
    }
    ++m_warmupSuccesses;
    warmupState = m_warmupSuccesses >= SUCCESSES_TO_WARM ? WarmupState::Warm : WarmupState::Warming;
}

void TargetState::setShare(int share)
{
    m_share = share;
}

void TargetState::markCold()
{
    warmupState = WarmupState::Cold;
    m_warmupSuccesses = 0;
    m_consecutiveOutliers = 0;
}

bool TargetState::needsPermit() const
{
    return warmupState != WarmupState::Warm;
}

bool TargetState::hasFreeSlot() const
{
    if (!isPublished || !published.acceptsWork() || isReserved) {
        return false;
    }
    if (isProbationary) {
        return inFlight == 0;
    }
    return inFlight < (needsPermit() ? published.limits.coldConcurrency + m_warmupSuccesses : m_concurrencyLimit.value(maxConcurrency()));
}

double TargetState::expectedWait() const
{
    const double slots = std::max(1, published.limits.concurrency);
    return (1 + (inFlight + reportedQueueLength) / slots) * m_recentTime;
}

int TargetState::maxConcurrency() const
{
    return m_share.value_or(published.limits.concurrency);
}

// Outliers don't change the baseline that they are compared with. If they persist, the target counts as cold and gets a new baseline.
void TargetState::recordRelativeTime(double relativeTime)
{
    m_recentTime += RECENT_SMOOTHING * (relativeTime - m_recentTime);
    const bool isOutlier = m_baselineSamples >= MIN_BASELINE_SAMPLES && relativeTime > OUTLIER_FACTOR * m_baselineTime;
    if (!isOutlier) {
        m_consecutiveOutliers = 0;
        ++m_baselineSamples;
        m_baselineTime += std::max(BASELINE_SMOOTHING, 1.0 / (m_baselineSamples + 1)) * (relativeTime - m_baselineTime);
        return;
    }
    if (++m_consecutiveOutliers >= OUTLIERS_TO_COLD) {
        markCold();
        m_baselineSamples = 0;
    }
}

} // namespace CassiaRelay::Routing
