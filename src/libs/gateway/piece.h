#pragma once

#include "targetrecord.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace CassiaRelay::Gateway {

using OrderId = StrongId<struct OrderTag, std::uint64_t>;

/** Identifies one piece of the work of a stage for a request. */
struct PieceId {
    RequestId request;
    std::size_t stage = 0;
    int number = 0;
};

/** Pieces of one stage of a request that are ready to run. */
struct PieceOrder {
    RequestId request;
    ServiceName service;
    std::size_t stage = 0;
    int rank = 0;                                 ///< urgency; 0 is the most urgent
    MonotonicTime softDeadline;                   ///< a result after this time makes the response to the caller late
    MonotonicTime hardDeadline;                   ///< a result after this time is useless
    std::size_t resultBytes = 0;                  ///< approximate size of one result
    std::optional<FailureDomain> preferredDomain; ///< domain in which large results will be fetched or large inputs are stored
    std::string inputKey;                         ///< identifies the input of a stage without predecessors
    std::vector<std::string> inputs;              ///< handles of the results of all predecessors
    std::vector<TargetId> inputTargets;           ///< that store the inputs, one for each; empty: they are not freed early
    std::vector<int> pieces;
    std::optional<OrganisationId> organisation; ///< of the caller; orders without one share a common organisation
    std::optional<std::size_t> inputBytes;      ///< that each piece fetches from the preferred domain; no value: its result moves instead
    std::vector<Region> allowedRegions;         ///< to which pieces may be moved from the preferred domain; all regions if empty
    std::optional<Fingerprint> caller;          ///< equal whenever the same caller sends the same request again
};

/** Refers to a result, which is stored at the target that produced it. */
struct StageResult {
    std::string handle;
    TargetId target;
};

/** Why a piece has no result. */
enum class PieceFailure {
    Late,      ///< no result in time
    InputGone, ///< an input no longer exists
    NoRoom,    ///< the target has no memory for the result
    Failed,
    Withdrawn,
};

using PieceOutcome = std::variant<StageResult, PieceFailure>;

/** Outcome of one piece of an order. */
struct PieceCompletion {
    int piece = 0;
    PieceOutcome outcome;
    std::optional<Duration> retryAfter = std::nullopt; ///< with PieceFailure::Late: when the caller may return
};

/** Returns the results of the pieces that succeeded. */
std::vector<StageResult> successfulResults(const std::vector<PieceCompletion> &completions);
/** Returns why the first of the failed pieces failed; no value if all succeeded. */
std::optional<PieceFailure> firstFailure(const std::vector<PieceCompletion> &completions);

} // namespace CassiaRelay::Gateway
