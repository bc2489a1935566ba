#define BOOST_TEST_MODULE fuzz_fleet
#include "fleetsimulation.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace rc {

template<>
struct Arbitrary<CassiaRelay::Fuzz::Step> {
    static Gen<CassiaRelay::Fuzz::Step> arbitrary()
    {
        using CassiaRelay::Fuzz::Action;
        using CassiaRelay::Fuzz::Step;
        const auto action = gen::weightedElement<Action>({
            { 30, Action::Deliver },   { 30, Action::DeliverMany }, { 6, Action::Drop },       { 6, Action::Duplicate },
            { 20, Action::Tick },      { 12, Action::Advance },     { 5, Action::Claim },      { 10, Action::Resend },
            { 12, Action::Run },       { 6, Action::Finish },       { 1, Action::Abandon },    { 4, Action::Restart },
            { 3, Action::ChangeList }, { 8, Action::ReadList },     { 2, Action::Pause },      { 3, Action::Resume },
            { 3, Action::Partition },  { 2, Action::Heal },         { 1, Action::ReplaceAll },
        });
        const auto number = gen::resize(100, gen::inRange<unsigned>(0, 1U << 20));
        return gen::build<Step>(gen::set(&Step::action, action), gen::set(&Step::first, number), gen::set(&Step::second, number));
    }
};

} // namespace rc

namespace CassiaRelay::Fuzz {

void showValue(const Step &step, std::ostream &stream)
{
    stream << '{' << static_cast<int>(step.action) << ',' << step.first << ',' << step.second << '}';
}

} // namespace CassiaRelay::Fuzz

using namespace CassiaRelay;
using namespace CassiaRelay::Fuzz;

namespace {

constexpr int STEPS = 250;

rc::Gen<std::vector<Step>> schedules()
{
    return rc::gen::resize(STEPS, rc::gen::container<std::vector<Step>>(rc::gen::arbitrary<Step>()));
}

/** Returns whether any random schedule violates an invariant. */
bool findsViolation(const Fleet::GrantRules &rules)
{
    return !rc::check("no schedule violates an invariant", [&rules] {
        const std::vector<Step> steps = *rc::gen::noShrink(schedules());
        FleetSimulation simulation(3 + steps.size() % 3, steps.size() % 2 == 0 ? RemovedVms::Stop : RemovedVms::KeepRunning, rules);
        for (const Step &step : steps) {
            simulation.perform(step);
            RC_ASSERT(simulation.violation() == "");
        }
    });
}

} // namespace

BOOST_AUTO_TEST_CASE(invariantsHold)
{
    std::size_t runs = 0;
    std::size_t replays = 0;
    BOOST_TEST(rc::check("invariants hold in every schedule", [&runs, &replays] {
        const std::vector<Step> steps = *schedules();
        const RemovedVms removed = steps.size() % 2 == 0 ? RemovedVms::Stop : RemovedVms::KeepRunning;
        FleetSimulation simulation(3 + steps.size() % 3, removed);
        for (const Step &step : steps) {
            simulation.perform(step);
            RC_ASSERT(simulation.violation() == "");
        }
        RC_ASSERT(removed == RemovedVms::KeepRunning || simulation.recovers());
        RC_ASSERT(simulation.violation() == "");
        runs += simulation.runs();
        replays += simulation.replays();
    }));
    BOOST_TEST_MESSAGE("stages run: " << runs << ", answers replayed: " << replays);
    BOOST_TEST(runs > 0U);
    BOOST_TEST(replays > 0U);
}

BOOST_AUTO_TEST_CASE(findsNoViolationWithAllRules)
{
    BOOST_TEST(!findsViolation({}));
}

BOOST_AUTO_TEST_CASE(findsGrantsOfMembersThatAreNotCaughtUp)
{
    Fleet::GrantRules rules;
    rules.caughtUpOnly = false;
    BOOST_TEST(findsViolation(rules));
}

BOOST_AUTO_TEST_CASE(findsMajorityOfReachableMembers)
{
    Fleet::GrantRules rules;
    rules.majorityOfMembers = false;
    BOOST_TEST(findsViolation(rules));
}

BOOST_AUTO_TEST_CASE(findsReleaseAfterTheFirstByte)
{
    Fleet::GrantRules rules;
    rules.keepUnknown = false;
    BOOST_TEST(findsViolation(rules));
}
