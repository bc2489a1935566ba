#pragma once

#include <common/common.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace CassiaRelay::Gateway {

/** What a service is expected to complete for callers of one rank. */
struct ExpectedCapacity {
    double piecesPerSecond = 0;            ///< of all ranks
    double urgentPiecesPerSecond = 0;      ///< that more urgent orders take now
    double usualUrgentPiecesPerSecond = 0; ///< that more urgent orders take on average, to which a burst returns
};

/** When a rejected caller may retry. */
struct ReturnTime {
    MonotonicTime at;
    bool isReserved = false; ///< false if the caller will not retry that late
};

/**
 * Reserves capacity for rejected callers and tells them when to retry.
 *
 * Answers callers that are rejected in a burst and retry: without reservations they compete with new callers, or with each other, and are
 * rejected again.
 */
class ReturnSchedule
{
public:
    static constexpr std::chrono::milliseconds SLOT { 100 };         ///< about a third of a stage call
    static constexpr std::chrono::milliseconds HORIZON { 4000 };     ///< a third of the longest deadline of the deployments
    static constexpr std::chrono::milliseconds EARLY_MARGIN { 100 }; ///< by which a retry may be early: clocks of callers are coarse
    static constexpr std::chrono::milliseconds LATE_MARGIN { 500 };  ///< time for a new connection to a busy daemon
    static constexpr std::size_t MAX_RESERVATIONS = 4096; ///< bound on memory: about 400 kB; the horizon at 1,000 callers a second

    /**
     * Returns when a rejected caller may retry.
     *
     * The same caller is told the same time again while its reservation is valid.
     * @param earliest time before which there is no capacity
     * @param latest time after which the caller will not retry; nothing is reserved then
     */
    ReturnTime reserve(Fingerprint caller,
                       int rank,
                       std::size_t pieces,
                       const ExpectedCapacity &capacity,
                       MonotonicTime earliest,
                       MonotonicTime latest,
                       MonotonicTime now);
    /** Whether the caller holds a reservation for the current time. */
    bool isDue(Fingerprint caller, MonotonicTime now) const;
    /** Uses up the reservation of a caller that has retried. Returns false if it holds none for the current time. */
    bool redeem(Fingerprint caller, MonotonicTime now);
    /** Gives the capacity of a caller that no longer needs it to others. */
    void cancel(Fingerprint caller);
    /**
     * Returns the pieces reserved for callers of this rank or more urgent ones that may retry at this time.
     *
     * Multiplied by the share of callers that have recently retried as told.
     */
    std::size_t reservedPieces(int rank, MonotonicTime now) const;
    void removeExpired(MonotonicTime now);
    std::size_t size() const;

private:
    static constexpr std::size_t RANKS = 8;
    using SlotNumber = std::int64_t;
    using Amounts = std::array<double, RANKS>; ///< reserved pieces by rank

    struct Reservation {
        std::size_t rank = 0;
        std::size_t pieces = 0;
        SlotNumber slot = 0;
    };

    static SlotNumber slotOf(MonotonicTime time);
    static MonotonicTime startOf(SlotNumber slot);
    static bool isValid(const Reservation &reservation, MonotonicTime now);
    void erase(std::unordered_map<Fingerprint, Reservation>::iterator reservation);
    double freePieces(SlotNumber slot, std::size_t rank, const ExpectedCapacity &capacity, MonotonicTime now) const;
    void occupy(SlotNumber slot, std::size_t rank, std::size_t pieces, const ExpectedCapacity &capacity, MonotonicTime now);
    void recordOutcome(bool isUsed);

    std::unordered_map<Fingerprint, Reservation> m_reservations;
    std::map<SlotNumber, Amounts> m_slots;  ///< planned use of each slot
    std::map<SlotNumber, Amounts> m_unused; ///< pieces of reservations that are not used yet, by the slot in which they start
    std::multimap<SlotNumber, Fingerprint> m_callersBySlot;
    double m_usedShare = 1; ///< recent share of reservations that were used
};

} // namespace CassiaRelay::Gateway
