#include "piece.h"

namespace CassiaRelay::Gateway {

std::vector<StageResult> resultsOf(const std::vector<PieceEnd> &ends)
{
    std::vector<StageResult> results;
    for (const PieceEnd &end : ends) {
        if (const auto *result = std::get_if<StageResult>(&end.outcome)) {
            results.push_back(*result);
        }
    }
    return results;
}

} // namespace CassiaRelay::Gateway
