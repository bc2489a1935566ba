#include "samples.h"

#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace CassiaRelay::Gateway;
using namespace CassiaRelay::Gateway::Samples;

namespace {

const ServiceName SERVICE("stage");

PieceOrder order(const std::string &request, int pieces, int rank = 0, Duration useful = seconds(2), std::size_t bytes = 1000)
{
    PieceOrder work;
    work.request = RequestId(request);
    work.service = SERVICE;
    work.rank = rank;
    work.usefulUntil = START + useful;
    work.giveUpAt = START + seconds(10);
    work.resultBytes = bytes;
    for (int piece = 0; piece < pieces; ++piece) {
        work.pieces.push_back(piece);
    }
    return work;
}

std::vector<PieceOutcome> allMade(const StageCall &call)
{
    std::vector<PieceOutcome> outcomes;
    for (const CallItem &item : call.items) {
        outcomes.emplace_back(StageResult { item.piece.request.value() + "/" + std::to_string(item.piece.number), call.target.id });
    }
    return outcomes;
}

struct Fixture {
    explicit Fixture(int targetCount = 2)
    {
        for (int number = 0; number < targetCount; ++number) {
            targets.put(target("stage-" + std::to_string(number), "stage", number % 2 == 0 ? "a" : "b"), START);
        }
    }

    bool submit(OrderId id, const PieceOrder &work, MonotonicTime now = START)
    {
        return pool.submit(id, work, targets, now);
    }

    TargetBook targets { {}, {}, 1 };
    StagePool pool { SERVICE, *stageService("stage").pieces };
};

} // namespace

BOOST_AUTO_TEST_SUITE(stagepool)

BOOST_AUTO_TEST_CASE(eachTargetHasOneCallAndTheRestGoesIntoTheNext)
{
    Fixture f;
    for (int number = 0; number < 6; ++number) {
        f.submit(OrderId(static_cast<std::uint64_t>(number)), order("r" + std::to_string(number), 4));
    }
    const std::vector<StageCall> calls = f.pool.dispatch(f.targets, START);
    BOOST_REQUIRE_EQUAL(calls.size(), 2U);
    BOOST_TEST(calls[0].items.size() == 10U);
    BOOST_TEST(calls[1].items.size() == 10U);
    BOOST_TEST(f.pool.dispatch(f.targets, START).empty());
    BOOST_TEST(f.pool.onAnswered(calls[0].id, allMade(calls[0]), f.targets, START + milliseconds(340)).size() == 10U);
    const std::vector<StageCall> next = f.pool.dispatch(f.targets, START + milliseconds(340));
    BOOST_REQUIRE_EQUAL(next.size(), 1U);
    BOOST_TEST(next[0].items.size() == 4U);
}

BOOST_AUTO_TEST_CASE(punctualWorkThenRankThenDeadline)
{
    Fixture f(1);
    f.submit(OrderId(1), order("late", 6, 0, milliseconds(100)));
    f.submit(OrderId(2), order("low", 6, 2));
    f.submit(OrderId(3), order("high", 6, 0));
    const std::vector<StageCall> calls = f.pool.dispatch(f.targets, START);
    BOOST_REQUIRE_EQUAL(calls.size(), 1U);
    BOOST_TEST(calls[0].items.front().piece.request.value() == "high");
    BOOST_TEST(calls[0].items.back().piece.request.value() == "low");
}

// rk-relay scale-1: 48550 pieces were sent to targets that had no room for their results, each call taking its full time.
BOOST_AUTO_TEST_CASE(piecesWithoutRoomForTheirResultsAreNotSent)
{
    Fixture f(1);
    constexpr std::size_t LARGE = 4'000'000; // two fit into the 10 MB of a target
    f.submit(OrderId(1), order("r", 5, 0, seconds(2), LARGE));
    const std::vector<StageCall> calls = f.pool.dispatch(f.targets, START);
    BOOST_REQUIRE_EQUAL(calls.size(), 1U);
    BOOST_TEST(calls[0].items.size() == 2U);
    const std::vector<PieceOutcome> made = allMade(calls[0]);
    f.pool.onAnswered(calls[0].id, made, f.targets, START);
    BOOST_TEST(f.pool.dispatch(f.targets, START).empty());
    f.pool.release(std::get<StageResult>(made[0]));
    BOOST_REQUIRE_EQUAL(f.pool.dispatch(f.targets, START).size(), 1U);
}

