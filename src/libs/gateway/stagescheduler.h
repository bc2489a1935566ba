#pragma once

#include "fetchedinputs.h"
#include "fleetadmission.h"
#include "organisationshares.h"
#include "piece.h"
#include "resultmemorytracker.h"
#include "schedulingoptions.h"
#include "serviceload.h"
#include "spilloverpolicy.h"
#include "targetregistry.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>

namespace CassiaRelay::Gateway {

using CallId = StrongId<struct CallTag, std::uint64_t>;

/** One piece in a call to a target. */
struct CallItem {
    PieceId piece;
    std::string inputKey;
    std::vector<std::string> inputs;
    MonotonicTime hardDeadline;
};

/** A call that runs a batch of pieces at one target. */
struct StageCall {
    CallId id;
    TargetRecord target;
    std::vector<CallItem> items;
    MonotonicTime timeoutAt; ///< the call fails with AttemptResult::Silent if there is no response by then
};

/** What became of an order that was submitted. */
struct SubmitResult {
    bool isAccepted = true;
    std::optional<AdmissionOutcome> admission; ///< only of orders that were decided for the whole fleet

    // Callers that only ask whether the order was accepted use the result as a condition.
    operator bool() const
    {
        return isAccepted;
    }
};

/** The completion of one piece of an order. */
struct OrderProgress {
    OrderId order;
    PieceCompletion completion;
};

/** Waiting work that is sent before the pieces of a new order. */
struct WorkAhead {
    std::size_t pieces = 0;
    std::size_t bytes = 0; ///< of their results
};

/** Pieces that prefer one failure domain and were sent to the same domain by one dispatch. */
struct SpilloverFlow {
    FailureDomain from; ///< preferred
    FailureDomain to;   ///< the same if the pieces were kept
    std::size_t pieces = 0;
    std::size_t bytes = 0;                   ///< moved between domains
    Duration saved {};                       ///< expected wait, over all pieces; pieces that their domain could not run are not counted
    std::size_t waiting = 0;                 ///< pieces that preferred the same domain when the decision was made
    std::optional<RequestId> first;          ///< request of the first piece
    std::optional<Duration> finishAtHome {}; ///< expected for the first piece; no value if its domain could not run it
    std::optional<Duration> finishThere {};
};

/**
 * Queues the pieces of one stage service and sends them to its targets in batches.
 *
 * A call with a few pieces takes nearly as long as a full one. Each target therefore runs only as many calls at a time as it has slots,
 * and the pieces that arrive meanwhile share the next call. Pieces that can be on time are sent before late ones. Within each of these
 * groups, pieces are ordered by rank, then by soft deadline. With SchedulingOptions::sharesByOrganisation, organisations take turns within
 * a rank, and a low rank that waits has a small part of each batch.
 */
class StageScheduler
{
public:
    StageScheduler(ServiceName service, PieceCapacity capacity);

