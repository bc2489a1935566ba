#define BOOST_TEST_MODULE pipeline
#include <boost/test/unit_test.hpp>
#include <pipeline/pipeline.h>

using namespace CassiaRelay;
using namespace CassiaRelay::Pipeline;

namespace {

const MonotonicTime START = MonotonicTime() + std::chrono::hours(1);

CallerRequest requestWith(Schema::StageKind kind, bool repeatable)
{
    CallerRequest request;
    request.id = RequestId("r");
    request.deadline = START + std::chrono::seconds(9);
    request.body = { { "prompt", "hello" } };
    Settings::StageSettings stage;
    stage.name = StageName("only");
    stage.pool = PoolName("pool");
    stage.kind = kind;
    stage.repeatable = repeatable;
    request.pipeline.stages = { stage };
    return request;
}

template<typename ActionType>
const ActionType *find(const Actions &actions)
{
    for (const Action &action : actions) {
        if (const auto *found = std::get_if<ActionType>(&action)) {
            return found;
        }
    }
    return nullptr;
}

/** Starts the machine, gives it the grant if it requests one, and returns the id of its first attempt. */
AttemptId startAttempt(RequestMachine &machine)
{
    Actions started = machine.start(START);
    if (find<AcquireGrant>(started) != nullptr) {
        started = machine.onGrant(Fleet::GrantHeld { START + std::chrono::seconds(5) }, START);
    }
    const Actions assigned = machine.onAssigned(find<SubmitWork>(started)->item.id, TargetId("t1"), START);
    return find<SendAttempt>(assigned)->attempt;
}

/** Inserts a repeatable stage "before" in front of the stage "only". */
CallerRequest withEarlierStage(CallerRequest request)
{
    Settings::StageSettings stage;
    stage.name = StageName("before");
    stage.pool = PoolName("pool");
    stage.kind = request.pipeline.stages.front().kind;
    request.pipeline.stages.insert(request.pipeline.stages.begin(), stage);
    return request;
}

} // namespace

BOOST_AUTO_TEST_CASE(answersOnceAndIgnoresLateEvents)
{
    RequestMachine machine(requestWith(Schema::StageKind::Call, true), WorkId(1));
    const AttemptId attempt = startAttempt(machine);
    const Actions actions = machine.onSucceeded(attempt, "done", START);
    BOOST_REQUIRE(find<Answer>(actions) != nullptr);
    BOOST_TEST(find<Answer>(actions)->results["only"] == "done");
    BOOST_TEST(machine.onSucceeded(attempt, "again", START).empty());
    BOOST_TEST(machine.onTimer(START + std::chrono::seconds(10)).empty());
}

BOOST_AUTO_TEST_CASE(ignoresAnswersOfOtherAttempts)
{
    RequestMachine machine(requestWith(Schema::StageKind::Call, true), WorkId(1));
    startAttempt(machine);
    BOOST_TEST(machine.onSucceeded(AttemptId("other"), "wrong", START).empty());
}

BOOST_AUTO_TEST_CASE(nonRepeatableStageIsNotRepeatedOnceItMayHaveRun)
{
    RequestMachine machine(requestWith(Schema::StageKind::Call, false), WorkId(1));
    const AttemptId attempt = startAttempt(machine);
    const Actions actions = machine.onFailed(attempt, { Routing::AttemptOutcome::ConnectionLost, "lost" }, START);
    BOOST_REQUIRE(find<Refuse>(actions) != nullptr);
    BOOST_CHECK(find<Refuse>(actions)->refusal.outcome == Outcome::Unknown);
    BOOST_TEST(find<SubmitWork>(actions) == nullptr);
}

BOOST_AUTO_TEST_CASE(resumesAStreamWithoutRepeatingText)
{
    RequestMachine machine(requestWith(Schema::StageKind::Generate, true), WorkId(1));
    const AttemptId first = startAttempt(machine);
    BOOST_TEST(find<DeliverText>(machine.onText(first, 0, "ab", START))->text == "ab");
    const Actions failed = machine.onFailed(first, { Routing::AttemptOutcome::ConnectionLost, "lost" }, START);
    const Actions assigned = machine.onAssigned(find<SubmitWork>(failed)->item.id, TargetId("t2"), START);
    const AttemptId second = find<SendAttempt>(assigned)->attempt;
    BOOST_TEST(find<DeliverText>(machine.onText(second, 1, "bcd", START))->text == "cd");
    BOOST_TEST(machine.onText(first, 4, "late", START).empty());
    const Actions actions = machine.onSucceeded(second, nullptr, START);
    BOOST_TEST(find<Answer>(actions)->text == "abcd");
}

BOOST_AUTO_TEST_CASE(nonRepeatableStageWaitsForItsGrant)
{
    RequestMachine machine(requestWith(Schema::StageKind::Call, false), WorkId(1));
    const Actions started = machine.start(START);
    BOOST_REQUIRE(find<AcquireGrant>(started) != nullptr);
    BOOST_TEST(find<SubmitWork>(started) == nullptr);
    const Actions held = machine.onGrant(Fleet::GrantHeld { START + std::chrono::seconds(2) }, START);
    const Actions assigned = machine.onAssigned(find<SubmitWork>(held)->item.id, TargetId("t1"), START);
    BOOST_CHECK(find<SendAttempt>(assigned)->sendBefore == START + std::chrono::seconds(2));
}

