#pragma once

#include "piece.h"

#include <optional>
#include <vector>

namespace CassiaRelay::Gateway {

/** Tracks which stages of one request have run, are running or can run, and where their results are stored. */
class StagePlan
{
public:
    StagePlan() = default;
    /** @param pieceCounts number of pieces of each stage; missing entries count as 0 */
    StagePlan(std::vector<RouteStage> stages, const std::vector<int> &pieceCounts);

    /** Returns the stages that can start now. Each stage is returned once. */
    std::vector<std::size_t> takeReady();
    /** Returns the results of all predecessors of the stage, which must be complete. */
    std::vector<StageResult> inputResults(std::size_t stage) const;
    /** Whether no other stage uses the inputs of this one. */
    bool isOnlyUser(std::size_t stage) const;
    /** Returns the approximate size of inputResults(). */
    std::size_t inputBytes(std::size_t stage) const;
    std::vector<std::string> inputHandles(std::size_t stage) const;
    std::vector<int> pieces(std::size_t stage) const;
    void setResult(std::size_t stage, int piece, StageResult result);
    bool isComplete() const;
    /** Returns the results of the final stages, those without successors. They are the input of the request itself. */
    std::vector<StageResult> finalResults() const;
    /** Returns results that neither a stage nor the request needs any more. Each result is returned once. */
    std::vector<StageResult> takeUnneededResults();
    /** Returns all results that are still stored at targets, and marks them as released. */
    std::vector<StageResult> takeAllResults();
    /** Discards all results, so that every stage runs again. */
    void reset();
    /** Returns the length of the longest chain of stages that starts with this one. Stages without pieces are not counted. */
    std::size_t remainingDepthFrom(std::size_t stage) const;
    /** Returns the length of the longest chain that starts with an unfinished stage. */
    std::size_t remainingDepth() const;
    const RouteStage &stage(std::size_t index) const;
    std::size_t size() const;
    /** Returns the final stage with the largest result, or nothing if no final stage has pieces. */
    std::optional<std::size_t> largestFinalStage() const;

private:
    struct StageState {
        RouteStage route;
        std::vector<std::optional<StageResult>> results;
        bool isStarted = false;
        bool isReleased = false;
    };

    bool isDone(const StageState &state) const;
    bool isFinal(std::size_t stage) const;

    std::vector<StageState> m_stages;
};

} // namespace CassiaRelay::Gateway
