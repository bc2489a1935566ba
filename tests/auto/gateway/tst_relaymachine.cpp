#include "samples.h"

#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace CassiaRelay::Gateway;
using namespace CassiaRelay::Gateway::Samples;

namespace {

struct World {
    explicit World(int targetCount = 3)
    {
        for (int number = 0; number < targetCount; ++number) {
            targets.put(target("t" + std::to_string(number), "engine"), START);
        }
    }

    RelayMachine machine(const Route &requestRoute, std::vector<int> pieces = {})
    {
        Configuration configuration;
        configuration.version = 1;
        configuration.routes = { requestRoute };
        configuration.services = { stageService("stage") };
        RelayRequest request;
        request.table = std::make_shared<const RouteTable>(configuration);
        request.route = request.table->route("host.example", "/jobs/x");
        request.id = RequestId("request-1");
        request.service = ServiceName("engine");
        request.arrivedAt = START;
        request.deadline = START + seconds(15);
        request.timeoutAt = START + requestRoute.timeout;
        request.pieceCounts = std::move(pieces);
        request.inputKey = "input";
        request.fingerprint = Fingerprint(7);
        return { request, shared };
    }

    TargetRegistry targets { {}, {}, 1 };
    RetryBudget retries { { 0.2, 1000, seconds(10) } };
    CrashRegister crashes;
    StageLatencyEstimator stageTimes;
    RelayShared shared { targets, retries, crashes, stageTimes, 1 };
};

AnswerHead head(unsigned status, bool stamped = true, bool notRun = false)
{
    AnswerHead result;
    result.status = status;
    result.isStamped = stamped;
    result.isNotRun = notRun;
    return result;
}

template<typename Action>
const Action *find(const RelayActions &actions)
{
    for (const RelayAction &action : actions) {
        if (const auto *found = std::get_if<Action>(&action)) {
            return found;
        }
    }
    return nullptr;
}

AttemptNumber sent(const RelayActions &actions)
{
    const auto *send = find<SendRequest>(actions);
    BOOST_REQUIRE(send);
    return send->attempt;
}

RelayActions answer(RelayMachine &machine, AttemptNumber attempt, unsigned status, const std::string &body)
{
    machine.onHead(attempt, head(status), START);
    machine.onBody(attempt, body, START);
    return machine.onFinished(attempt, START);
}

} // namespace

BOOST_AUTO_TEST_SUITE(relaymachine)

BOOST_AUTO_TEST_CASE(wholeAnswerIsPassedOn)
{
    World world;
    RelayMachine machine = world.machine(route(RouteKind::Unsafe));
    const AttemptNumber attempt = sent(machine.start(START));
    const RelayActions last = answer(machine, attempt, 200, "body");
    BOOST_REQUIRE(find<PassAnswer>(last));
    BOOST_TEST(find<PassAnswer>(last)->body == "body");
    BOOST_TEST(machine.isFinished());
    BOOST_TEST(machine.onTimer(START + seconds(20)).empty());
}

// Whatever happens after the request was sent, a request that may run once is never sent again and never called not run.
BOOST_AUTO_TEST_CASE(unsafeRequestIsNeverRepeated)
{
    for (const SendFailure failure : { SendFailure::Lost, SendFailure::Silent, SendFailure::NotAnAnswer }) {
        World world;
        RelayMachine machine = world.machine(route(RouteKind::Unsafe, 3));
        const AttemptNumber attempt = sent(machine.start(START));
        const RelayActions last = machine.onFailed(attempt, failure, "lost", START);
        BOOST_TEST(!find<SendRequest>(last));
        BOOST_REQUIRE(find<RefuseRequest>(last));
        BOOST_TEST(find<RefuseRequest>(last)->status != 503U);
    }
}

BOOST_AUTO_TEST_CASE(requestThatWasNotSentGoesElsewhere)
{
    World world;
    RelayMachine machine = world.machine(route(RouteKind::Unsafe));
    const RelayActions first = machine.start(START);
    const RelayActions second = machine.onFailed(sent(first), SendFailure::NotSent, "refused", START);
    BOOST_TEST(sent(second) == 2);
    BOOST_TEST(find<SendRequest>(second)->target.id != find<SendRequest>(first)->target.id);
}

BOOST_AUTO_TEST_CASE(noTargetIsRefusedAtOnceAsNotRun)
{
    World world(0);
    RelayMachine machine = world.machine(route(RouteKind::Unsafe));
    const RelayActions last = machine.start(START);
    BOOST_REQUIRE(find<RefuseRequest>(last));
    BOOST_TEST(find<RefuseRequest>(last)->status == 503U);
    BOOST_TEST(find<RefuseRequest>(last)->retryAfter.has_value());
}

BOOST_AUTO_TEST_CASE(targetThatDidNotRunItLeavesItNotRun)
{
    World world;
    RelayMachine machine = world.machine(route(RouteKind::Unsafe));
    const AttemptNumber attempt = sent(machine.start(START));
    machine.onHead(attempt, head(503, false, true), START);
    const RelayActions last = machine.onFinished(attempt, START);
    BOOST_REQUIRE(find<RefuseRequest>(last));
    BOOST_TEST(find<RefuseRequest>(last)->status == 503U);
}

