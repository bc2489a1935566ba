#pragma once

#include "decayingcounter.h"
#include "piece.h"

#include <set>
#include <unordered_map>

namespace CassiaRelay::Gateway {

/**
 * Tracks the memory that the results requested by one daemon occupy at the targets of a stage service.
 *
 * A result occupies memory from the start of its call until it is freed or its lifetime ends.
 */
class ResultMemoryTracker
{
public:
    /** @param bytesPerTarget result memory of one target; 0 if unknown, which means no limit */
    void setCapacity(std::size_t bytesPerTarget, Duration lifetime);
    std::size_t freeBytes(const TargetId &target) const;
    bool isLimited() const;
    /** Reserves memory for the result of a piece that is sent to the target. */
    void reserve(const TargetId &target, std::size_t bytes);
    /** Frees the memory reserved for a piece that ended without a result. */
    void cancelReservation(const TargetId &target, std::size_t bytes);
    /** Assigns the memory reserved for a piece to its result, until release() or the end of the lifetime. */
    void commit(const StageResult &result, std::size_t bytes, MonotonicTime now);
    /** Returns the bytes that this frees. */
    std::size_t release(const StageResult &result);
    /** Removes results whose lifetime has ended. Returns the bytes that this frees. */
    std::size_t removeExpired(MonotonicTime now);
    std::size_t bytesPerTarget() const;
    /** The target had no memory for a result of this size, so until then it gets only smaller ones. */
    void limitUntil(const TargetId &target, std::size_t bytes, MonotonicTime until);
    /**
     * Counts memory as occupied for the lifetime of a result: a call whose response was lost may have stored results that nobody knows.
     * Replaces a reservation of the same size.
     */
    void keepReservation(const TargetId &target, std::size_t bytes, MonotonicTime now);
    /** Returns the recent mean of the bytes freed per second, as of the last call of removeExpired(). */
    double bytesFreedPerSecond(MonotonicTime now) const;
    Duration lifetime() const;

private:
    struct StoredResult {
        TargetId target;
        std::size_t bytes = 0;
        MonotonicTime expiresAt;
    };

    struct FreeLimit {
        std::size_t bytes = 0;
        MonotonicTime until;
    };

    std::size_t m_bytesPerTarget = 0;
    Duration m_lifetime {};
    std::unordered_map<TargetId, std::size_t> m_usedBytes;
    std::unordered_map<std::string, StoredResult> m_stored;     ///< by handle
    std::set<std::pair<MonotonicTime, std::string>> m_expiries; ///< end of the lifetime and handle of each stored result
    std::unordered_map<TargetId, FreeLimit> m_freeLimits;       ///< of targets that had less memory than expected
    std::vector<StoredResult> m_unknownResults;                 ///< that calls without a response may have stored
    std::size_t m_freedBytes = 0;                               ///< since removeExpired() was called
    DecayingCounter m_freedRate { std::chrono::seconds(1) };    ///< about the time that a result is kept
};

} // namespace CassiaRelay::Gateway
