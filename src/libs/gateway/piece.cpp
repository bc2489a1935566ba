#include "piece.h"

namespace CassiaRelay::Gateway {

std::vector<StageResult> successfulResults(const std::vector<PieceCompletion> &completions)
{
    std::vector<StageResult> results;
    for (const PieceCompletion &completion : completions) {
        if (const auto *result = std::get_if<StageResult>(&completion.outcome)) {
            results.push_back(*result);
        }
    }
    return results;
}

std::optional<PieceFailure> firstFailure(const std::vector<PieceCompletion> &completions)
{
    for (const PieceCompletion &completion : completions) {
        if (const auto *failure = std::get_if<PieceFailure>(&completion.outcome)) {
            return *failure;
        }
    }
    return std::nullopt;
}

} // namespace CassiaRelay::Gateway
