#pragma once

#include "piece.h"

#include <unordered_map>

namespace CassiaRelay::Gateway {

/**
 * Memory for results at the targets of one stage service, as far as one daemon has used it.
 *
 * Results take room from the start of their call until they are freed or their lifetime is over.
 */
class ResultMemoryTracker
{
public:
    /** @param bytesPerTarget bytes that one target has; 0: unknown, no limit */
    void setCapacity(std::size_t bytesPerTarget, Duration lifetime);
    std::size_t freeBytes(const TargetId &target) const;
    bool isLimited() const;
    /** A piece has been sent to the target. */
    void reserve(const TargetId &target, std::size_t bytes);
    /** The piece has ended without a result. */
    void cancelReservation(const TargetId &target, std::size_t bytes);
    /** The reserved piece has become this result. */
    void commit(const StageResult &result, std::size_t bytes, MonotonicTime now);
    void release(const StageResult &result);
    /** Drops results whose lifetime is over. */
    void removeExpired(MonotonicTime now);

private:
    struct StoredResult {
        TargetId target;
        std::size_t bytes = 0;
        MonotonicTime expiresAt;
    };

    std::size_t m_bytesPerTarget = 0;
    Duration m_lifetime {};
    std::unordered_map<TargetId, std::size_t> m_usedBytes;
    std::unordered_map<std::string, StoredResult> m_stored; ///< by handle
};

} // namespace CassiaRelay::Gateway
