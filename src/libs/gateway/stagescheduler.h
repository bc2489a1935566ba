#pragma once

#include "piece.h"
#include "resultmemorytracker.h"
#include "targetregistry.h"

#include <cstdint>
#include <map>
#include <set>

namespace CassiaRelay::Gateway {

using OrderId = StrongId<struct OrderTag, std::uint64_t>;
using CallId = StrongId<struct CallTag, std::uint64_t>;

/** One piece of a call. */
struct CallItem {
    PieceId piece;
    std::string inputKey;
    std::vector<std::string> inputs;
    MonotonicTime hardDeadline;
};

/** A batch of pieces for one target. */
struct StageCall {
    CallId id;
    TargetRecord target;
    std::vector<CallItem> items;
    MonotonicTime timeoutAt; ///< without an answer until then the target counts as silent
};

/** One piece of an order has ended. */
struct OrderProgress {
    OrderId order;
    PieceCompletion completion;
};

/**
 * Gathers the pieces of one stage service and forms batches for its targets.
 *
 * Answers the load at which a call of a few pieces costs nearly as much as a full one: each target gets one call at a time, and what
 * has come in meanwhile goes into the next one, punctual work before late work, then by rank and deadline.
 */
class StageScheduler
{
public:
    StageScheduler(ServiceName service, PieceCapacity capacity);

    void setCapacity(const PieceCapacity &capacity);
    /** False when a first stage would come too late because of the work ahead of it; nothing is taken then. */
    bool submit(OrderId order, const PieceOrder &pieceOrder, const TargetRegistry &targets, MonotonicTime now);
    /** Forgets what waits of an order; what runs goes on. */
    void withdraw(OrderId order);
    /** Nobody needs the result any more. */
    void release(const StageResult &result);
    /** Ends pieces that can't be made in time, and late ones while there is more than enough other work. */
    std::vector<OrderProgress> expire(const TargetRegistry &targets, MonotonicTime now);
    /** Calls to make now. */
    std::vector<StageCall> dispatch(TargetRegistry &targets, MonotonicTime now);
    /** @param outcomes one for each item of the call */
    std::vector<OrderProgress> onAnswered(CallId call,
                                          const std::vector<PieceOutcome> &outcomes,
                                          TargetRegistry &targets,
                                          MonotonicTime now);
    std::vector<OrderProgress> onFailed(CallId call, AttemptResult result, TargetRegistry &targets, MonotonicTime now);
    std::size_t waitingPieces() const;
    /** Bytes of results that all targets of the service still have room for. */
    std::size_t freeBytes(const TargetRegistry &targets, MonotonicTime now) const;
    std::size_t runningCalls() const;
    /** Time until a piece of this rank that came now would be done. */
    Duration expectedCompletionTime(int rank, const TargetRegistry &targets, MonotonicTime now) const;

private:
    struct QueuedPiece {
        OrderId order;
        int rank = 0;
        MonotonicTime softDeadline;
        CallItem item;
        int attempts = 0;
        std::size_t resultBytes = 0;
        std::optional<FailureDomain> preferredDomain;
    };
    struct RunningCall {
        TargetId target;
        MonotonicTime startedAt;
        Duration expected {};
        std::vector<QueuedPiece> pieces;
    };

    std::size_t maxBatchSize() const;
    std::size_t roundCapacity(const TargetRegistry &targets, MonotonicTime now) const;
    Duration nextCallDuration() const;
    Duration callDuration(std::size_t pieces) const;
    std::vector<QueuedPiece> takeBatch(const TargetRecord &target, const TargetRegistry &targets, MonotonicTime now);
    template<typename Condition>
    void moveToBatch(std::vector<QueuedPiece> &batch, std::size_t &availableBytes, Condition condition);
    void sortQueue(MonotonicTime now);
    std::set<FailureDomain> overloadedDomains(const TargetRegistry &targets, MonotonicTime now) const;
    bool isUrgent(const QueuedPiece &piece, MonotonicTime now) const;
    bool waitsForPreferredDomain(const QueuedPiece &piece, const std::set<FailureDomain> &overloaded, MonotonicTime now) const;
    std::vector<TargetRecord> availableTargets(const TargetRegistry &targets, MonotonicTime now) const;
    void retryOrFail(QueuedPiece piece, PieceFailure failure, std::vector<OrderProgress> &completions, MonotonicTime now);

    ServiceName m_service;
    PieceCapacity m_capacity;
    std::vector<QueuedPiece> m_queue;
    std::map<CallId, RunningCall> m_runningCalls;
    ResultMemoryTracker m_resultMemory;
    std::unordered_map<TargetId, MonotonicTime> m_backoffUntil; ///< of targets that said they were full
    std::uint64_t m_nextCallId = 1;
};

} // namespace CassiaRelay::Gateway
