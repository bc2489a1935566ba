#pragma once

#include <common/common.h>

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace CassiaRelay::Gateway {

/** What the owner of a stage service knows when an order of a first stage arrives. */
struct AdmissionState {
    std::size_t piecesAhead = 0;     ///< waiting pieces that are sent before those of this order
    std::size_t reservedPieces = 0;  ///< of callers that are due to retry and go before this one
    std::size_t pieces = 0;          ///< of this order
    std::vector<Duration> freeAfter; ///< until each slot of the usable targets is free, in ascending order
    std::size_t batch = 1;           ///< maximum pieces of a call
    Duration perCall {};
    Duration perPiece {};
    double urgentPiecesPerSecond = 0;           ///< pieces of more urgent orders that were recently admitted
    std::optional<double> laterPiecesPerSecond; ///< pieces whose results the later stages use; no value if unknown
    std::optional<std::size_t> freeBytes;       ///< result memory that is free; no value if it is not limited
    std::size_t bytesAhead = 0;                 ///< result memory that the pieces ahead will take
    std::size_t bytes = 0;                      ///< result memory that this order will take
    std::optional<double> bytesFreedPerSecond;  ///< recent mean; no value if no result was freed recently
    Duration untilSoftDeadline {};              ///< later stages deducted
    Duration untilHardDeadline {};
    bool isSoftDeadlineAttainable = false; ///< the sender has verified that the soft deadline can be met without load
    bool hasReservation = false;           ///< the caller retries at the time that it was told

    /** Whether every usable target is busy or has work waiting for it. */
    bool isBusy() const;
    /** Whether the result memory is too small for the pieces ahead and those of this order. */
    bool isShortOfMemory() const;
    /** Returns the pieces that the targets can complete per second with full calls. */
    double piecesPerSecond() const;
};

struct Admitted {
    Duration expectedCompletion {};
};

struct Rejected {
    std::string reason;
    Duration expectedCompletion {};
};

using AdmissionDecision = std::variant<Admitted, Rejected>;

/**
 * Decides whether the order of a first stage is admitted.
 *
 * Answers bursts of one or more kinds of request at twice the capacity of a stage service or of its result memory for several seconds:
 * what would be late is rejected before any of its stages runs.
 */
AdmissionDecision decideAdmission(const AdmissionState &state);

/** Returns the expected time until the order is complete; no value if the service has no usable target. */
std::optional<Duration> expectedCompletion(const AdmissionState &state);

/** Smallest share of the capacity that a rank can count on, whatever more urgent ranks take. */
inline constexpr double MIN_RANK_SHARE = 0.05; // requirement R8: a twentieth of the places of each batch

} // namespace CassiaRelay::Gateway
