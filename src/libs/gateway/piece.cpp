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

} // namespace CassiaRelay::Gateway
