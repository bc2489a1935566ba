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

template<typename Wanted>
const Wanted *find(const Actions &actions)
{
    for (const Action &action : actions) {
        if (const auto *found = std::get_if<Wanted>(&action)) {
            return found;
        }
    }
    return nullptr;
}

/** Starts the machine and returns the id of its first attempt. */
AttemptId startAttempt(RequestMachine &machine)
{
    const Actions started = machine.start(START);
    const Actions assigned = machine.onAssigned(find<SubmitWork>(started)->item.id, TargetId("t1"), START);
    return find<SendAttempt>(assigned)->attempt;
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

BOOST_AUTO_TEST_CASE(dropsAnswersOfOtherAttempts)
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

BOOST_AUTO_TEST_CASE(continuesAStreamWithoutDoublingText)
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