BOOST_AUTO_TEST_CASE(unusedGrantProvesThatNothingRan)
{
    RequestMachine machine(requestWith(Schema::StageKind::Call, false), WorkId(1));
    const AttemptId attempt = startAttempt(machine);
    const Actions failed = machine.onFailed(attempt, { Routing::AttemptOutcome::Refused, "busy" }, START);
    const Actions rejected =
        machine.onRejected(find<SubmitWork>(failed)->item.id, { ErrorKind::Overloaded, Outcome::NotRun, "", {} }, START);
    BOOST_REQUIRE(find<FinishGrant>(rejected) != nullptr);
    BOOST_CHECK(find<FinishGrant>(rejected)->end == Fleet::GrantEnd::NotRun);
    BOOST_CHECK(find<Refuse>(rejected)->refusal.outcome == Outcome::NotRun);
}

BOOST_AUTO_TEST_CASE(lostNonRepeatableAttemptEndsTheGrantAsUnknown)
{
    RequestMachine machine(requestWith(Schema::StageKind::Call, false), WorkId(1));
    const Actions actions = machine.onFailed(startAttempt(machine), { Routing::AttemptOutcome::ConnectionLost, "lost" }, START);
    BOOST_CHECK(find<FinishGrant>(actions)->end == Fleet::GrantEnd::Unknown);
}

BOOST_AUTO_TEST_CASE(replayedResultIsNotRunAgain)
{
    RequestMachine machine(requestWith(Schema::StageKind::Call, false), WorkId(1));
    machine.start(START);
    const Actions actions = machine.onGrant(Fleet::GrantReplayed { "\"stored\"" }, START);
    BOOST_TEST(find<SubmitWork>(actions) == nullptr);
    BOOST_TEST(find<FinishGrant>(actions) == nullptr);
    BOOST_TEST(find<Answer>(actions)->results["only"] == "stored");
}

BOOST_AUTO_TEST_CASE(failureAfterANonRepeatableSuccessHasUnknownOutcome)
{
    CallerRequest request = requestWith(Schema::StageKind::Call, false);
    Settings::StageSettings last = request.pipeline.stages.front();
    last.name = StageName("last");
    last.repeatable = true;
    request.pipeline.stages.push_back(last);
    RequestMachine machine(request, WorkId(1));
    const Actions done = machine.onSucceeded(startAttempt(machine), "booked", START);
    BOOST_CHECK(find<FinishGrant>(done)->end == Fleet::GrantEnd::Succeeded);
    BOOST_TEST(find<FinishGrant>(done)->result == "\"booked\"");
    const Actions rejected = machine.onRejected(find<SubmitWork>(done)->item.id, { ErrorKind::Overloaded, Outcome::NotRun, "", {} }, START);
    BOOST_REQUIRE(find<Refuse>(rejected) != nullptr);
    BOOST_CHECK(find<Refuse>(rejected)->refusal.outcome == Outcome::Unknown);
    BOOST_TEST(find<Refuse>(rejected)->refusal.detail.find("only succeeded") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(refusalBeforeTheGrantIsNotRunOnlyWhenTheGrantProvesIt)
{
    const Refusal overloaded { ErrorKind::Overloaded, Outcome::NotRun, "", {} };
    for (const bool held : { true, false }) {
        RequestMachine machine(withEarlierStage(requestWith(Schema::StageKind::Call, false)), WorkId(1));
        const Actions started = machine.start(START);
        const Actions rejected = machine.onRejected(find<SubmitWork>(started)->item.id, overloaded, START);
        BOOST_TEST(find<Refuse>(rejected) == nullptr);
        BOOST_TEST(find<AcquireGrant>(rejected)->key.stage == StageName("only"));
        const Actions ended = held ? machine.onGrant(Fleet::GrantHeld { START + std::chrono::seconds(1) }, START)
                                   : machine.onGrant(Fleet::GrantReplayed { "1" }, START);
        BOOST_TEST((find<FinishGrant>(ended) != nullptr) == held);
        BOOST_REQUIRE(find<Refuse>(ended) != nullptr);
        BOOST_CHECK(find<Refuse>(ended)->refusal.outcome == (held ? Outcome::NotRun : Outcome::Unknown));
    }
}

BOOST_AUTO_TEST_CASE(grantReceivedAfterTheEndIsReleased)
{
    RequestMachine machine(requestWith(Schema::StageKind::Call, false), WorkId(1));
    machine.start(START);
    const Actions gone = machine.onCallerGone(START);
    BOOST_CHECK(find<Refuse>(gone)->refusal.outcome == Outcome::Unknown);
    const Actions late = machine.onGrant(Fleet::GrantHeld { START + std::chrono::seconds(1) }, START);
    BOOST_REQUIRE(find<FinishGrant>(late) != nullptr);
    BOOST_CHECK(find<FinishGrant>(late)->end == Fleet::GrantEnd::NotRun);
    BOOST_TEST(find<SubmitWork>(late) == nullptr);
}

BOOST_AUTO_TEST_CASE(onlyTheLastGenerateStageReachesTheCaller)
{
    RequestMachine machine(withEarlierStage(requestWith(Schema::StageKind::Generate, true)), WorkId(1));
    const AttemptId first = startAttempt(machine);
    BOOST_TEST(machine.onText(first, 0, "draft", START).empty());
    const Actions next = machine.onSucceeded(first, nullptr, START);
    const Actions assigned = machine.onAssigned(find<SubmitWork>(next)->item.id, TargetId("t2"), START);
    const AttemptId second = find<SendAttempt>(assigned)->attempt;
    BOOST_TEST(find<DeliverText>(machine.onText(second, 0, "final", START))->text == "final");
    const Actions actions = machine.onSucceeded(second, nullptr, START);
    BOOST_TEST(find<Answer>(actions)->text == "final");
    BOOST_TEST(find<Answer>(actions)->results["before"] == "draft");
}
