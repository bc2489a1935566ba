#include "stagepool.h"

#include <algorithm>

namespace CassiaRelay::Gateway {

namespace {

constexpr int MAX_ATTEMPTS = 3;                            // a piece may be made again; more would draw on the shared retry budget
constexpr double OVERDUE_FACTOR = 3;                       // calls of other daemons may run before, and targets differ in speed
constexpr std::chrono::milliseconds OVERDUE_SLACK { 500 }; // fetches of inputs and a slow start of the target
constexpr int CALLS_TO_SPARE = 2;                          // a target of another domain is free again within about one call
constexpr std::chrono::milliseconds FULL_REST { 60 };      // a fifth of a usual call: the target is full with calls of other daemons

// What the time would have been for a piece alone, so that full and nearly empty calls compare.
Duration scaled(Duration measured, Duration expectedOfOne, Duration expected)
{
    const double factor = static_cast<double>(expectedOfOne.count()) / static_cast<double>(std::max<Duration::rep>(1, expected.count()));
    return Duration(static_cast<Duration::rep>(static_cast<double>(measured.count()) * factor));
}

} // namespace

StagePool::StagePool(ServiceName service, PieceCapacity capacity)
    : m_service(std::move(service))
{
    adopt(capacity);
}

void StagePool::adopt(const PieceCapacity &capacity)
{
    m_capacity = capacity;
    m_room.setCapacity(capacity.resultBytes, capacity.resultLifetime);
}

bool StagePool::submit(OrderId order, const PieceOrder &work, const TargetBook &targets, MonotonicTime now)
{
    const bool isFirstStage = work.inputs.empty();
    const bool isCrowded = m_waiting.size() > callCapacity(targets, now);
    if (isFirstStage && isCrowded && now + expectedWait(work.rank, targets, now) > work.usefulUntil) {
        return false;
    }
    for (const int piece : work.pieces) {
        Waiting waiting;
        waiting.order = order;
        waiting.rank = work.rank;
        waiting.usefulUntil = work.usefulUntil;
        waiting.resultBytes = work.resultBytes;
        waiting.preferredDomain = work.preferredDomain;
        waiting.item = { { work.request, work.stage, piece }, work.inputKey, work.inputs, work.giveUpAt };
        m_waiting.push_back(std::move(waiting));
    }
    return true;
}

void StagePool::withdraw(OrderId order)
{
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(), [&order](const Waiting &piece) { return piece.order == order; }),
                    m_waiting.end());
}

void StagePool::release(const StageResult &result)
{
    m_room.release(result);
}

// In a crowd a late piece would only be made in place of one that can still be punctual. Its caller had better come back, and the
// results of its earlier stages make room at once instead of when they lapse.
std::vector<OrderProgress> StagePool::expire(const TargetBook &targets, MonotonicTime now)
{
    std::vector<OrderProgress> ends;
    m_room.expire(now);
    const Duration shortest = workTime(1);
    const Duration nextCall = nextCallTime();
    const bool isCrowded = m_waiting.size() > callCapacity(targets, now);
    const auto hopeless = [now, shortest, nextCall, isCrowded](const Waiting &piece) {
        return now + shortest > piece.item.giveUpAt || (isCrowded && now + nextCall > piece.usefulUntil);
    };
    for (const Waiting &piece : m_waiting) {
        if (hopeless(piece)) {
            ends.push_back({ piece.order, { piece.item.piece.number, PieceFailure::Late } });
        }
    }
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(), hopeless), m_waiting.end());
    return ends;
}

std::vector<StageCall> StagePool::dispatch(TargetBook &targets, MonotonicTime now)
{
    std::vector<StageCall> calls;
    for (const TargetRecord &target : freeTargets(targets, now)) {
        std::vector<Waiting> batch = takeBatch(target, targets, now);
        if (batch.empty()) {
            continue;
        }
        if (!targets.start(target.id, 0, now)) {
            std::move(batch.begin(), batch.end(), std::back_inserter(m_waiting));
            continue;
        }
        Running running;
        running.target = target.id;
        running.startedAt = now;
        running.pieces = std::move(batch);
        running.expected = workTime(running.pieces.size());
        StageCall call;
        call.id = CallId(m_nextCall++);
        call.target = target;
        for (const Waiting &piece : running.pieces) {
            m_room.reserve(target.id, piece.resultBytes);
            call.items.push_back(piece.item);
        }
        call.overdueAt = now + std::chrono::duration_cast<Duration>(running.expected * OVERDUE_FACTOR) + OVERDUE_SLACK;
        m_running.emplace(call.id, std::move(running));
        calls.push_back(std::move(call));
    }
    return calls;
}

