#include "returnschedule.h"

#include "admissionpolicy.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace CassiaRelay::Gateway {

namespace {

constexpr double OUTCOME_WEIGHT = 0.02; // averages about the last 50 reservations, so that a few lost callers change little
constexpr std::chrono::milliseconds BURST_HALF_LIFE { 2000 }; // bursts last 4 to 7 s, and half of that is left on average
constexpr double SLOT_SECONDS = std::chrono::duration<double>(ReturnSchedule::SLOT).count();

} // namespace

ReturnTime ReturnSchedule::reserve(Fingerprint caller,
                                   int rank,
                                   std::size_t pieces,
                                   const ExpectedCapacity &capacity,
                                   MonotonicTime earliest,
                                   MonotonicTime latest,
                                   MonotonicTime now)
{
    removeExpired(now);
    const auto known = m_reservations.find(caller);
    if (known != m_reservations.end()) {
        return { std::max(now, startOf(known->second.slot)), true };
    }
    const std::size_t index = std::min(static_cast<std::size_t>(std::max(0, rank)), RANKS - 1);
    const SlotNumber first = slotOf(std::max(earliest, now)) + 1;
    const SlotNumber end = std::max(first, slotOf(now + HORIZON)) + 1;
    SlotNumber slot = first;
    while (slot < end && freePieces(slot, index, capacity, now) <= 0) {
        ++slot;
    }
    const MonotonicTime at = startOf(slot);
    if (slot == end || at > latest || m_reservations.size() >= MAX_RESERVATIONS) {
        return { at, false };
    }
    occupy(slot, index, pieces, capacity, now);
    m_unused[slot].at(index) += static_cast<double>(pieces);
    m_reservations.emplace(caller, Reservation { index, pieces, slot });
    m_callersBySlot.emplace(slot, caller);
    return { at, true };
}

bool ReturnSchedule::isDue(Fingerprint caller, MonotonicTime now) const
{
    const auto found = m_reservations.find(caller);
    return found != m_reservations.end() && isValid(found->second, now);
}

bool ReturnSchedule::redeem(Fingerprint caller, MonotonicTime now)
{
    const auto found = m_reservations.find(caller);
    if (found == m_reservations.end() || !isValid(found->second, now)) {
        return false;
    }
    erase(found);
    recordOutcome(true);
    return true;
}

void ReturnSchedule::cancel(Fingerprint caller)
{
    const auto found = m_reservations.find(caller);
    if (found != m_reservations.end()) {
        erase(found);
    }
}

std::size_t ReturnSchedule::reservedPieces(int rank, MonotonicTime now) const
{
    const std::size_t count = std::min(static_cast<std::size_t>(std::max(0, rank)), RANKS - 1) + 1;
    double pieces = 0;
    for (auto entry = m_unused.lower_bound(slotOf(now - LATE_MARGIN)); entry != m_unused.end(); ++entry) {
        if (startOf(entry->first) > now + EARLY_MARGIN) {
            break;
        }
        pieces = std::accumulate(entry->second.begin(), entry->second.begin() + static_cast<std::ptrdiff_t>(count), pieces);
    }
    return static_cast<std::size_t>(std::lround(std::max(0.0, pieces) * m_usedShare));
}

void ReturnSchedule::removeExpired(MonotonicTime now)
{
    const SlotNumber firstValid = slotOf(now - LATE_MARGIN);
    const auto end = m_callersBySlot.lower_bound(firstValid);
    for (auto entry = m_callersBySlot.begin(); entry != end; ++entry) {
        const auto reservation = m_reservations.find(entry->second);
        // The caller may have used this reservation and hold a later one.
        if (reservation == m_reservations.end() || reservation->second.slot != entry->first) {
            continue;
        }
        m_reservations.erase(reservation);
        recordOutcome(false);
    }
    m_callersBySlot.erase(m_callersBySlot.begin(), end);
    m_slots.erase(m_slots.begin(), m_slots.lower_bound(firstValid));
    m_unused.erase(m_unused.begin(), m_unused.lower_bound(firstValid));
}

std::size_t ReturnSchedule::size() const
{
    return m_reservations.size();
}

ReturnSchedule::SlotNumber ReturnSchedule::slotOf(MonotonicTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count() / SLOT.count();
}

MonotonicTime ReturnSchedule::startOf(SlotNumber slot)
{
    return MonotonicTime(SLOT * slot);
}

bool ReturnSchedule::isValid(const Reservation &reservation, MonotonicTime now)
{
    const MonotonicTime start = startOf(reservation.slot);
    return start - EARLY_MARGIN <= now && now <= start + LATE_MARGIN;
}

// The use that was planned for its slot remains; the pieces that have come instead take it.
void ReturnSchedule::erase(std::unordered_map<Fingerprint, Reservation>::iterator reservation)
{
    m_unused[reservation->second.slot].at(reservation->second.rank) -= static_cast<double>(reservation->second.pieces);
    m_reservations.erase(reservation);
}

// More urgent callers take from the capacity either as new ones, at the expected rate, or with reservations; those with reservations are
// part of the rate, so the larger of the two counts.
double ReturnSchedule::freePieces(SlotNumber slot, std::size_t rank, const ExpectedCapacity &capacity, MonotonicTime now) const
{
    const auto found = m_slots.find(slot);
    const Amounts amounts = found == m_slots.end() ? Amounts {} : found->second;
    const double urgent = std::accumulate(amounts.begin(), amounts.begin() + static_cast<std::ptrdiff_t>(rank), 0.0);
    const std::chrono::duration<double> ahead = startOf(slot) - now;
    const double burst = std::exp2(-std::max(0.0, ahead / std::chrono::duration<double>(BURST_HALF_LIFE)));
    const double newUrgent = capacity.urgentPiecesPerSecond * burst + capacity.usualUrgentPiecesPerSecond * (1 - burst);
    const double all = capacity.piecesPerSecond * SLOT_SECONDS;
    return std::max(all - std::max(urgent, newUrgent * SLOT_SECONDS), all * MIN_RANK_SHARE) - amounts.at(rank);
}

// An order that is larger than what is left of its slot also takes from the following ones.
void ReturnSchedule::occupy(SlotNumber slot, std::size_t rank, std::size_t pieces, const ExpectedCapacity &capacity, MonotonicTime now)
{
    const SlotNumber last = slot + HORIZON / SLOT;
    double left = static_cast<double>(pieces);
    for (; left > 0 && slot <= last; ++slot) {
        const double part = std::clamp(freePieces(slot, rank, capacity, now), 0.0, left);
        m_slots[slot].at(rank) += part;
        left -= part;
    }
}

void ReturnSchedule::recordOutcome(bool isUsed)
{
    m_usedShare += OUTCOME_WEIGHT * ((isUsed ? 1 : 0) - m_usedShare);
}

} // namespace CassiaRelay::Gateway
