#include "admissionpolicy.h"

#include <algorithm>

namespace CassiaRelay::Gateway {

namespace {

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

// Calls are started in the order in which slots become free; each slot then runs full calls one after another.
Duration queueingTime(const AdmissionState &state, std::size_t piecesBefore)
{
    const std::size_t slots = state.freeAfter.size();
    const std::size_t call = piecesBefore / state.batch;
    const Duration fullCall = state.perCall + state.perPiece * static_cast<int>(state.batch);
    return state.freeAfter.at(call % slots) + fullCall * static_cast<int>(call / slots);
}

// More urgent orders that arrive while this one waits are sent before it.
double slowdownByUrgentWork(const AdmissionState &state)
{
    const double share = std::max(MIN_RANK_SHARE, 1 - state.urgentPiecesPerSecond / state.piecesPerSecond());
    return 1 / share;
}

// Without a known rate nothing is assumed, so that the order is admitted.
Duration memoryTime(const AdmissionState &state)
{
    if (!state.isShortOfMemory() || !state.bytesFreedPerSecond || *state.bytesFreedPerSecond <= 0) {
        return {};
    }
    const double missing = static_cast<double>(state.bytesAhead + state.bytes - *state.freeBytes);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / *state.bytesFreedPerSecond));
}

// Where a later stage is the bottleneck, callers that are due to retry take longer there than here.
Duration laterTimeOfReservedPieces(const AdmissionState &state)
{
    if (state.hasReservation || !state.laterPiecesPerSecond || *state.laterPiecesPerSecond <= 0
        || *state.laterPiecesPerSecond >= state.piecesPerSecond()) {
        return {};
    }
    const double perPiece = 1 / *state.laterPiecesPerSecond - 1 / state.piecesPerSecond();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(perPiece * static_cast<double>(state.reservedPieces)));
}

} // namespace

bool AdmissionState::isBusy() const
{
    return freeAfter.empty() || freeAfter.front() > Duration::zero() || piecesAhead >= batch * freeAfter.size();
}

bool AdmissionState::isShortOfMemory() const
{
    return freeBytes && bytesAhead + bytes > *freeBytes;
}

double AdmissionState::piecesPerSecond() const
{
    const std::chrono::duration<double> call = perCall + perPiece * static_cast<int>(batch);
    return call.count() > 0 ? static_cast<double>(freeAfter.size() * batch) / call.count() : 0;
}

std::optional<Duration> expectedCompletion(const AdmissionState &state)
{
    if (state.freeAfter.empty() || state.piecesPerSecond() <= 0) {
        return std::nullopt;
    }
    // Reserved places are not kept free while a target has nothing to do: the caller may not come.
    const std::size_t ahead = state.piecesAhead + (state.isBusy() && !state.hasReservation ? state.reservedPieces : 0);
    const std::size_t last = ahead + std::max<std::size_t>(state.pieces, 1) - 1;
    const Duration queueing = scaled(queueingTime(state, last), last >= state.batch ? slowdownByUrgentWork(state) : 1);
    const std::size_t ownCall = std::min(state.batch, (last + state.freeAfter.size()) / state.freeAfter.size());
    return std::max(queueing, memoryTime(state)) + laterTimeOfReservedPieces(state) + state.perCall
        + state.perPiece * static_cast<int>(ownCall);
}

// An order for a service without a usable target is admitted: targets are restarted within about a second, and the hard deadline of the
// waiting pieces is watched anyway.
AdmissionDecision decideAdmission(const AdmissionState &state)
{
    const std::optional<Duration> expected = expectedCompletion(state);
    if (!expected) {
        return Admitted {};
    }
    const Duration completion = *expected;
    if (completion > state.untilHardDeadline) {
        return Rejected { "hard deadline", completion };
    }
    // A late response is worth more than a broken promise; the number of reservations is limited to what the targets can do.
    if (completion <= state.untilSoftDeadline || state.hasReservation) {
        return Admitted { completion };
    }
    // A soft deadline that can't be met even without load would exclude its requests for good.
    if (!state.isSoftDeadlineAttainable && !state.isBusy() && !state.isShortOfMemory()) {
        return Admitted { completion };
    }
    return Rejected { state.isShortOfMemory() ? "result memory" : "soft deadline", completion };
}

} // namespace CassiaRelay::Gateway
