#pragma once

#include "piece.h"
#include "resultroom.h"
#include "targetbook.h"

#include <cstdint>
#include <map>
#include <set>

namespace CassiaRelay::Gateway {

using OrderId = StrongId<struct OrderTag, std::uint64_t>;
using CallId = StrongId<struct CallTag, std::uint64_t>;

/** One piece of a call. */
struct CallItem {
    Piece piece;
    std::string inputKey;
    std::vector<std::string> inputs;
    MonotonicTime giveUpAt;
};

/** A batch of pieces for one target. */
struct StageCall {
    CallId id;
    TargetRecord target;
    std::vector<CallItem> items;
    MonotonicTime overdueAt; ///< without an answer until then the target counts as silent
};

/** One piece of an order has ended. */
struct OrderProgress {
    OrderId order;
    PieceEnd end;
};

/**
 * Gathers the pieces of one stage service and forms batches for its targets.
 *
 * Answers the load at which a call of a few pieces costs nearly as much as a full one: each target gets one call at a time, and what
 * has come in meanwhile goes into the next one, punctual work before late work, then by rank and deadline.
 */
class StagePool
{
public:
    StagePool(ServiceName service, PieceCapacity capacity);

    void adopt(const PieceCapacity &capacity);
    /** False when a first stage would come too late because of the work ahead of it; nothing is taken then. */
    bool submit(OrderId order, const PieceOrder &work, const TargetBook &targets, MonotonicTime now);
    /** Forgets what waits of an order; what runs goes on. */
    void withdraw(OrderId order);
    /** Nobody needs the result any more. */
    void release(const StageResult &result);
    /** Ends pieces that can't be made in time, and late ones while there is more than enough other work. */
    std::vector<OrderProgress> expire(const TargetBook &targets, MonotonicTime now);
    /** Calls to make now. */
    std::vector<StageCall> dispatch(TargetBook &targets, MonotonicTime now);
    /** @param outcomes one for each item of the call */
    std::vector<OrderProgress> onAnswered(CallId call, const std::vector<PieceOutcome> &outcomes, TargetBook &targets, MonotonicTime now);
    std::vector<OrderProgress> onFailed(CallId call, AttemptResult result, TargetBook &targets, MonotonicTime now);
    std::size_t waiting() const;
    /** Bytes of results that all targets of the service still have room for. */
    std::size_t freeBytes(const TargetBook &targets, MonotonicTime now) const;
    std::size_t running() const;
    /** Time until a piece of this rank that came now would be done. */
    Duration expectedWait(int rank, const TargetBook &targets, MonotonicTime now) const;

private:
    struct Waiting {
        OrderId order;
        int rank = 0;
        MonotonicTime usefulUntil;
        CallItem item;
        int attempts = 0;
        std::size_t resultBytes = 0;
        std::optional<FailureDomain> preferredDomain;
    };
    struct Running {
        TargetId target;
        MonotonicTime startedAt;
        Duration expected {};
        std::vector<Waiting> pieces;
    };

    std::size_t batchSize() const;
    std::size_t callCapacity(const TargetBook &targets, MonotonicTime now) const;
    Duration nextCallTime() const;
    Duration workTime(std::size_t pieces) const;
    std::vector<Waiting> takeBatch(const TargetRecord &target, const TargetBook &targets, MonotonicTime now);
    template<typename Condition>
    void moveIf(std::vector<Waiting> &batch, std::size_t &room, Condition condition);
    void sortWaiting(MonotonicTime now);
    std::set<FailureDomain> crowdedDomains(const TargetBook &targets, MonotonicTime now) const;
    bool isUrgent(const Waiting &piece, MonotonicTime now) const;
    bool waitsForItsDomain(const Waiting &piece, const std::set<FailureDomain> &crowded, MonotonicTime now) const;
    std::vector<TargetRecord> freeTargets(const TargetBook &targets, MonotonicTime now) const;
    void retryOrEnd(Waiting piece, PieceFailure failure, std::vector<OrderProgress> &ends, MonotonicTime now);

    ServiceName m_service;
    PieceCapacity m_capacity;
    std::vector<Waiting> m_waiting;
    std::map<CallId, Running> m_running;
    ResultRoom m_room;
    std::unordered_map<TargetId, MonotonicTime> m_restUntil; ///< of targets that said they were full
    std::uint64_t m_nextCall = 1;
};

} // namespace CassiaRelay::Gateway