    void setCapacity(const PieceCapacity &capacity);
    void setOptions(const SchedulingOptions &options);
    /**
     * Queues the pieces of an order.
     *
     * Rejects it and queues nothing if the order belongs to a first stage and the pieces ahead of it would make it miss its soft
     * deadline. With SchedulingOptions::usesFleetAdmission, FleetAdmission decides.
     */
    SubmitResult submit(OrderId order, const PieceOrder &pieceOrder, const TargetRegistry &targets, MonotonicTime now);
    /** Removes the queued pieces of an order. Pieces in running calls continue; with shares, they are not retried. */
    void withdraw(OrderId order);
    /** Stops counting the memory of a result that is no longer needed. */
    void release(const StageResult &result);
    /** Fails the queued pieces that can't meet their hard deadline and, under overload, those that can't meet their soft deadline. */
    std::vector<OrderProgress> expire(const TargetRegistry &targets, MonotonicTime now);
    /** Returns the calls to start now. */
    std::vector<StageCall> dispatch(TargetRegistry &targets, MonotonicTime now);
    /** Returns what the last dispatch() kept in its preferred domain and what it sent out; empty unless spillover is set. */
    std::vector<SpilloverFlow> takeSpilloverFlows();
    /** @param outcomes one for each item of the call, in the same order */
    std::vector<OrderProgress> onAnswered(CallId call,
                                          const std::vector<PieceOutcome> &outcomes,
                                          TargetRegistry &targets,
                                          MonotonicTime now);
    std::vector<OrderProgress> onFailed(CallId call, AttemptResult result, TargetRegistry &targets, MonotonicTime now);
    /** Returns inputs that running calls have fetched, and that are needed again only if a call fails; with
     * SchedulingOptions::freesFetchedInputs. */
    std::vector<StageResult> takeFetchedInputs(MonotonicTime now);
    /** Whether results at the target should be freed as early as possible. */
    bool isShortOfMemory(const TargetId &target) const;
    /** Whether takeFetchedInputs() will return something later without a further call. */
    bool awaitsFetchedInputs() const;
    std::size_t waitingPieces() const;
    /**
     * Returns the free result memory of all usable targets of the service, or 0 if their memory has no known limit.
     *
     * With SchedulingOptions::sharesByOrganisation, the results of queued pieces count as stored.
     */
    std::size_t freeBytes(const TargetRegistry &targets, MonotonicTime now) const;
    std::size_t runningCalls() const;
    /** Returns the expected time until a piece of this rank would be complete if it were submitted now. */
    Duration expectedCompletionTime(int rank, const TargetRegistry &targets, MonotonicTime now) const;
    /** Returns the work that is sent before this order if it is submitted now, in the order of SchedulingOptions::sharesByOrganisation. */
    WorkAhead workAhead(const PieceOrder &pieceOrder, const TargetRegistry &targets, MonotonicTime now) const;
    /** Returns the recent mean of the result bytes freed per second. */
    double bytesFreedPerSecond(MonotonicTime now) const;
    ServiceLoadReport loadReport(const TargetRegistry &targets, MonotonicTime now) const;
    /** Returns the number of rejected callers for which capacity is reserved. */
    std::size_t reservationCount() const;

private:
    struct QueuedPiece {
        OrderId order;
        int rank = 0;
        MonotonicTime softDeadline;
        CallItem item;
        int attempts = 0;
        std::size_t resultBytes = 0;
        std::optional<FailureDomain> preferredDomain;
        OrganisationId organisation;
        bool isStarted = false;        ///< another piece of the order was sent, so its result occupies memory until this one has finished
        bool isWithdrawn = false;      ///< while its call was running; it is not retried
        std::size_t transferBytes = 0; ///< that move between domains if it leaves the preferred one
        std::vector<Region> allowedRegions;
        std::optional<SpilloverMove> move; ///< decision of selectPiecesToMove()
        std::optional<Fingerprint> caller; ///< of a first stage
        std::size_t orderPieces = 0;       ///< pieces of the whole order
    };
    using PiecePointer = std::unique_ptr<QueuedPiece>;
    using Batch = std::vector<PiecePointer>;
    /** A piece in the queue, with the values that are read for all pieces. Entries are cheap to sort and to move, pieces are not. */
    struct QueueEntry {
        explicit QueueEntry(PiecePointer queued);

        MonotonicTime softDeadline;
        MonotonicTime hardDeadline;
        OrderId order;
        std::size_t resultBytes = 0;
        int rank = 0;
        bool isStarted = false; ///< as that of the piece
        PiecePointer piece;
    };
    /** What decides on the place of consecutive pieces of an order in the queue. */
    struct QueueKey {
        bool isLate = false;
        int rank = 0;
        double position = 0; ///< among the pieces of the same rank, by the shares of organisations
        MonotonicTime softDeadline;
        OrderId order;
        std::size_t index = 0; ///< of the first piece in the queue before it is sorted
        std::size_t count = 1; ///< of pieces
        bool isStarted = false;
    };
    struct RunningCall {
        TargetId target;
        MonotonicTime startedAt;
        Duration expectedDuration {};
        Batch pieces;
    };
    /** A target with a free slot. */
    struct AvailableTarget {
        const TargetRecord *record = nullptr;
        double pace = 1;
        Duration latency {};
    };