BOOST_AUTO_TEST_CASE(safeRequestTriesAnotherTargetAndFallsBackToTheFirstAnswer)
{
    World world;
    RelayMachine machine = world.machine(route(RouteKind::Safe, 2));
    const AttemptNumber first = sent(machine.start(START));
    const AttemptNumber second = sent(answer(machine, first, 500, "broken"));
    const RelayActions last = machine.onFailed(second, SendFailure::Lost, "lost", START);
    BOOST_REQUIRE(find<PassAnswer>(last));
    BOOST_TEST(find<PassAnswer>(last)->head.status == 500U);
}

BOOST_AUTO_TEST_CASE(successWithoutStampIsNotPassedOn)
{
    World world;
    RelayMachine machine = world.machine(route(RouteKind::Unsafe));
    const AttemptNumber attempt = sent(machine.start(START));
    const RelayActions last = machine.onHead(attempt, head(200, false), START);
    BOOST_TEST(find<CancelSend>(last));
    BOOST_REQUIRE(find<RefuseRequest>(last));
    BOOST_TEST(find<RefuseRequest>(last)->status == 502U);
}

BOOST_AUTO_TEST_CASE(streamIsPassedOnInWholeEvents)
{
    World world;
    RelayMachine machine = world.machine(route(RouteKind::Stream));
    const AttemptNumber attempt = sent(machine.start(START));
    machine.onHead(attempt, head(200), START);
    BOOST_TEST(!find<PassHead>(machine.onBody(attempt, "id: 1\nda", START)));
    const RelayActions actions = machine.onBody(attempt, "ta: a\n\nid: 2\n", START);
    BOOST_REQUIRE(find<PassHead>(actions));
    BOOST_TEST(find<PassEvents>(actions)->events == "id: 1\ndata: a\n\n");
    BOOST_TEST(find<EndStream>(machine.onFinished(attempt, START)) == nullptr);
    BOOST_TEST(machine.isFinished());
}

BOOST_AUTO_TEST_CASE(brokenStreamLooksBroken)
{
    World world;
    RelayMachine machine = world.machine(route(RouteKind::Stream, 3));
    const AttemptNumber attempt = sent(machine.start(START));
    machine.onHead(attempt, head(200), START);
    machine.onBody(attempt, "id: 1\ndata: a\n\n", START);
    const RelayActions last = machine.onFailed(attempt, SendFailure::Lost, "reset", START);
    BOOST_TEST(find<BreakStream>(last));
    BOOST_TEST(!find<SendRequest>(last));
}

BOOST_AUTO_TEST_CASE(resumableStreamGoesOnAfterTheLastWholeEvent)
{
    World world;
    Route resumable = route(RouteKind::Stream, 2);
    resumable.isResumable = true;
    RelayMachine machine = world.machine(resumable);
    const AttemptNumber first = sent(machine.start(START));
    machine.onHead(first, head(200), START);
    machine.onBody(first, "id: 1\ndata: a\n\nid: 2\nda", START);
    const RelayActions again = machine.onFailed(first, SendFailure::Lost, "reset", START);
    BOOST_TEST(find<SendRequest>(again)->resumeAfter.value_or("") == "1");
    const AttemptNumber second = sent(again);
    machine.onHead(second, head(200), START);
    const RelayActions more = machine.onBody(second, "id: 2\ndata: b\n\n", START);
    BOOST_TEST(!find<PassHead>(more));
    BOOST_TEST(find<PassEvents>(more)->events == "id: 2\ndata: b\n\n");
    BOOST_TEST(find<EndStream>(machine.onFinished(second, START)));
}

// The first answer must not follow events of a later one.
BOOST_AUTO_TEST_CASE(earlierAnswerIsNotPassedOnWithinAStream)
{
    World world;
    Route resumable = route(RouteKind::Stream, 3);
    resumable.isResumable = true;
    RelayMachine machine = world.machine(resumable);
    const AttemptNumber first = sent(machine.start(START));
    const AttemptNumber second = sent(answer(machine, first, 500, "broken"));
    machine.onHead(second, head(200), START);
    machine.onBody(second, "id: 1\ndata: a\n\n", START);
    const AttemptNumber third = sent(machine.onFailed(second, SendFailure::Lost, "reset", START));
    machine.onHead(third, head(503, false, true), START);
    const RelayActions last = machine.onFinished(third, START);
    BOOST_TEST(!find<PassAnswer>(last));
    BOOST_TEST(find<BreakStream>(last));
}