std::vector<OrderProgress> StagePool::onAnswered(CallId call,
                                                 const std::vector<PieceOutcome> &outcomes,
                                                 TargetBook &targets,
                                                 MonotonicTime now)
{
    std::vector<OrderProgress> ends;
    const auto found = m_running.find(call);
    if (found == m_running.end()) {
        return ends;
    }
    Running running = std::move(found->second);
    m_running.erase(found);
    targets.finished(running.target, AttemptResult::Succeeded, 0, now);
    targets.noteLatency(running.target, scaled(now - running.startedAt, workTime(1), running.expected));
    for (std::size_t index = 0; index < running.pieces.size(); ++index) {
        Waiting &piece = running.pieces[index];
        if (index >= outcomes.size()) {
            m_room.cancel(running.target, piece.resultBytes);
            retryOrEnd(std::move(piece), PieceFailure::Failed, ends, now);
            continue;
        }
        std::visit(Overloaded {
                       [&](const StageResult &result) {
                           m_room.hold(result, piece.resultBytes, now);
                           ends.push_back({ piece.order, { piece.item.piece.number, result } });
                       },
                       [&](PieceFailure failure) {
                           m_room.cancel(running.target, piece.resultBytes);
                           if (failure == PieceFailure::NoRoom) {
                               m_restUntil[running.target] = now + FULL_REST;
                               --piece.attempts;
                           }
                           if (failure == PieceFailure::Failed || failure == PieceFailure::NoRoom) {
                               retryOrEnd(std::move(piece), failure, ends, now);
                           } else {
                               ends.push_back({ piece.order, { piece.item.piece.number, failure } });
                           }
                       },
                   },
                   outcomes[index]);
    }
    return ends;
}

std::vector<OrderProgress> StagePool::onFailed(CallId call, AttemptResult result, TargetBook &targets, MonotonicTime now)
{
    std::vector<OrderProgress> ends;
    const auto found = m_running.find(call);
    if (found == m_running.end()) {
        return ends;
    }
    Running running = std::move(found->second);
    m_running.erase(found);
    targets.finished(running.target, result, 0, now);
    if (result == AttemptResult::Refused) {
        m_restUntil[running.target] = now + FULL_REST;
    }
    for (Waiting &piece : running.pieces) {
        m_room.cancel(running.target, piece.resultBytes);
        // A target that was not reached or refused has not made the piece: that is no attempt.
        if (result == AttemptResult::Refused || result == AttemptResult::Unreachable) {
            --piece.attempts;
        }
        retryOrEnd(std::move(piece), PieceFailure::Failed, ends, now);
    }
    return ends;
}

std::size_t StagePool::waiting() const
{
    return m_waiting.size();
}

std::size_t StagePool::freeBytes(const TargetBook &targets, MonotonicTime now) const
{
    std::size_t bytes = 0;
    for (const TargetRecord &target : targets.usable(m_service, now)) {
        bytes += m_room.isLimited() ? m_room.freeBytes(target.id) : 0;
    }
    return bytes;
}

std::size_t StagePool::running() const
{
    return m_running.size();
}

Duration StagePool::expectedWait(int rank, const TargetBook &targets, MonotonicTime now) const
{
    const std::size_t usable = std::max<std::size_t>(1, targets.usable(m_service, now).size());
    std::size_t ahead = 0;
    for (const Waiting &piece : m_waiting) {
        if (piece.rank <= rank && piece.usefulUntil > now) {
            ++ahead;
        }
    }
    const std::size_t batch = batchSize();
    const std::size_t calls = ahead / (batch * usable);
    return workTime(batch) * static_cast<int>(calls) + workTime(std::min(batch, ahead / usable + 1));
}

std::size_t StagePool::batchSize() const
{
    return static_cast<std::size_t>(std::max(1, m_capacity.batch));
}

// Pieces that one round of calls takes.
std::size_t StagePool::callCapacity(const TargetBook &targets, MonotonicTime now) const
{
    return batchSize() * targets.usable(m_service, now).size();
}

// Of a call that takes what waits now.
Duration StagePool::nextCallTime() const
{
    return workTime(std::min(m_waiting.size(), batchSize()));
}

Duration StagePool::workTime(std::size_t pieces) const
{
    return m_capacity.perCall + m_capacity.perPiece * static_cast<int>(pieces);
}

