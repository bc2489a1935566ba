#pragma once

#include "admissionpolicy.h"
#include "decayingrate.h"
#include "piece.h"
#include "returnschedule.h"

#include <vector>

namespace CassiaRelay::Gateway {

/** Decision about one order, with the values that it is based on. */
struct AdmissionOutcome {
    AdmissionState state;
    AdmissionDecision decision;
    std::optional<Duration> retryAfter; ///< of a rejected caller
    bool isReserved = false;            ///< capacity is reserved for the retry

    bool isAdmitted() const;
};

/** Admits the orders of a first stage for all daemons, at the owner of the service, and schedules the retries of rejected callers. */
class FleetAdmission
{
public:
    FleetAdmission();

    /** @param state completed here with reservations and recent rates */
    AdmissionOutcome decide(AdmissionState state, const PieceOrder &order, MonotonicTime now);
    /**
     * Reserves capacity for the caller of an admitted order that can't be completed in time after all, and returns when it may retry.
     *
     * @param state only the part that describes the service is used
     */
    Duration reserveAfterExpiry(AdmissionState state, const PieceOrder &order, MonotonicTime now);
    /** Records result memory that is free again. */
    void recordFreed(std::size_t bytes, MonotonicTime now);
    /** Adds the recent rates to the state of an order of this rank. */
    void addRates(AdmissionState &state, int rank, MonotonicTime now) const;
    std::size_t reservationCount() const;

private:
    static constexpr std::size_t RANKS = 8;

    static double rateOf(const std::vector<DecayingRate> &rates, std::size_t ranks, MonotonicTime now);
    /** Returns the pieces per second that this service and the later stages can complete. */
    double piecesPerSecond(const AdmissionState &state, const PieceOrder &order, MonotonicTime now) const;
    ReturnTime reserveRetry(const AdmissionState &state, Duration excess, const PieceOrder &order, MonotonicTime now);

    ReturnSchedule m_returns;
    std::vector<DecayingRate> m_admittedPieces;        ///< by rank, over about a second
    std::vector<DecayingRate> m_usuallyAdmittedPieces; ///< by rank, over several bursts
    DecayingRate m_freedBytes;
};

} // namespace CassiaRelay::Gateway