    /** Returns the part of the admission state that depends on the targets and on the pieces that wait. */
    AdmissionState serviceState(const TargetRegistry &targets, MonotonicTime now) const;
    AdmissionState admissionState(const PieceOrder &pieceOrder, const TargetRegistry &targets, MonotonicTime now) const;
    bool mayHaveLatePieces(const TargetRegistry &targets, MonotonicTime now) const;
    void updateEarliestDeadlines(const QueueEntry &entry);
    std::optional<Duration> retryAfterExpiry(const QueuedPiece &piece, const TargetRegistry &targets, MonotonicTime now);
    std::size_t maxBatchSize() const;
    std::size_t batchSizeFor(const TargetId &target, const TargetRegistry &targets, MonotonicTime now) const;
    std::size_t roundCapacity(const TargetRegistry &targets, MonotonicTime now) const;
    Duration nextCallDuration() const;
    Duration callDuration(std::size_t pieces) const;
    Batch takeBatch(const TargetRecord &target, const TargetRegistry &targets, MonotonicTime now);
    template<typename Condition>
    void moveToBatch(Batch &batch, std::size_t &availableBytes, Condition condition);
    DomainLoads domainLoads(const TargetRegistry &targets, MonotonicTime now) const;
    void selectPiecesToMove(const TargetRegistry &targets, MonotonicTime now);
    Batch takeOwnAndMovedPieces(const TargetRecord &target, MonotonicTime now);
    MonotonicTime latestEndFor(const Batch &batch, MonotonicTime now) const;
    void recordFlows(const TargetRecord &target, const Batch &batch);
    void sortQueue(MonotonicTime now);
    void sortByDeadlines(MonotonicTime now);
    void sortByShares(MonotonicTime now);
    std::vector<QueueKey> queueKeys(MonotonicTime now) const;
    void assignPositions(std::vector<QueueKey> &keys, MonotonicTime now);
    void promoteLowRanks(std::vector<QueueKey> &keys);
    void recordBatch(const Batch &batch, MonotonicTime now);
    void onNoRoom(const TargetId &target, const QueuedPiece &piece, MonotonicTime now);
    void recordNotRun(const QueuedPiece &piece, MonotonicTime now);
    bool isAdmittedByShare(const PieceOrder &pieceOrder, const TargetRegistry &targets, MonotonicTime now);
    Duration completionTime(std::size_t pieces, std::size_t piecesAhead, std::size_t targetCount) const;
    bool hasMemoryBy(
        MonotonicTime time, const PieceOrder &pieceOrder, std::size_t bytesAhead, const TargetRegistry &targets, MonotonicTime now) const;
    std::size_t keptBytes(std::size_t resultBytes, MonotonicTime now) const;
    bool isSmallResult(std::size_t bytes) const;
    std::size_t unusedBytes(const TargetRegistry &targets, MonotonicTime now) const;
    OrganisationShares &sharesOf(int rank);
    std::set<FailureDomain> overloadedDomains(const TargetRegistry &targets, MonotonicTime now) const;
    bool isUrgent(const QueuedPiece &piece, MonotonicTime now) const;
    bool waitsForPreferredDomain(const QueuedPiece &piece, const std::set<FailureDomain> &overloaded, MonotonicTime now) const;
    std::vector<AvailableTarget> availableTargets(const TargetRegistry &targets, MonotonicTime now) const;
    void enqueue(PiecePointer piece);
    void retryOrFail(PiecePointer piece, PieceFailure failure, std::vector<OrderProgress> &completions, MonotonicTime now);

    RunningCall takeRunningCall(std::map<CallId, RunningCall>::iterator found);

    ServiceName m_service;
    PieceCapacity m_capacity;
    SchedulingOptions m_options;
    std::map<std::pair<FailureDomain, FailureDomain>, SpilloverFlow> m_flows; ///< of the last dispatch, by origin and destination
    std::map<FailureDomain, std::size_t> m_waitingByDomain;                   ///< when the last decision was made
    FleetAdmission m_admission;
    std::size_t m_newlyFreedBytes = 0; ///< not yet part of the rate that admission knows
    std::vector<QueueEntry> m_queue;
    /** End of the next call, which decides on lateness, when the queue was sorted; no value if it is not sorted. */
    std::optional<MonotonicTime> m_sortedForEnd;
    /** No piece in the queue has an earlier soft deadline, or an earlier hard deadline. */
    MonotonicTime m_earliestSoftDeadline = MonotonicTime::max();
    MonotonicTime m_earliestHardDeadline = MonotonicTime::max();
    std::map<CallId, RunningCall> m_runningCalls;
    std::unordered_map<TargetId, int> m_callsByTarget; ///< number of running calls
    ResultMemoryTracker m_resultMemory;
    FetchedInputs m_fetchedInputs;
    MonotonicTime m_startsUncertainUntil; ///< calls may wait at their targets, so when they fetch their inputs is not known
    std::unordered_map<TargetId, MonotonicTime> m_backoffUntil; ///< of targets that reported being full
    std::size_t m_batchLimit = 1;                               ///< pieces that the next call may hold
    std::uint64_t m_nextCallId = 1;
    std::map<int, OrganisationShares> m_shares; ///< by rank
    std::map<int, double> m_lowRankPlaces;      ///< places that ranks below the most urgent one still have to get; only those that wait
    MonotonicTime m_sortedAt;
    MonotonicTime m_smallResultsUntil; ///< memory is kept free for small results until then
};

} // namespace CassiaRelay::Gateway
