#include "fleetadmission.h"

#include <algorithm>

namespace CassiaRelay::Gateway {

namespace {

// About three calls: shorter than a burst, long enough to average over batches.
constexpr std::chrono::milliseconds RATE_HALF_LIFE { 1000 };
constexpr std::chrono::seconds USUAL_RATE_HALF_LIFE { 30 }; // several times the length of a burst
constexpr int RETRY_SHARE = 3;                              // callers honour a retry time of up to a third of their remaining time
// Share of the remaining time that no caller waits for. The hard deadline of an order is earlier than that of its caller, by the time of
// the later stages, so a third of it would still be honoured.
constexpr int NO_RETRY_SHARE = 2;

std::size_t rankIndex(int rank, std::size_t ranks)
{
    return std::min(static_cast<std::size_t>(std::max(0, rank)), ranks - 1);
}

} // namespace

bool AdmissionOutcome::isAdmitted() const
{
    return std::holds_alternative<Admitted>(decision);
}

FleetAdmission::FleetAdmission()
    : m_admittedPieces(RANKS, DecayingRate(RATE_HALF_LIFE))
    , m_usuallyAdmittedPieces(RANKS, DecayingRate(USUAL_RATE_HALF_LIFE))
    , m_freedBytes(RATE_HALF_LIFE)
{
}

AdmissionOutcome FleetAdmission::decide(AdmissionState state, const PieceOrder &order, MonotonicTime now)
{
    m_returns.removeExpired(now);
    addRates(state, order.rank, now);
    state.hasReservation = order.caller && m_returns.isDue(*order.caller, now);
    if (state.bytesFreedPerSecond && order.resultBytes > 0) {
        state.laterPiecesPerSecond = *state.bytesFreedPerSecond / static_cast<double>(order.resultBytes);
    }
    if (!state.hasReservation) {
        state.reservedPieces = m_returns.reservedPieces(order.rank, now);
    }
    AdmissionOutcome outcome { state, decideAdmission(state), std::nullopt };
    if (order.caller && state.hasReservation) {
        m_returns.redeem(*order.caller, now);
    }
    if (!outcome.isAdmitted()) {
        const Duration excess = std::get<Rejected>(outcome.decision).expectedCompletion - state.untilSoftDeadline;
        const ReturnTime retry = reserveRetry(state, std::max(Duration::zero(), excess), order, now);
        outcome.retryAfter = retry.at - now;
        outcome.isReserved = retry.isReserved;
        return outcome;
    }
    if (order.caller) {
        m_returns.cancel(*order.caller);
    }
    const std::size_t rank = rankIndex(order.rank, RANKS);
    m_admittedPieces.at(rank).add(static_cast<double>(order.pieces.size()), now);
    m_usuallyAdmittedPieces.at(rank).add(static_cast<double>(order.pieces.size()), now);
    return outcome;
}

Duration FleetAdmission::reserveAfterExpiry(AdmissionState state, const PieceOrder &order, MonotonicTime now)
{
    addRates(state, order.rank, now);
    state.untilHardDeadline = order.hardDeadline - now;
    return reserveRetry(state, Duration::zero(), order, now).at - now;
}

void FleetAdmission::recordFreed(std::size_t bytes, MonotonicTime now)
{
    if (bytes > 0) {
        m_freedBytes.add(static_cast<double>(bytes), now);
    }
}

void FleetAdmission::addRates(AdmissionState &state, int rank, MonotonicTime now) const
{
    state.urgentPiecesPerSecond = rateOf(m_admittedPieces, rankIndex(rank, RANKS), now);
    const double freed = m_freedBytes.perSecond(now);
    if (freed > 0) {
        state.bytesFreedPerSecond = freed;
    }
}

std::size_t FleetAdmission::reservationCount() const
{
    return m_returns.size();
}

// Sum over the given number of ranks, the most urgent ones.
double FleetAdmission::rateOf(const std::vector<DecayingRate> &rates, std::size_t ranks, MonotonicTime now)
{
    double rate = 0;
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        rate += rates.at(rank).perSecond(now);
    }
    return rate;
}

// A result is freed when a later stage has used it, so the rate at which results are freed is what the later stages can do.
double FleetAdmission::piecesPerSecond(const AdmissionState &state, const PieceOrder &order, MonotonicTime now) const
{
    double rate = state.piecesPerSecond();
    const double admitted = rateOf(m_admittedPieces, RANKS, now);
    if (admitted > 0) {
        rate = std::min(rate, admitted);
    }
    if (state.bytesFreedPerSecond && order.resultBytes > 0) {
        rate = std::min(rate, *state.bytesFreedPerSecond / static_cast<double>(order.resultBytes));
    }
    return rate;
}

ReturnTime FleetAdmission::reserveRetry(const AdmissionState &state, Duration excess, const PieceOrder &order, MonotonicTime now)
{
    ExpectedCapacity capacity;
    capacity.piecesPerSecond = piecesPerSecond(state, order, now);
    capacity.urgentPiecesPerSecond = state.urgentPiecesPerSecond;
    capacity.usualUrgentPiecesPerSecond = rateOf(m_usuallyAdmittedPieces, rankIndex(order.rank, RANKS), now);
    const Duration left = std::max(Duration::zero(), state.untilHardDeadline);
    const MonotonicTime latest = now + left / RETRY_SHARE;
    ReturnTime retry { now + excess };
    if (order.caller) {
        retry = m_returns.reserve(*order.caller, order.rank, order.pieces.size(), capacity, std::min(now + excess, latest), latest, now);
    }
    if (!retry.isReserved) {
        retry.at = std::max(retry.at, now + left / NO_RETRY_SHARE);
    }
    return retry;
}

} // namespace CassiaRelay::Gateway
