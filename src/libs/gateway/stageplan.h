#pragma once

#include "piece.h"

#include <optional>
#include <vector>

namespace CassiaRelay::Gateway {

/** Which stages of one request have run, are running or can run, and where their results lie. */
class StagePlan
{
public:
    StagePlan() = default;
    /** @param pieceCounts number of pieces of each stage; missing ones count as 0 */
    StagePlan(std::vector<RouteStage> stages, const std::vector<int> &pieceCounts);

    /** Stages that can start now; each is returned once. */
    std::vector<std::size_t> takeReady();
    /** Every result that the stage needs. */
    /** Results of the stages that the stage follows. */
    std::vector<StageResult> inputResults(std::size_t stage) const;
    /** Bytes of those. */
    std::size_t inputBytes(std::size_t stage) const;
    std::vector<std::string> inputHandles(std::size_t stage) const;
    std::vector<int> pieces(std::size_t stage) const;
    void setResult(std::size_t stage, int piece, StageResult result);
    bool isComplete() const;
    /** Results of the stages that no other follows, for the request itself. */
    std::vector<StageResult> finalResults() const;
    /** Results that no stage and no request needs any more; each is returned once. */
    std::vector<StageResult> takeUnneededResults();
    /** All results that lie at targets; forgets them. */
    std::vector<StageResult> takeAllResults();
    /** Starts over. */
    void reset();
    /** Stages that still have to run one after the other, this one included. */
    std::size_t remainingDepthFrom(std::size_t stage) const;
    /** Stages on the longest path that have not run. */
    std::size_t remainingDepth() const;
    const RouteStage &stage(std::size_t index) const;
    std::size_t size() const;
    /** Stage of the final results with the largest result, or nothing when there is none. */
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