// Punctual work before late work, then by rank and deadline.
void StagePool::sortWaiting(MonotonicTime now)
{
    const Duration nextCall = nextCallTime();
    const auto isLate = [now, nextCall](const Waiting &piece) { return now + nextCall > piece.usefulUntil; };
    const auto before = [&isLate](const Waiting &left, const Waiting &right) {
        const bool leftLate = isLate(left);
        const bool rightLate = isLate(right);
        if (leftLate != rightLate) {
            return rightLate;
        }
        if (left.rank != right.rank) {
            return left.rank < right.rank;
        }
        return left.usefulUntil < right.usefulUntil;
    };
    std::stable_sort(m_waiting.begin(), m_waiting.end(), before);
}

// Domains whose targets can't take what prefers them with their next calls.
std::set<FailureDomain> StagePool::crowdedDomains(const TargetBook &targets, MonotonicTime now) const
{
    std::map<FailureDomain, std::size_t> capacity;
    for (const TargetRecord &target : targets.usable(m_service, now)) {
        capacity[target.failureDomain] += batchSize();
    }
    std::map<FailureDomain, std::size_t> wanted;
    for (const Waiting &piece : m_waiting) {
        if (piece.preferredDomain) {
            ++wanted[*piece.preferredDomain];
        }
    }
    std::set<FailureDomain> crowded;
    for (const auto &[domain, pieces] : wanted) {
        if (pieces > capacity[domain]) {
            crowded.insert(domain);
        }
    }
    return crowded;
}

// Left for another call, it would be late.
bool StagePool::isUrgent(const Waiting &piece, MonotonicTime now) const
{
    const bool isLate = now + nextCallTime() > piece.usefulUntil;
    return !isLate && now + workTime(batchSize()) + workTime(1) > piece.usefulUntil;
}

// A target of its domain is free again within about one call.
bool StagePool::waitsForItsDomain(const Waiting &piece, const std::set<FailureDomain> &crowded, MonotonicTime now) const
{
    return piece.preferredDomain && crowded.count(*piece.preferredDomain) == 0
        && now + workTime(batchSize()) * CALLS_TO_SPARE < piece.usefulUntil;
}

template<typename Condition>
void StagePool::moveIf(std::vector<Waiting> &batch, std::size_t &room, Condition condition)
{
    std::vector<Waiting> left;
    for (Waiting &piece : m_waiting) {
        if (batch.size() >= batchSize() || piece.resultBytes > room || !condition(piece)) {
            left.push_back(std::move(piece));
            continue;
        }
        room -= m_room.isLimited() ? piece.resultBytes : 0;
        batch.push_back(std::move(piece));
    }
    m_waiting = std::move(left);
}

// What belongs to the target's domain, or can't wait, comes before what would move large inputs or results between domains.
std::vector<StagePool::Waiting> StagePool::takeBatch(const TargetRecord &target, const TargetBook &targets, MonotonicTime now)
{
    sortWaiting(now);
    const std::set<FailureDomain> crowded = crowdedDomains(targets, now);
    const FailureDomain &domain = target.failureDomain;
    std::size_t room = m_room.freeBytes(target.id);
    std::vector<Waiting> batch;
    moveIf(batch, room, [&](const Waiting &piece) {
        return !piece.preferredDomain || *piece.preferredDomain == domain || isUrgent(piece, now);
    });
    moveIf(batch, room, [&](const Waiting &piece) { return !waitsForItsDomain(piece, crowded, now); });
    return batch;
}

// Targets that have no call of this pool and have not just said that they are full, the fastest first.
std::vector<TargetRecord> StagePool::freeTargets(const TargetBook &targets, MonotonicTime now) const
{
    std::vector<TargetRecord> free;
    if (m_waiting.empty()) {
        return free;
    }
    for (TargetRecord &target : targets.usable(m_service, now)) {
        const auto rest = m_restUntil.find(target.id);
        if (rest != m_restUntil.end() && rest->second > now) {
            continue;
        }
        const auto calls = std::count_if(
            m_running.begin(), m_running.end(), [&target](const auto &running) { return running.second.target == target.id; });
        if (calls < std::max(1, m_capacity.slots)) {
            free.push_back(std::move(target));
        }
    }
    std::stable_sort(free.begin(), free.end(), [&targets](const TargetRecord &left, const TargetRecord &right) {
        return targets.latency(left.id) < targets.latency(right.id);
    });
    return free;
}

void StagePool::retryOrEnd(Waiting piece, PieceFailure failure, std::vector<OrderProgress> &ends, MonotonicTime now)
{
    ++piece.attempts;
    if (piece.attempts >= MAX_ATTEMPTS || now + workTime(1) > piece.item.giveUpAt) {
        ends.push_back({ piece.order, { piece.item.piece.number, failure } });
        return;
    }
    m_waiting.push_back(std::move(piece));
}

} // namespace CassiaRelay::Gateway
