#include "suggestion.h"

#include <algorithm>
#include <numeric>

namespace CassiaRelay::Tool {

namespace {

// Levenshtein distance, one row of the matrix at a time.
std::size_t editDistance(const std::string &left, const std::string &right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t { 0 });
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t replaced = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({ replaced, row[j] + 1, row[j - 1] + 1 });
        }
    }
    return row.back();
}

} // namespace

std::optional<std::string> suggestion(const std::string &typed, const std::vector<std::string> &candidates)
{
    constexpr std::size_t MAX_DISTANCE = 3;
    std::optional<std::string> nearest;
    std::size_t nearestDistance = MAX_DISTANCE + 1;
    for (const std::string &candidate : candidates) {
        const std::size_t distance = editDistance(typed, candidate);
        if (distance < nearestDistance && distance < typed.size()) {
            nearest = candidate;
            nearestDistance = distance;
        }
    }
    return nearest;
}

} // namespace CassiaRelay::Tool
