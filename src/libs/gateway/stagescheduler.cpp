#include "stagescheduler.h"

#include <algorithm>
#include <array>
#include <limits>
#include <tuple>

namespace CassiaRelay::Gateway {

namespace {

constexpr int MAX_ATTEMPTS = 3;                                 // more retries of a piece would have to draw on the shared retry budget
constexpr double CALL_TIMEOUT_FACTOR = 3;                       // calls of other daemons may run first, and targets differ in speed
constexpr std::chrono::milliseconds CALL_TIMEOUT_SLACK { 500 }; // for fetching inputs, and for targets that start slowly
constexpr int PREFERRED_DOMAIN_WAIT_CALLS = 2;                  // a target of the preferred domain is free again within about one call
// A smaller batch saves little time, because a call with a few pieces takes nearly as long as a full one.
constexpr std::size_t MIN_BATCH_DIVISOR = 2;
constexpr std::chrono::milliseconds FULL_TARGET_BACKOFF { 60 }; // a fifth of a typical call; the target is full with calls of other daemons
constexpr double LOW_RANK_SHARE = 0.05; // of the places of each batch, for each rank that waits behind a more urgent one (R8)
constexpr int MAX_RANK = 7;             // higher ranks share the last one, as in the load reports of services
constexpr std::chrono::seconds UNCERTAIN_STARTS { 5 };    // owners of a part of a fleet find each other again within about this time
constexpr std::size_t SHORT_MEMORY_DIVISOR = 2;           // with less of its memory free, a target may not take a full batch next
constexpr std::size_t SMALL_RESULT_MEMORY_DIVISOR = 16;   // part of the memory of a target that large results leave to small ones
constexpr std::chrono::seconds SMALL_RESULT_MEMORY { 2 }; // time for which it is kept after an order with small results

// Scales the measured duration of a call to that of a call with one piece, so that the latencies of full and nearly empty calls are
// comparable.
Duration normalizedLatency(Duration measured, Duration expectedForOnePiece, Duration expected)
{
    const double factor =
        static_cast<double>(expectedForOnePiece.count()) / static_cast<double>(std::max<Duration::rep>(1, expected.count()));
    return Duration(static_cast<Duration::rep>(static_cast<double>(measured.count()) * factor));
}

} // namespace

StageScheduler::QueueEntry::QueueEntry(PiecePointer queued)
    : softDeadline(queued->softDeadline)
    , hardDeadline(queued->item.hardDeadline)
    , order(queued->order)
    , resultBytes(queued->resultBytes)
    , rank(queued->rank)
    , isStarted(queued->isStarted)
    , piece(std::move(queued))
{
}

StageScheduler::StageScheduler(ServiceName service, PieceCapacity capacity)
    : m_service(std::move(service))
{
    setCapacity(capacity);
}

void StageScheduler::setCapacity(const PieceCapacity &capacity)
{
    m_capacity = capacity;
    m_resultMemory.setCapacity(capacity.resultBytes, capacity.resultLifetime);
}

void StageScheduler::setOptions(const SchedulingOptions &options)
{
    m_options = options;
    for (auto &[rank, shares] : m_shares) {
        shares.setWeights(options.organisationWeights);
    }
}

SubmitResult StageScheduler::submit(OrderId order, const PieceOrder &pieceOrder, const TargetRegistry &targets, MonotonicTime now)
{
    const bool isFirstStage = pieceOrder.inputs.empty();
    SubmitResult result;
    if (m_options.sharesByOrganisation) {
        result.isAccepted = isAdmittedByShare(pieceOrder, targets, now);
    } else if (isFirstStage && !m_options.usesFleetAdmission && m_queue.size() > roundCapacity(targets, now)
               && now + expectedCompletionTime(pieceOrder.rank, targets, now) > pieceOrder.softDeadline) {
        result.isAccepted = false;
    }
    if (isFirstStage && m_options.usesFleetAdmission) {
        m_admission.recordFreed(std::exchange(m_newlyFreedBytes, 0), now);
        result.admission = m_admission.decide(admissionState(pieceOrder, targets, now), pieceOrder, now);
        result.isAccepted = result.admission->isAdmitted();
    }
    if (!result.isAccepted) {
        return result;
    }
    if (m_options.freesFetchedInputs && !pieceOrder.inputs.empty() && pieceOrder.inputTargets.size() == pieceOrder.inputs.size()) {
        std::vector<StageResult> inputs;
        inputs.reserve(pieceOrder.inputs.size());
        for (std::size_t index = 0; index < pieceOrder.inputs.size(); ++index) {
            inputs.push_back({ pieceOrder.inputs[index], pieceOrder.inputTargets[index] });
        }
        m_fetchedInputs.add(order, std::move(inputs), pieceOrder.pieces.size());
    }
    for (const int piece : pieceOrder.pieces) {
        auto queued = std::make_unique<QueuedPiece>();
        queued->order = order;
        queued->rank = pieceOrder.rank;
        queued->softDeadline = pieceOrder.softDeadline;
        queued->resultBytes = pieceOrder.resultBytes;
        queued->preferredDomain = pieceOrder.preferredDomain;
        queued->organisation = pieceOrder.organisation.value_or(OrganisationId());
        queued->transferBytes = pieceOrder.inputBytes.value_or(pieceOrder.resultBytes);
        queued->allowedRegions = pieceOrder.allowedRegions;
        if (result.admission) {
            queued->caller = pieceOrder.caller;
            queued->orderPieces = pieceOrder.pieces.size();
        }
        queued->item = { { pieceOrder.request, pieceOrder.stage, piece }, pieceOrder.inputKey, pieceOrder.inputs, pieceOrder.hardDeadline };
        enqueue(std::move(queued));
    }
    return result;
}

void StageScheduler::withdraw(OrderId order)
{
    m_fetchedInputs.remove(order);
    const auto isOfOrder = [order](const QueueEntry &entry) { return entry.order == order; };
    m_queue.erase(std::remove_if(m_queue.begin(), m_queue.end(), isOfOrder), m_queue.end());
    if (!m_options.sharesByOrganisation) {
        return;
    }
    for (auto &[id, running] : m_runningCalls) {
        for (const PiecePointer &piece : running.pieces) {
            piece->isWithdrawn = piece->isWithdrawn || piece->order == order;
        }
    }
}

void StageScheduler::release(const StageResult &result)
{
    m_newlyFreedBytes += m_resultMemory.release(result);
}

// Under overload, a late piece would take the place of one that can still be on time. Failing it lets its caller retry, and frees the
// memory of the results of its earlier stages at once instead of when they expire.
std::vector<OrderProgress> StageScheduler::expire(const TargetRegistry &targets, MonotonicTime now)
{
    std::vector<OrderProgress> completions;
    m_newlyFreedBytes += m_resultMemory.removeExpired(now);
    for (auto &[rank, shares] : m_shares) {
        shares.removeExpired(now);
    }
    if (!mayHaveLatePieces(targets, now)) {
        return completions;
    }
    const Duration minimumDuration = callDuration(1);
    const Duration nextCall = nextCallDuration();
    const bool isOverloaded = m_queue.size() > roundCapacity(targets, now);
    const auto cannotFinishInTime = [now, minimumDuration, nextCall, isOverloaded](const QueueEntry &entry) {
        return now + minimumDuration > entry.hardDeadline || (isOverloaded && now + nextCall > entry.softDeadline);
    };
    for (const QueueEntry &entry : m_queue) {
        if (cannotFinishInTime(entry)) {
            const QueuedPiece &piece = *entry.piece;
            completions.push_back({ piece.order, { piece.item.piece.number, PieceFailure::Late, retryAfterExpiry(piece, targets, now) } });
        }
    }
    m_queue.erase(std::remove_if(m_queue.begin(), m_queue.end(), cannotFinishInTime), m_queue.end());
    m_earliestSoftDeadline = MonotonicTime::max();
    m_earliestHardDeadline = MonotonicTime::max();
    for (const QueueEntry &entry : m_queue) {
        updateEarliestDeadlines(entry);
    }
    return completions;
}

// Most calls of expire() fail nothing, and end here without a look at the pieces.
bool StageScheduler::mayHaveLatePieces(const TargetRegistry &targets, MonotonicTime now) const
{
    return !m_queue.empty()
        && (now + callDuration(1) > m_earliestHardDeadline
            || (now + nextCallDuration() > m_earliestSoftDeadline && m_queue.size() > roundCapacity(targets, now)));
}

void StageScheduler::updateEarliestDeadlines(const QueueEntry &entry)
{
    m_earliestSoftDeadline = std::min(m_earliestSoftDeadline, entry.softDeadline);
    m_earliestHardDeadline = std::min(m_earliestHardDeadline, entry.hardDeadline);
}

std::vector<StageCall> StageScheduler::dispatch(TargetRegistry &targets, MonotonicTime now)
{
    std::vector<StageCall> calls;
    const std::vector<AvailableTarget> available = availableTargets(targets, now);
    if (m_options.spillover && !available.empty()) {
        selectPiecesToMove(targets, now);
    }
    for (const AvailableTarget &availableTarget : available) {
        const TargetRecord &target = *availableTarget.record;
        m_batchLimit = batchSizeFor(target.id, targets, now);
        Batch batch = takeBatch(target, targets, now);
        if (batch.empty()) {
            continue;
        }
        if (!targets.startAttempt(target.id, 0, now)) {
            for (PiecePointer &piece : batch) {
                enqueue(std::move(piece));
            }
            continue;
        }
        if (m_options.spillover) {
            recordFlows(target, batch);
        }
        RunningCall running;
        running.target = target.id;
        running.startedAt = now;
        running.pieces = std::move(batch);
        running.expectedDuration = callDuration(running.pieces.size());
        recordBatch(running.pieces, now);
        StageCall call;
        call.id = CallId(m_nextCallId++);
        call.target = target;
        for (const PiecePointer &piece : running.pieces) {
            m_resultMemory.reserve(target.id, piece->resultBytes);
            m_fetchedInputs.recordSent(piece->order, now);
            call.items.push_back(piece->item);
        }
        call.timeoutAt = now + std::chrono::duration_cast<Duration>(running.expectedDuration * CALL_TIMEOUT_FACTOR) + CALL_TIMEOUT_SLACK;
        m_runningCalls.emplace(call.id, std::move(running));
        ++m_callsByTarget[target.id];
        calls.push_back(std::move(call));
    }
    return calls;
}

std::vector<OrderProgress> StageScheduler::onAnswered(CallId call,
                                                      const std::vector<PieceOutcome> &outcomes,
                                                      TargetRegistry &targets,
                                                      MonotonicTime now)
{
    std::vector<OrderProgress> completions;
    const auto found = m_runningCalls.find(call);
    if (found == m_runningCalls.end()) {
        return completions;
    }
    RunningCall running = takeRunningCall(found);
    targets.finishAttempt(running.target, AttemptResult::Succeeded, 0, now);
    targets.addLatencySample(running.target, normalizedLatency(now - running.startedAt, callDuration(1), running.expectedDuration));
    targets.addWorkSample(running.target, PieceWork { running.expectedDuration }, now - running.startedAt, now);
    for (std::size_t index = 0; index < running.pieces.size(); ++index) {
        QueuedPiece &piece = *running.pieces[index];
        if (index >= outcomes.size()) {
            m_resultMemory.cancelReservation(running.target, piece.resultBytes);
            retryOrFail(std::move(running.pieces[index]), PieceFailure::Failed, completions, now);
            continue;
        }
        std::visit(Overloaded {
                       [&](const StageResult &result) {
                           m_resultMemory.commit(result, piece.resultBytes, now);
                           completions.push_back({ piece.order, { piece.item.piece.number, result } });
                       },
                       [&](PieceFailure failure) {
                           m_resultMemory.cancelReservation(running.target, piece.resultBytes);
                           if (failure == PieceFailure::InputGone) {
                               m_startsUncertainUntil = now + UNCERTAIN_STARTS;
                           }
                           if (failure == PieceFailure::NoRoom) {
                               onNoRoom(running.target, piece, now);
                               --piece.attempts;
                           }
                           if (failure == PieceFailure::Failed || failure == PieceFailure::NoRoom) {
                               retryOrFail(std::move(running.pieces[index]), failure, completions, now);
                           } else {
                               completions.push_back({ piece.order, { piece.item.piece.number, failure } });
                           }
                       },
                   },
                   outcomes[index]);
    }
    return completions;
}

std::vector<OrderProgress> StageScheduler::onFailed(CallId call, AttemptResult result, TargetRegistry &targets, MonotonicTime now)
{
    std::vector<OrderProgress> completions;
    const auto found = m_runningCalls.find(call);
    if (found == m_runningCalls.end()) {
        return completions;
    }
    RunningCall running = takeRunningCall(found);
    targets.finishAttempt(running.target, result, 0, now);
    if (result == AttemptResult::Refused) {
        m_backoffUntil[running.target] = now + FULL_TARGET_BACKOFF;
        // Another owner sends calls to the target, too.
        m_startsUncertainUntil = now + UNCERTAIN_STARTS;
    }
    for (PiecePointer &piece : running.pieces) {
        if (m_options.sharesByOrganisation && result == AttemptResult::Silent) {
            m_resultMemory.keepReservation(running.target, piece->resultBytes, now);
        } else {
            m_resultMemory.cancelReservation(running.target, piece->resultBytes);
        }
        // The target did not run the piece if it was unreachable or refused the call, so this does not count as an attempt.
        if (result == AttemptResult::Refused || result == AttemptResult::Unreachable) {
            --piece->attempts;
            recordNotRun(*piece, now);
        }
        retryOrFail(std::move(piece), PieceFailure::Failed, completions, now);
    }
    return completions;
}

// A target without memory for a large result may have some for small ones, so only large ones wait.
void StageScheduler::onNoRoom(const TargetId &target, const QueuedPiece &piece, MonotonicTime now)
{
    recordNotRun(piece, now);
    if (m_options.sharesByOrganisation && piece.resultBytes > 0) {
        m_resultMemory.limitUntil(target, piece.resultBytes, now + FULL_TARGET_BACKOFF);
        return;
    }
    m_backoffUntil[target] = now + FULL_TARGET_BACKOFF;
}

std::vector<StageResult> StageScheduler::takeFetchedInputs(MonotonicTime now)
{
    std::vector<StageResult> fetched = m_fetchedInputs.take(now);
    if (now < m_startsUncertainUntil) {
        fetched.clear();
    }
    return fetched;
}

bool StageScheduler::isShortOfMemory(const TargetId &target) const
{
    return m_resultMemory.isLimited() && m_resultMemory.freeBytes(target) < m_resultMemory.bytesPerTarget() / SHORT_MEMORY_DIVISOR;
}

bool StageScheduler::awaitsFetchedInputs() const
{
    return m_fetchedInputs.isWaiting();
}

std::size_t StageScheduler::waitingPieces() const
{
    return m_queue.size();
}

std::size_t StageScheduler::freeBytes(const TargetRegistry &targets, MonotonicTime now) const
{
    const std::size_t unused = unusedBytes(targets, now);
    if (!m_options.sharesByOrganisation) {
        return unused;
    }
    std::size_t queued = 0;
    for (const QueueEntry &entry : m_queue) {
        queued += entry.resultBytes;
    }
    return unused - std::min(unused, queued);
}

// Returns the memory of the targets that neither results nor running calls occupy.
std::size_t StageScheduler::unusedBytes(const TargetRegistry &targets, MonotonicTime now) const
{
    std::size_t bytes = 0;
    if (m_resultMemory.isLimited()) {
        targets.forEachUsableTarget(m_service, now, [&](const TargetRecord &target) { bytes += m_resultMemory.freeBytes(target.id); });
    }
    return bytes;
}

double StageScheduler::bytesFreedPerSecond(MonotonicTime now) const
{
    return m_resultMemory.bytesFreedPerSecond(now);
}

std::size_t StageScheduler::runningCalls() const
{
    return m_runningCalls.size();
}

Duration StageScheduler::expectedCompletionTime(int rank, const TargetRegistry &targets, MonotonicTime now) const
{
    const std::size_t targetCount = std::max<std::size_t>(1, targets.usableTargetCount(m_service, now));
    std::size_t piecesAhead = 0;
    for (const QueueEntry &entry : m_queue) {
        if (entry.rank <= rank && entry.softDeadline > now) {
            ++piecesAhead;
        }
    }
    const std::size_t batch = maxBatchSize();
    const std::size_t calls = piecesAhead / (batch * targetCount);
    return callDuration(batch) * static_cast<int>(calls) + callDuration(std::min(batch, piecesAhead / targetCount + 1));
}

ServiceLoadReport StageScheduler::loadReport(const TargetRegistry &targets, MonotonicTime now) const
{
    ServiceLoadReport report;
    report.service = m_service;
    report.waitingPieces = m_queue.size();
    report.targets = targets.usableTargetCount(m_service, now);
    if (m_resultMemory.isLimited()) {
        report.freeBytes = freeBytes(targets, now);
    }
    AdmissionState state = serviceState(targets, now);
    state.pieces = 1;
    std::array<std::size_t, ServiceLoadReport::MAX_RANKS> piecesByRank {};
    for (const QueueEntry &entry : m_queue) {
        if (entry.softDeadline > now) {
            ++piecesByRank.at(std::min(static_cast<std::size_t>(std::max(0, entry.rank)), piecesByRank.size() - 1));
        }
    }
    for (std::size_t rank = 0; rank < piecesByRank.size(); ++rank) {
        state.piecesAhead += piecesByRank.at(rank);
        const std::optional<Duration> completion = expectedCompletion(state);
        if (!completion) {
            return report;
        }
        report.completionTimes.push_back(*completion);
    }
    return report;
}

std::size_t StageScheduler::reservationCount() const
{
    return m_admission.reservationCount();
}

AdmissionState StageScheduler::serviceState(const TargetRegistry &targets, MonotonicTime now) const
{
    AdmissionState state;
    state.batch = maxBatchSize();
    state.perCall = m_capacity.perCall;
    state.perPiece = m_capacity.perPiece;
    std::map<TargetId, std::vector<Duration>> callsByTarget;
    for (const auto &[id, running] : m_runningCalls) {
        callsByTarget[running.target].push_back(std::max(Duration::zero(), running.startedAt + running.expectedDuration - now));
    }
    const auto slots = static_cast<std::size_t>(std::max(1, m_capacity.slots));
    targets.forEachUsableTarget(m_service, now, [&](const TargetRecord &target) {
        std::vector<Duration> calls = callsByTarget[target.id];
        calls.resize(slots, Duration::zero());
        state.freeAfter.insert(state.freeAfter.end(), calls.begin(), calls.end());
    });
    std::sort(state.freeAfter.begin(), state.freeAfter.end());
    return state;
}

AdmissionState StageScheduler::admissionState(const PieceOrder &pieceOrder, const TargetRegistry &targets, MonotonicTime now) const
{
    AdmissionState state = serviceState(targets, now);
    state.pieces = pieceOrder.pieces.size();
    state.bytes = state.pieces * pieceOrder.resultBytes;
    for (const QueueEntry &entry : m_queue) {
        if (entry.rank <= pieceOrder.rank && entry.softDeadline > now) {
            ++state.piecesAhead;
            state.bytesAhead += entry.resultBytes;
        }
    }
    if (m_options.sharesByOrganisation) {
        const WorkAhead ahead = workAhead(pieceOrder, targets, now);
        state.piecesAhead = ahead.pieces;
        state.bytesAhead = ahead.bytes;
    }
    if (m_resultMemory.isLimited()) {
        state.freeBytes = freeBytes(targets, now);
        // A call takes no more pieces than fit into the result memory of its target.
        const std::size_t fitting = m_resultMemory.bytesPerTarget() / std::max<std::size_t>(1, pieceOrder.resultBytes);
        state.batch = std::clamp<std::size_t>(fitting, 1, state.batch);
    }
    state.untilSoftDeadline = pieceOrder.softDeadline - now;
    state.untilHardDeadline = pieceOrder.hardDeadline - now;
    // Daemons that send the fingerprint of the caller also see to it that the soft deadline can be met.
    state.isSoftDeadlineAttainable = pieceOrder.caller.has_value();
    return state;
}

// More urgent orders that arrived later have taken the place of this one.
std::optional<Duration> StageScheduler::retryAfterExpiry(const QueuedPiece &piece, const TargetRegistry &targets, MonotonicTime now)
{
    if (!piece.caller) {
        return std::nullopt;
    }
    PieceOrder pieceOrder;
    pieceOrder.rank = piece.rank;
    pieceOrder.caller = piece.caller;
    pieceOrder.pieces.resize(piece.orderPieces);
    pieceOrder.hardDeadline = piece.item.hardDeadline;
    pieceOrder.resultBytes = piece.resultBytes;
    return m_admission.reserveAfterExpiry(serviceState(targets, now), pieceOrder, now);
}

std::size_t StageScheduler::maxBatchSize() const
{
    return static_cast<std::size_t>(std::max(1, m_capacity.batch));
}

// A slow target gets as many pieces as it completes in the time of a full call of a usual one, so that it does not delay the results of the
// others. When more pieces wait than the next calls can take, its throughput matters more, which is highest with full batches.
std::size_t StageScheduler::batchSizeFor(const TargetId &target, const TargetRegistry &targets, MonotonicTime now) const
{
    const std::size_t full = maxBatchSize();
    const double pace = targets.pace(target, now);
    if (pace <= 1 || m_capacity.perPiece <= Duration::zero() || m_queue.size() > roundCapacity(targets, now)) {
        return full;
    }
    const auto time = static_cast<Duration::rep>(static_cast<double>(callDuration(full).count()) / pace);
    const Duration::rep pieces = (time - m_capacity.perCall.count()) / m_capacity.perPiece.count();
    const auto smallest = static_cast<Duration::rep>((full + MIN_BATCH_DIVISOR - 1) / MIN_BATCH_DIVISOR);
    return static_cast<std::size_t>(std::clamp(pieces, smallest, static_cast<Duration::rep>(full)));
}

// Returns the number of pieces that fit if each usable target gets one call.
std::size_t StageScheduler::roundCapacity(const TargetRegistry &targets, MonotonicTime now) const
{
    return maxBatchSize() * targets.usableTargetCount(m_service, now);
}

// Returns the expected duration of one call with the pieces that are queued now, up to a full batch.
Duration StageScheduler::nextCallDuration() const
{
    return callDuration(std::min(m_queue.size(), maxBatchSize()));
}

Duration StageScheduler::callDuration(std::size_t pieces) const
{
    return m_capacity.perCall + m_capacity.perPiece * static_cast<int>(pieces);
}

void StageScheduler::sortQueue(MonotonicTime now)
{
    m_sortedAt = now;
    if (m_options.sharesByOrganisation) {
        sortByShares(now);
    } else {
        sortByDeadlines(now);
    }
}

// Orders pieces that can be on time before late ones, then by rank, then by soft deadline.
void StageScheduler::sortByDeadlines(MonotonicTime now)
{
    const MonotonicTime end = now + nextCallDuration();
    if (m_sortedForEnd == end) {
        return;
    }
    m_sortedForEnd = end;
    std::stable_sort(m_queue.begin(), m_queue.end(), [end](const QueueEntry &left, const QueueEntry &right) {
        const bool leftLate = end > left.softDeadline;
        const bool rightLate = end > right.softDeadline;
        if (leftLate != rightLate) {
            return rightLate;
        }
        if (left.rank != right.rank) {
            return left.rank < right.rank;
        }
        return left.softDeadline < right.softDeadline;
    });
}

// Orders pieces that can be on time before late ones, then by rank, then by the shares of organisations, then by soft deadline.
void StageScheduler::sortByShares(MonotonicTime now)
{
    m_sortedForEnd.reset();
    std::vector<QueueKey> keys = queueKeys(now);
    const auto isBefore = [](const QueueKey &left, const QueueKey &right) {
        return std::tie(left.isLate, left.rank, left.position, left.softDeadline, left.order, left.index)
            < std::tie(right.isLate, right.rank, right.position, right.softDeadline, right.order, right.index);
    };
    std::sort(keys.begin(), keys.end(), isBefore);
    assignPositions(keys, now);
    std::sort(keys.begin(), keys.end(), isBefore);
    std::vector<QueueKey> pieceKeys;
    pieceKeys.reserve(m_queue.size());
    for (QueueKey key : keys) {
        const std::size_t end = key.index + std::exchange(key.count, 1);
        for (; key.index < end; ++key.index) {
            pieceKeys.push_back(key);
        }
    }
    promoteLowRanks(pieceKeys);
    std::vector<QueueEntry> sorted;
    sorted.reserve(m_queue.size());
    for (const QueueKey &key : pieceKeys) {
        sorted.push_back(std::move(m_queue[key.index]));
    }
    m_queue = std::move(sorted);
}

// The pieces of an order usually follow each other, so one key for all of them makes sorting cheaper.
std::vector<StageScheduler::QueueKey> StageScheduler::queueKeys(MonotonicTime now) const
{
    const Duration nextCall = nextCallDuration();
    std::vector<QueueKey> keys;
    for (std::size_t index = 0; index < m_queue.size(); ++index) {
        const QueueEntry &entry = m_queue[index];
        if (!keys.empty() && keys.back().order == entry.order && keys.back().rank == entry.rank
            && keys.back().softDeadline == entry.softDeadline && keys.back().isStarted == entry.isStarted) {
            ++keys.back().count;
        } else {
            const bool isLate = now + nextCall > entry.softDeadline;
            keys.push_back({ isLate, entry.rank, 0, entry.softDeadline, entry.order, index, 1, entry.isStarted });
        }
    }
    return keys;
}

// The position of an order is the normalized service of its organisation after all of its pieces have been sent. All pieces of an order
// have the same one, because an order is finished only with its last piece. Orders of which a piece was sent go first.
void StageScheduler::assignPositions(std::vector<QueueKey> &keys, MonotonicTime now)
{
    std::map<int, std::set<OrganisationId>> waiting;
    for (const QueueKey &key : keys) {
        waiting[std::min(key.rank, MAX_RANK)].insert(m_queue[key.index].piece->organisation);
    }
    for (auto &[rank, shares] : m_shares) {
        shares.setWaiting(waiting[rank], now);
    }
    struct Turn {
        double position = 0;
        double perPiece = 0;
    };
    std::map<int, std::unordered_map<OrganisationId, Turn>> turns;
    for (auto first = keys.begin(); first != keys.end();) {
        const QueuedPiece &piece = *m_queue[first->index].piece;
        const int rank = std::min(piece.rank, MAX_RANK);
        const auto [turn, isNew] = turns[rank].try_emplace(piece.organisation);
        if (isNew) {
            const OrganisationShares &shares = sharesOf(rank);
            turn->second = { shares.normalizedService(piece.organisation, now), 1 / shares.weight(piece.organisation, now) };
        }
        std::size_t pieces = 0;
        auto last = first;
        for (; last != keys.end() && last->order == first->order; ++last) {
            pieces += last->count;
        }
        turn->second.position += turn->second.perPiece * static_cast<double>(pieces);
        for (; first != last; ++first) {
            first->position = first->isStarted ? 0 : turn->second.position;
        }
    }
}

// Moves the pieces to the front that ranks behind the most urgent one have to get in the next batch, if they can still be on time.
void StageScheduler::promoteLowRanks(std::vector<QueueKey> &keys)
{
    if (keys.empty() || keys.front().isLate) {
        m_lowRankPlaces.clear();
        return;
    }
    const double placesPerBatch = LOW_RANK_SHARE * static_cast<double>(maxBatchSize());
    const int firstRank = keys.front().rank;
    std::map<int, double> places;
    for (const QueueKey &key : keys) {
        if (key.rank > firstRank && !key.isLate) {
            places.try_emplace(key.rank, m_lowRankPlaces[key.rank]);
        }
    }
    m_lowRankPlaces = places;
    std::stable_partition(keys.begin(), keys.end(), [&places, placesPerBatch](const QueueKey &key) {
        const auto rank = places.find(key.rank);
        if (rank == places.end() || key.isLate || rank->second + placesPerBatch < 1) {
            return false;
        }
        rank->second -= 1;
        return true;
    });
}

// Counts the pieces toward the shares of their organisations and ranks, and lets the other pieces of their orders follow at once.
void StageScheduler::recordBatch(const Batch &batch, MonotonicTime now)
{
    if (!m_options.sharesByOrganisation) {
        return;
    }
    // Places that can't be used, because the pieces wait for memory or their domain, are kept for two batches only.
    const double placesPerBatch = LOW_RANK_SHARE * static_cast<double>(maxBatchSize());
    const double maxPlaces = 2 * std::max(1.0, placesPerBatch);
    for (auto &[rank, places] : m_lowRankPlaces) {
        const auto sent =
            std::count_if(batch.begin(), batch.end(), [rank = rank](const PiecePointer &piece) { return piece->rank == rank; });
        places = std::clamp(places + placesPerBatch - static_cast<double>(sent), 0.0, maxPlaces);
    }
    std::set<OrderId> orders;
    for (const PiecePointer &piece : batch) {
        sharesOf(piece->rank).recordService(piece->organisation, 1, now);
        orders.insert(piece->order);
    }
    for (QueueEntry &entry : m_queue) {
        if (!entry.isStarted && orders.count(entry.order) > 0) {
            entry.isStarted = true;
            entry.piece->isStarted = true;
        }
    }
}

void StageScheduler::recordNotRun(const QueuedPiece &piece, MonotonicTime now)
{
    if (m_options.sharesByOrganisation) {
        sharesOf(piece.rank).recordService(piece.organisation, -1, now);
    }
}

// Counts demand, and decides like submit() does without shares, but by the work ahead of this organisation and by result memory. Fleet
// admission decides by workAhead() itself.
bool StageScheduler::isAdmittedByShare(const PieceOrder &pieceOrder, const TargetRegistry &targets, MonotonicTime now)
{
    const OrganisationId organisation = pieceOrder.organisation.value_or(OrganisationId());
    sharesOf(pieceOrder.rank).recordDemand(organisation, static_cast<double>(pieceOrder.pieces.size()), now);
    if (isSmallResult(pieceOrder.resultBytes)) {
        m_smallResultsUntil = now + SMALL_RESULT_MEMORY;
    }
    const bool isFirstStage = pieceOrder.inputs.empty();
    if (!isFirstStage || m_queue.empty() || m_options.usesFleetAdmission) {
        return true;
    }
    const WorkAhead ahead = workAhead(pieceOrder, targets, now);
    const std::size_t targetCount = targets.usableTargetCount(m_service, now);
    const bool isOverloaded = m_queue.size() > maxBatchSize() * targetCount;
    if (isOverloaded && now + completionTime(pieceOrder.pieces.size(), ahead.pieces, targetCount) > pieceOrder.softDeadline) {
        return false;
    }
    return isSmallResult(pieceOrder.resultBytes)
        || hasMemoryBy(pieceOrder.softDeadline - callDuration(maxBatchSize()), pieceOrder, ahead.bytes, targets, now);
}

WorkAhead StageScheduler::workAhead(const PieceOrder &pieceOrder, const TargetRegistry &targets, MonotonicTime now) const
{
    const OrganisationId own = pieceOrder.organisation.value_or(OrganisationId());
    const OrganisationShares unused;
    const auto known = m_shares.find(std::min(pieceOrder.rank, MAX_RANK));
    const OrganisationShares &shares = known == m_shares.end() ? unused : known->second;
    std::size_t unusedMemory = m_resultMemory.isLimited() ? unusedBytes(targets, now) : std::numeric_limits<std::size_t>::max();
    WorkAhead higher;
    WorkAhead same;
    const auto count = [&unusedMemory, &pieceOrder](WorkAhead &ahead, std::size_t bytes) {
        // A piece that waits for memory does not delay one with a smaller result.
        if (bytes > unusedMemory && bytes > pieceOrder.resultBytes) {
            return;
        }
        unusedMemory -= std::min(unusedMemory, bytes);
        ++ahead.pieces;
        ahead.bytes += bytes;
    };
    std::size_t ownPieces = pieceOrder.pieces.size();
    std::unordered_map<OrganisationId, std::vector<std::size_t>> others; // result bytes of each waiting piece of the same rank
    std::optional<OrderId> lastOrder;                                    // pieces of the same order usually follow each other
    std::vector<std::size_t> *othersOfOrder = nullptr;                   // those of its organisation
    const Duration nextCall = nextCallDuration();
    for (const QueueEntry &entry : m_queue) {
        if (entry.rank > pieceOrder.rank || now + nextCall > entry.softDeadline) {
            continue;
        }
        if (entry.rank < pieceOrder.rank) {
            count(higher, entry.resultBytes);
            continue;
        }
        if (lastOrder != entry.order) {
            lastOrder = entry.order;
            const OrganisationId &organisation = entry.piece->organisation;
            othersOfOrder = organisation == own ? nullptr : &others[organisation];
        }
        if (othersOfOrder) {
            othersOfOrder->push_back(entry.resultBytes);
        } else if (entry.softDeadline <= pieceOrder.softDeadline) {
            ++ownPieces;
            count(same, entry.resultBytes);
        }
    }
    const double ownPosition = shares.normalizedService(own, now) + static_cast<double>(ownPieces) / shares.weight(own, now);
    std::unordered_map<OrganisationId, double> newPieces; // that others may still request and that would be sent before this order
    for (const auto &[organisation, bytes] : others) {
        const double before = (ownPosition - shares.normalizedService(organisation, now)) * shares.weight(organisation, now);
        const auto pieces = static_cast<std::size_t>(std::clamp(before, 0.0, static_cast<double>(bytes.size())));
        std::for_each(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(pieces), [&](std::size_t one) { count(same, one); });
        newPieces[organisation] = std::max(0.0, before - static_cast<double>(pieces));
    }
    const std::size_t targetCount = targets.usableTargetCount(m_service, now);
    const std::chrono::duration<double> wait = completionTime(pieceOrder.pieces.size(), higher.pieces + same.pieces, targetCount);
    for (const auto &[organisation, pieces] : newPieces) {
        same.pieces += static_cast<std::size_t>(std::min(pieces, shares.demandPerSecond(organisation, now) * wait.count()));
    }
    // A low rank does not wait for all of the more urgent work, because it has its part of each batch.
    const auto byLowRankShare = static_cast<std::size_t>(static_cast<double>(same.pieces + pieceOrder.pieces.size()) / LOW_RANK_SHARE);
    return { std::min(higher.pieces + same.pieces, byLowRankShare), higher.bytes + same.bytes };
}

// Returns the expected time until an order is complete, like expectedCompletionTime().
Duration StageScheduler::completionTime(std::size_t pieces, std::size_t piecesAhead, std::size_t targetCount) const
{
    const std::size_t batch = maxBatchSize();
    const std::size_t targets = std::max<std::size_t>(1, targetCount);
    const std::size_t before = piecesAhead + std::max<std::size_t>(1, pieces) - 1;
    return callDuration(batch) * static_cast<int>(before / (batch * targets)) + callDuration(std::min(batch, before / targets + 1));
}

// Returns whether the results of the order can be stored by then. Where nothing was freed recently, results are assumed to be freed within
// their lifetime at the latest.
bool StageScheduler::hasMemoryBy(
    MonotonicTime time, const PieceOrder &pieceOrder, std::size_t bytesAhead, const TargetRegistry &targets, MonotonicTime now) const
{
    if (!m_resultMemory.isLimited() || pieceOrder.resultBytes == 0) {
        return true;
    }
    std::size_t usable = 0;
    std::size_t used = 0;
    targets.forEachUsableTarget(m_service, now, [&](const TargetRecord &target) {
        const std::size_t free = m_resultMemory.freeBytes(target.id);
        const std::size_t kept = std::min(free, keptBytes(pieceOrder.resultBytes, now));
        usable += (free - kept) / pieceOrder.resultBytes * pieceOrder.resultBytes;
        used += m_capacity.resultBytes - std::min(m_capacity.resultBytes, free);
    });
    const std::size_t bytes = bytesAhead + pieceOrder.resultBytes * pieceOrder.pieces.size();
    const std::chrono::duration<double> lifetime = m_resultMemory.lifetime();
    const std::chrono::duration<double> timeLeft = time - now;
    const double slowestRate = lifetime.count() > 0 ? static_cast<double>(used) / lifetime.count() : 0;
    const double freed = std::max(slowestRate, m_resultMemory.bytesFreedPerSecond(now)) * std::max(0.0, timeLeft.count());
    return static_cast<double>(bytes) <= static_cast<double>(usable) + freed;
}

bool StageScheduler::isSmallResult(std::size_t bytes) const
{
    return bytes * maxBatchSize() <= m_capacity.resultBytes / SMALL_RESULT_MEMORY_DIVISOR;
}

// Large results leave a part of the memory of each target to small ones, which would wait with them otherwise.
std::size_t StageScheduler::keptBytes(std::size_t resultBytes, MonotonicTime now) const
{
    const std::size_t kept = m_capacity.resultBytes / SMALL_RESULT_MEMORY_DIVISOR;
    const bool keepsMemory = m_options.sharesByOrganisation && m_resultMemory.isLimited() && now < m_smallResultsUntil
        && !isSmallResult(resultBytes) && resultBytes + kept <= m_capacity.resultBytes;
    return keepsMemory ? kept : 0;
}

OrganisationShares &StageScheduler::sharesOf(int rank)
{
    const auto [shares, isNew] = m_shares.try_emplace(std::min(rank, MAX_RANK));
    if (isNew) {
        shares->second.setWeights(m_options.organisationWeights);
    }
    return shares->second;
}

// Returns the domains whose usable targets can't take all queued pieces that prefer the domain with their next calls.
std::set<FailureDomain> StageScheduler::overloadedDomains(const TargetRegistry &targets, MonotonicTime now) const
{
    std::map<FailureDomain, std::size_t> capacity;
    targets.forEachUsableTarget(m_service, now, [&](const TargetRecord &target) { capacity[target.failureDomain] += maxBatchSize(); });
    std::map<FailureDomain, std::size_t> piecesByDomain;
    std::optional<OrderId> lastOrder; // pieces of the same order usually follow each other
    std::size_t *piecesOfDomain = nullptr;
    for (const QueueEntry &entry : m_queue) {
        if (lastOrder != entry.order) {
            lastOrder = entry.order;
            const std::optional<FailureDomain> &domain = entry.piece->preferredDomain;
            piecesOfDomain = domain ? &piecesByDomain[*domain] : nullptr;
        }
        if (piecesOfDomain) {
            ++*piecesOfDomain;
        }
    }
    std::set<FailureDomain> overloaded;
    for (const auto &[domain, pieces] : piecesByDomain) {
        if (pieces > capacity[domain]) {
            overloaded.insert(domain);
        }
    }
    return overloaded;
}

// Returns whether the piece is on time in the next call but would be late in the one after it.
bool StageScheduler::isUrgent(const QueuedPiece &piece, MonotonicTime now) const
{
    const bool isLate = now + nextCallDuration() > piece.softDeadline;
    return !isLate && now + callDuration(maxBatchSize()) + callDuration(1) > piece.softDeadline;
}

// Returns whether the piece can wait for a target of its preferred domain, which is free again within about one call.
bool StageScheduler::waitsForPreferredDomain(const QueuedPiece &piece, const std::set<FailureDomain> &overloaded, MonotonicTime now) const
{
    return piece.preferredDomain && overloaded.count(*piece.preferredDomain) == 0
        && now + callDuration(maxBatchSize()) * PREFERRED_DOMAIN_WAIT_CALLS < piece.softDeadline;
}

template<typename Condition>
void StageScheduler::moveToBatch(Batch &batch, std::size_t &availableBytes, Condition condition)
{
    auto next = m_queue.begin();
    auto firstTaken = m_queue.end();
    for (; next != m_queue.end() && batch.size() < m_batchLimit; ++next) {
        if (next->resultBytes + keptBytes(next->resultBytes, m_sortedAt) > availableBytes || !condition(*next->piece)) {
            continue;
        }
        availableBytes -= m_resultMemory.isLimited() ? next->resultBytes : 0;
        batch.push_back(std::move(next->piece));
        firstTaken = std::min(firstTaken, next);
    }
    if (firstTaken != m_queue.end()) {
        m_queue.erase(std::remove_if(firstTaken, next, [](const QueueEntry &entry) { return !entry.piece; }), next);
    }
}

// Takes pieces first that prefer the domain of the target, have no preferred domain or are urgent. The others would move large inputs or
// results between domains, so they only fill the remaining places of the call, and only if they don't wait for their own domain.
StageScheduler::Batch StageScheduler::takeBatch(const TargetRecord &target, const TargetRegistry &targets, MonotonicTime now)
{
    sortQueue(now);
    if (m_options.spillover) {
        return takeOwnAndMovedPieces(target, now);
    }
    const std::set<FailureDomain> overloaded = overloadedDomains(targets, now);
    const FailureDomain &domain = target.failureDomain;
    std::size_t availableBytes = m_resultMemory.freeBytes(target.id);
    Batch batch;
    moveToBatch(batch, availableBytes, [&](const QueuedPiece &piece) {
        return !piece.preferredDomain || *piece.preferredDomain == domain || isUrgent(piece, now);
    });
    moveToBatch(batch, availableBytes, [&](const QueuedPiece &piece) { return !waitsForPreferredDomain(piece, overloaded, now); });
    return batch;
}

std::vector<SpilloverFlow> StageScheduler::takeSpilloverFlows()
{
    std::vector<SpilloverFlow> flows;
    for (auto &[domains, flow] : std::exchange(m_flows, {})) {
        flows.push_back(std::move(flow));
    }
    return flows;
}

// The owner starts all calls of the service, so it knows when each slot is free again.
DomainLoads StageScheduler::domainLoads(const TargetRegistry &targets, MonotonicTime now) const
{
    std::map<TargetId, std::vector<Duration>> busyUntil;
    for (const auto &[id, call] : m_runningCalls) {
        busyUntil[call.target].push_back(std::max<Duration>(Duration::zero(), call.startedAt + call.expectedDuration - now));
    }
    std::size_t queuedBytes = 0;
    for (const QueueEntry &entry : m_queue) {
        queuedBytes += entry.resultBytes;
    }
    const std::size_t meanResultBytes = std::max<std::size_t>(1, queuedBytes / std::max<std::size_t>(1, m_queue.size()));
    DomainLoads loads;
    for (const FailureDomain &domain : targets.domainsInOrder(m_service, now)) {
        loads[domain].hasTargets = true;
    }
    targets.forEachUsableTarget(m_service, now, [&](const TargetRecord &target) {
        DomainLoad &load = loads[target.failureDomain];
        load.region = targets.regionOf(target.failureDomain);
        const auto backoff = m_backoffUntil.find(target.id);
        const Duration backoffTime = backoff == m_backoffUntil.end() ? Duration::zero() : backoff->second - now;
        std::vector<Duration> freeIn = busyUntil[target.id];
        freeIn.resize(std::max<std::size_t>(freeIn.size(), static_cast<std::size_t>(std::max(1, m_capacity.slots))));
        const std::size_t places = std::min(maxBatchSize(), m_resultMemory.freeBytes(target.id) / meanResultBytes);
        for (const Duration slotFreeIn : freeIn) {
            load.slots.push_back({ std::max(slotFreeIn, backoffTime), places });
        }
    });
    return loads;
}

void StageScheduler::selectPiecesToMove(const TargetRegistry &targets, MonotonicTime now)
{
    sortQueue(now);
    m_flows.clear();
    m_waitingByDomain.clear();
    std::vector<SpilloverCandidate> pieces;
    pieces.reserve(m_queue.size());
    for (const QueueEntry &entry : m_queue) {
        QueuedPiece &piece = *entry.piece;
        piece.move.reset();
        pieces.push_back({ piece.preferredDomain, piece.transferBytes, piece.softDeadline - now, piece.allowedRegions });
        if (piece.preferredDomain) {
            ++m_waitingByDomain[*piece.preferredDomain];
        }
    }
    if (m_waitingByDomain.empty()) {
        return;
    }
    const CallTimes times { maxBatchSize(), m_capacity.perCall, m_capacity.perPiece };
    for (const SpilloverMove &move :
         selectSpillover(domainLoads(targets, now), pieces, times, m_capacity.linkBytesPerSecond, *m_options.spillover)) {
        m_queue[move.index].piece->move = move;
    }
}

// Pieces of other domains only fill places that the domain's own work leaves, and don't make own work late by prolonging its call.
StageScheduler::Batch StageScheduler::takeOwnAndMovedPieces(const TargetRecord &target, MonotonicTime now)
{
    const FailureDomain &domain = target.failureDomain;
    std::size_t availableBytes = m_resultMemory.freeBytes(target.id);
    Batch batch;
    moveToBatch(
        batch, availableBytes, [&](const QueuedPiece &piece) { return !piece.preferredDomain || *piece.preferredDomain == domain; });
    const MonotonicTime latestEnd = latestEndFor(batch, now);
    moveToBatch(batch, availableBytes, [&](const QueuedPiece &piece) {
        return piece.move && piece.move->destination == domain && now + callDuration(batch.size() + 1) <= latestEnd;
    });
    return batch;
}

// Returns the earliest soft deadline of the pieces that meet theirs in a call without further pieces.
MonotonicTime StageScheduler::latestEndFor(const Batch &batch, MonotonicTime now) const
{
    const MonotonicTime end = now + callDuration(batch.size());
    MonotonicTime latest = MonotonicTime::max();
    for (const PiecePointer &piece : batch) {
        if (piece->softDeadline >= end) {
            latest = std::min(latest, piece->softDeadline);
        }
    }
    return latest;
}

void StageScheduler::recordFlows(const TargetRecord &target, const Batch &batch)
{
    for (const PiecePointer &sent : batch) {
        const QueuedPiece &piece = *sent;
        if (!piece.preferredDomain) {
            continue;
        }
        const FailureDomain &from = *piece.preferredDomain;
        SpilloverFlow &flow = m_flows[{ from, target.failureDomain }];
        const bool isFirst = ++flow.pieces == 1;
        if (isFirst) {
            flow.from = from;
            flow.to = target.failureDomain;
            flow.waiting = m_waitingByDomain[from];
            flow.first = piece.item.piece.request;
        }
        if (from == target.failureDomain || !piece.move) {
            continue;
        }
        flow.bytes += piece.transferBytes;
        flow.saved += piece.move->finishAtHome ? *piece.move->finishAtHome - piece.move->finishThere : Duration::zero();
        if (isFirst) {
            flow.finishAtHome = piece.move->finishAtHome;
            flow.finishThere = piece.move->finishThere;
        }
    }
}

// Returns the targets that have a free slot and have not just reported being full, in order of increasing latency.
std::vector<StageScheduler::AvailableTarget> StageScheduler::availableTargets(const TargetRegistry &targets, MonotonicTime now) const
{
    std::vector<AvailableTarget> available;
    if (m_queue.empty()) {
        return available;
    }
    targets.forEachUsableTarget(m_service, now, [&](const TargetRecord &target) {
        const auto calls = m_callsByTarget.find(target.id);
        if (calls != m_callsByTarget.end() && calls->second >= std::max(1, m_capacity.slots)) {
            return;
        }
        const auto backoff = m_backoffUntil.find(target.id);
        if (backoff == m_backoffUntil.end() || backoff->second <= now) {
            available.push_back({ &target, targets.pace(target.id, now), targets.latency(target.id) });
        }
    });
    std::stable_sort(available.begin(), available.end(), [](const AvailableTarget &left, const AvailableTarget &right) {
        return std::tie(left.pace, left.latency) < std::tie(right.pace, right.latency);
    });
    return available;
}

StageScheduler::RunningCall StageScheduler::takeRunningCall(std::map<CallId, RunningCall>::iterator found)
{
    RunningCall running = std::move(found->second);
    m_runningCalls.erase(found);
    const auto calls = m_callsByTarget.find(running.target);
    if (--calls->second == 0) {
        m_callsByTarget.erase(calls);
    }
    return running;
}

void StageScheduler::enqueue(PiecePointer piece)
{
    updateEarliestDeadlines(m_queue.emplace_back(std::move(piece)));
    m_sortedForEnd.reset();
}

void StageScheduler::retryOrFail(PiecePointer piece, PieceFailure failure, std::vector<OrderProgress> &completions, MonotonicTime now)
{
    // The order may have been submitted again in the meantime, so nothing is reported about its earlier pieces.
    if (piece->isWithdrawn) {
        return;
    }
    ++piece->attempts;
    piece->isStarted = true;
    m_fetchedInputs.recordReturned(piece->order);
    if (piece->attempts >= MAX_ATTEMPTS || now + callDuration(1) > piece->item.hardDeadline) {
        completions.push_back({ piece->order, { piece->item.piece.number, failure } });
        return;
    }
    enqueue(std::move(piece));
}

} // namespace CassiaRelay::Gateway