BOOST_AUTO_TEST_CASE(stagesRunFirstAndTheirResultsAreFreedAtTheFirstEvent)
{
    World world;
    Route staged = route(RouteKind::Stream);
    staged.stages = { { ServiceName("stage"), {}, 1000 } };
    RelayMachine machine = world.machine(staged, { 1 });
    const RelayActions first = machine.start(START);
    BOOST_REQUIRE(find<OrderPieces>(first));
    BOOST_TEST(find<OrderPieces>(first)->order.inputKey == "input");
    BOOST_TEST(!find<SendRequest>(first));
    const RelayActions then = machine.onPieces(0, { { 0, StageResult { "handle", TargetId("maker") } } }, START);
    BOOST_REQUIRE(find<SendRequest>(then));
    BOOST_TEST(find<SendRequest>(then)->inputs.size() == 1U);
    const AttemptNumber attempt = sent(then);
    machine.onHead(attempt, head(200), START);
    const RelayActions events = machine.onBody(attempt, "id: 1\ndata: a\n\n", START);
    BOOST_REQUIRE(find<FreeResults>(events));
    BOOST_TEST(find<FreeResults>(events)->results.front().handle == "handle");
}

BOOST_AUTO_TEST_CASE(lostInputsAreMadeOnceMore)
{
    World world;
    Route staged = route(RouteKind::Stream);
    staged.stages = { { ServiceName("stage"), {}, 1000 } };
    RelayMachine machine = world.machine(staged, { 1 });
    machine.start(START);
    const std::vector<PieceCompletion> made { { 0, StageResult { "handle", TargetId("maker") } } };
    const AttemptNumber first = sent(machine.onPieces(0, made, START));
    machine.onHead(first, head(409, false, true), START);
    BOOST_TEST(find<OrderPieces>(machine.onFinished(first, START)));
    const RelayActions again = machine.onPieces(0, made, START);
    const AttemptNumber second = sent(again);
    machine.onHead(second, head(409, false, true), START);
    BOOST_TEST(find<RefuseRequest>(machine.onFinished(second, START)));
}

BOOST_AUTO_TEST_CASE(timeoutIsAnsweredAtOnceAndTruthfully)
{
    World world;
    RelayMachine sentOne = world.machine(route(RouteKind::Unsafe));
    sentOne.start(START);
    BOOST_TEST(find<RefuseRequest>(sentOne.onTimer(START + seconds(10)))->status == 504U);

    Route staged = route(RouteKind::Stream);
    staged.stages = { { ServiceName("stage"), {}, 1000 } };
    RelayMachine waiting = world.machine(staged, { 1 });
    waiting.start(START);
    const RelayActions last = waiting.onTimer(START + seconds(10));
    BOOST_TEST(find<WithdrawPieces>(last));
    BOOST_TEST(find<RefuseRequest>(last)->status == 503U);
}

// rk-relay scale-1: requests ran their first stage and then waited for the second until their results had lapsed.
BOOST_AUTO_TEST_CASE(requestIsTurnedAwayBeforeItsFirstStageWhileALaterOneIsCrowded)
{
    World world;
    Route staged = route(RouteKind::Stream);
    staged.stages = { { ServiceName("stage"), {}, 1000 }, { ServiceName("crowded"), { 0 }, 1000 } };
    for (int sample = 0; sample < 20; ++sample) {
        world.stageTimes.addSample(ServiceName("crowded"), staged.rank, seconds(6), START);
    }
    RelayMachine refused = world.machine(staged, { 1, 1 });
    const RelayActions last = refused.start(START);
    BOOST_TEST(!find<OrderPieces>(last));
    BOOST_REQUIRE(find<RefuseRequest>(last));
    BOOST_TEST(find<RefuseRequest>(last)->status == 503U);
    BOOST_TEST(find<RefuseRequest>(last)->retryAfter.has_value());

    RelayMachine withoutTheStage = world.machine(staged, { 1, 0 });
    BOOST_TEST(find<OrderPieces>(withoutTheStage.start(START)));
    RelayMachine afterwards = world.machine(staged, { 1, 1 });
    BOOST_TEST(find<OrderPieces>(afterwards.start(START + seconds(5))));
}

// teranga-relay mix --seed 652566725002: a request that still waited for its stages was cut without an answer at the end of a shutdown.
BOOST_AUTO_TEST_CASE(shutdownAnswersWhatIsLeft)
{
    World world;
    Route staged = route(RouteKind::Stream);
    staged.stages = { { ServiceName("stage"), {}, 1000 } };
    RelayMachine waiting = world.machine(staged, { 1 });
    waiting.start(START);
    const RelayActions refused = waiting.onShutdown(START + seconds(7));
    BOOST_TEST(find<WithdrawPieces>(refused));
    BOOST_TEST(find<RefuseRequest>(refused)->status == 503U);

    RelayMachine running = world.machine(route(RouteKind::Unsafe));
    running.start(START);
    const RelayActions unknown = running.onShutdown(START);
    BOOST_TEST(find<CancelSend>(unknown));
    BOOST_TEST(find<RefuseRequest>(unknown)->status == 502U);
    BOOST_TEST(running.onShutdown(START).empty());
}

BOOST_AUTO_TEST_CASE(callerThatLeavesEndsTheAttempt)
{
    World world;
    RelayMachine machine = world.machine(route(RouteKind::Stream));
    machine.start(START);
    BOOST_TEST(find<CancelSend>(machine.onCallerGone(START)));
    BOOST_TEST(machine.isFinished());
}

BOOST_AUTO_TEST_SUITE_END()
