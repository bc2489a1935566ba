#pragma once

#include "targetrecord.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace CassiaRelay::Gateway {

/** One part of the work of a stage of a request. */
struct PieceId {
    RequestId request;
    std::size_t stage = 0;
    int number = 0;
};

/** The pieces of one stage, ready to run. */
struct PieceOrder {
    RequestId request;
    ServiceName service;
    std::size_t stage = 0;
    int rank = 0;                                 ///< urgency, 0 first
    MonotonicTime softDeadline;                   ///< results after this make the answer late
    MonotonicTime hardDeadline;                   ///< results after this are of no use
    std::size_t resultBytes = 0;                  ///< approximate size of one result
    std::optional<FailureDomain> preferredDomain; ///< where large results will be fetched
    std::string inputKey;                         ///< for stages that follow no other
    std::vector<std::string> inputs;              ///< handles of all results that the stage needs
    std::vector<int> pieces;
};

/** A result that lies at the target that made it. */
struct StageResult {
    std::string handle;
    TargetId target;
};

/** Why there is no result. */
enum class PieceFailure {
    Late,
    InputGone, ///< an input no longer exists
    NoRoom,
    Failed,
    Withdrawn,
};

using PieceOutcome = std::variant<StageResult, PieceFailure>;

/** Outcome of one piece of an order. */
struct PieceCompletion {
    int piece = 0;
    PieceOutcome outcome;
};

/** The results among the ends. */
std::vector<StageResult> successfulResults(const std::vector<PieceCompletion> &completions);

} // namespace CassiaRelay::Gateway
