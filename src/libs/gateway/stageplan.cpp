#include "stageplan.h"

#include <algorithm>

namespace CassiaRelay::Gateway {

StagePlan::StagePlan(std::vector<RouteStage> stages, const std::vector<int> &pieceCounts)
{
    for (std::size_t index = 0; index < stages.size(); ++index) {
        StageState state;
        state.route = std::move(stages[index]);
        state.results.resize(index < pieceCounts.size() ? static_cast<std::size_t>(std::max(0, pieceCounts[index])) : 0);
        m_stages.push_back(std::move(state));
    }
}

// Results occupy memory until the last stage has run. A short branch therefore waits until the longest branch has only as many stages
// left as the short one.
std::vector<std::size_t> StagePlan::takeReady()
{
    std::vector<std::size_t> ready;
    const std::size_t longest = remainingDepth();
    for (std::size_t index = 0; index < m_stages.size(); ++index) {
        StageState &state = m_stages[index];
        if (state.isStarted || state.results.empty()) {
            continue;
        }
        const bool canStart = std::all_of(state.route.after.begin(), state.route.after.end(), [this](std::size_t predecessor) {
            return isDone(m_stages.at(predecessor));
        });
        if (canStart && remainingDepthFrom(index) >= longest) {
            state.isStarted = true;
            ready.push_back(index);
        }
    }
    return ready;
}

std::vector<StageResult> StagePlan::inputResults(std::size_t stage) const
{
    std::vector<StageResult> results;
    for (const std::size_t predecessor : m_stages.at(stage).route.after) {
        for (const std::optional<StageResult> &result : m_stages.at(predecessor).results) {
            results.push_back(*result);
        }
    }
    return results;
}

std::size_t StagePlan::inputBytes(std::size_t stage) const
{
    std::size_t bytes = 0;
    for (const std::size_t predecessor : m_stages.at(stage).route.after) {
        bytes += m_stages.at(predecessor).route.resultBytes * m_stages.at(predecessor).results.size();
    }
    return bytes;
}

std::vector<std::string> StagePlan::inputHandles(std::size_t stage) const
{
    std::vector<std::string> handles;
    for (StageResult &result : inputResults(stage)) {
        handles.push_back(std::move(result.handle));
    }
    return handles;
}

bool StagePlan::isOnlyUser(std::size_t stage) const
{
    const std::vector<std::size_t> &inputs = m_stages.at(stage).route.after;
    for (std::size_t other = 0; other < m_stages.size(); ++other) {
        const std::vector<std::size_t> &after = m_stages[other].route.after;
        const bool sharesInputs = std::any_of(after.begin(), after.end(), [&inputs](std::size_t input) {
            return std::find(inputs.begin(), inputs.end(), input) != inputs.end();
        });
        if (other != stage && sharesInputs) {
            return false;
        }
    }
    return true;
}

std::vector<int> StagePlan::pieces(std::size_t stage) const
{
    std::vector<int> numbers;
    for (std::size_t piece = 0; piece < m_stages.at(stage).results.size(); ++piece) {
        numbers.push_back(static_cast<int>(piece));
    }
    return numbers;
}

void StagePlan::setResult(std::size_t stage, int piece, StageResult result)
{
    m_stages.at(stage).results.at(static_cast<std::size_t>(piece)) = std::move(result);
}

bool StagePlan::isComplete() const
{
    return std::all_of(m_stages.begin(), m_stages.end(), [this](const StageState &state) { return isDone(state); });
}

std::vector<StageResult> StagePlan::finalResults() const
{
    std::vector<StageResult> results;
    for (std::size_t index = 0; index < m_stages.size(); ++index) {
        if (!isFinal(index)) {
            continue;
        }
        for (const std::optional<StageResult> &result : m_stages[index].results) {
            results.push_back(*result);
        }
    }
    return results;
}

std::vector<StageResult> StagePlan::takeUnneededResults()
{
    std::vector<StageResult> unneeded;
    for (std::size_t index = 0; index < m_stages.size(); ++index) {
        StageState &state = m_stages[index];
        if (state.isReleased || isFinal(index) || !isDone(state)) {
            continue;
        }
        bool isNeeded = false;
        for (const StageState &other : m_stages) {
            const auto &after = other.route.after;
            isNeeded = isNeeded || (std::find(after.begin(), after.end(), index) != after.end() && !isDone(other));
        }
        if (isNeeded) {
            continue;
        }
        state.isReleased = true;
        for (const std::optional<StageResult> &result : state.results) {
            unneeded.push_back(*result);
        }
    }
    return unneeded;
}

std::vector<StageResult> StagePlan::takeAllResults()
{
    std::vector<StageResult> all;
    for (StageState &state : m_stages) {
        for (const std::optional<StageResult> &result : state.results) {
            if (!result || state.isReleased) {
                continue;
            }
            all.push_back(*result);
        }
        state.isReleased = true;
    }
    return all;
}

void StagePlan::reset()
{
    for (StageState &state : m_stages) {
        state.isStarted = false;
        state.isReleased = false;
        std::fill(state.results.begin(), state.results.end(), std::nullopt);
    }
}

std::size_t StagePlan::remainingDepthFrom(std::size_t stage) const
{
    std::size_t longest = 0;
    for (std::size_t index = stage + 1; index < m_stages.size(); ++index) {
        const auto &after = m_stages[index].route.after;
        if (std::find(after.begin(), after.end(), stage) != after.end()) {
            longest = std::max(longest, remainingDepthFrom(index));
        }
    }
    return longest + (m_stages[stage].results.empty() ? 0 : 1);
}

std::size_t StagePlan::remainingDepth() const
{
    std::size_t longest = 0;
    for (std::size_t index = 0; index < m_stages.size(); ++index) {
        if (!isDone(m_stages[index])) {
            longest = std::max(longest, remainingDepthFrom(index));
        }
    }
    return longest;
}

const RouteStage &StagePlan::stage(std::size_t index) const
{
    return m_stages.at(index).route;
}

std::size_t StagePlan::size() const
{
    return m_stages.size();
}

std::optional<std::size_t> StagePlan::largestFinalStage() const
{
    std::optional<std::size_t> largest;
    for (std::size_t index = 0; index < m_stages.size(); ++index) {
        if (!isFinal(index) || m_stages[index].results.empty()) {
            continue;
        }
        if (!largest || m_stages[index].route.resultBytes > m_stages[*largest].route.resultBytes) {
            largest = index;
        }
    }
    return largest;
}

bool StagePlan::isDone(const StageState &state) const
{
    return std::all_of(state.results.begin(), state.results.end(), [](const auto &result) { return result.has_value(); });
}

bool StagePlan::isFinal(std::size_t stage) const
{
    return std::none_of(m_stages.begin(), m_stages.end(), [stage](const StageState &other) {
        return std::find(other.route.after.begin(), other.route.after.end(), stage) != other.route.after.end();
    });
}

} // namespace CassiaRelay::Gateway