BOOST_AUTO_TEST_CASE(roomOfResultsThatNobodyFreesComesBack)
{
    Fixture f(1);
    f.submit(OrderId(1), order("r", 1, 0, seconds(9), 10'000'000));
    const std::vector<StageCall> calls = f.pool.dispatch(f.targets, START);
    f.pool.onAnswered(calls[0].id, allMade(calls[0]), f.targets, START);
    f.submit(OrderId(2), order("s", 1, 0, seconds(9), 10'000'000));
    BOOST_TEST(f.pool.dispatch(f.targets, START + seconds(1)).empty());
    f.pool.expire(f.targets, START + seconds(4));
    BOOST_TEST(f.pool.dispatch(f.targets, START + seconds(4)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(lostCallIsMadeAgainElsewhereAndNeverWithoutEnd)
{
    Fixture f;
    f.submit(OrderId(1), order("r", 1));
    std::size_t ends = 0;
    int calls = 0;
    MonotonicTime now = START;
    while (ends == 0 && calls < 10) {
        for (const StageCall &call : f.pool.dispatch(f.targets, now)) {
            ++calls;
            ends += f.pool.onFailed(call.id, AttemptResult::Broken, f.targets, now).size();
        }
        now += seconds(1);
    }
    BOOST_TEST(ends == 1U);
    BOOST_TEST(calls == 3);
}

BOOST_AUTO_TEST_CASE(hopelessPiecesEndAtOnce)
{
    Fixture f(0);
    f.submit(OrderId(1), order("r", 2));
    BOOST_TEST(f.pool.expire(f.targets, START).empty());
    const std::vector<OrderProgress> ends = f.pool.expire(f.targets, START + seconds(10));
    BOOST_REQUIRE_EQUAL(ends.size(), 2U);
    BOOST_TEST((std::get<PieceFailure>(ends[0].end.outcome) == PieceFailure::Late));
}

// A burst of twice what the targets bear: what can't be punctual is turned away, and what is taken is nearly all punctual.
BOOST_AUTO_TEST_CASE(burstIsTurnedAwayAndTheRestIsPunctual)
{
    constexpr int BURST_MS = 5000;
    constexpr int STEP_MS = 10;
    constexpr double PER_STEP = 2 * 2 * 10 / 34.0; // two targets make ten pieces in 340 ms each
    Fixture f;
    std::map<CallId, StageCall> running;
    std::map<CallId, MonotonicTime> endsAt;
    double due = 0;
    int asked = 0;
    int refused = 0;
    int punctual = 0;
    int late = 0;
    for (int at = 0; at < BURST_MS + 5000; at += STEP_MS) {
        const MonotonicTime now = START + milliseconds(at);
        for (auto end = endsAt.begin(); end != endsAt.end();) {
            if (end->second > now) {
                ++end;
                continue;
            }
            const StageCall call = running.at(end->first);
            for (const OrderProgress &progress : f.pool.onAnswered(call.id, allMade(call), f.targets, now)) {
                f.pool.release(std::get<StageResult>(progress.end.outcome));
                const MonotonicTime useful = START + milliseconds(STEP_MS) * static_cast<int>(progress.order.value()) + seconds(2);
                (now <= useful ? punctual : late) += 1;
            }
            running.erase(call.id);
            end = endsAt.erase(end);
        }
        for (due += at < BURST_MS ? PER_STEP : 0; due >= 1; due -= 1) {
            PieceOrder work = order(std::to_string(++asked), 1);
            work.usefulUntil = now + seconds(2);
            work.giveUpAt = now + seconds(12);
            refused += f.submit(OrderId(static_cast<std::uint64_t>(at / STEP_MS)), work, now) ? 0 : 1;
        }
        refused += static_cast<int>(f.pool.expire(f.targets, now).size());
        for (const StageCall &call : f.pool.dispatch(f.targets, now)) {
            running.emplace(call.id, call);
            endsAt.emplace(call.id, now + milliseconds(240) + milliseconds(10) * static_cast<int>(call.items.size()));
        }
    }
    BOOST_TEST(refused > 0);
    BOOST_TEST(punctual + late + refused == asked);
    BOOST_TEST(late * 20 < punctual);
    // Half of the burst fits while it lasts, and what waits at its end comes on top.
    BOOST_TEST(punctual * 100 >= asked * 45);
}

BOOST_AUTO_TEST_CASE(largeResultsWaitShortlyForTheirDomain)
{
    Fixture f;
    PieceOrder work = order("r", 1);
    work.preferredDomain = FailureDomain("b");
    f.submit(OrderId(1), work);
    const std::vector<StageCall> calls = f.pool.dispatch(f.targets, START);
    BOOST_REQUIRE_EQUAL(calls.size(), 1U);
    BOOST_TEST(calls[0].target.failureDomain.value() == "b");
    f.submit(OrderId(2), work);
    BOOST_TEST(f.pool.dispatch(f.targets, START).empty());
    BOOST_TEST(f.pool.dispatch(f.targets, START + milliseconds(1500)).size() == 1U);
}

// The load at which every call is full: results of 60 KB that each of the next pieces fetches.
BOOST_AUTO_TEST_CASE(targetsOfACrowdTakeFirstWhatBelongsToTheirDomain)
{
    Fixture f;
    for (int number = 0; number < 12; ++number) {
        PieceOrder work = order("r" + std::to_string(number), 4);
        work.preferredDomain = FailureDomain(number % 3 == 0 ? "b" : "a");
        f.submit(OrderId(static_cast<std::uint64_t>(number)), work);
    }
    PieceOrder urgent = order("urgent", 1, 0, milliseconds(500));
    urgent.preferredDomain = FailureDomain("b");
    urgent.inputs = { "earlier/result" }; // not of a first stage, which would be turned away
    f.submit(OrderId(20), urgent);
    const std::vector<StageCall> calls = f.pool.dispatch(f.targets, START);
    BOOST_REQUIRE_EQUAL(calls.size(), 2U);
    for (const StageCall &call : calls) {
        BOOST_TEST(call.items.size() == 10U);
        for (const CallItem &item : call.items) {
            const std::string request = item.piece.request.value();
            const bool belongsToB = request != "urgent" && std::stoi(request.substr(1)) % 3 == 0;
            BOOST_TEST((request == "urgent" || belongsToB == (call.target.failureDomain.value() == "b")));
        }
    }
    BOOST_TEST(calls.front().items.front().piece.request.value() == "urgent");
}

BOOST_AUTO_TEST_SUITE_END()
