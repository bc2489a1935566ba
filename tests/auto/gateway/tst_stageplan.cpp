#include "samples.h"

#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace CassiaRelay::Gateway;

namespace {

RouteStage stage(std::vector<std::size_t> after)
{
    return { ServiceName("stage"), std::move(after), 1000 };
}

StageResult result(const std::string &handle)
{
    return { handle, TargetId("maker") };
}

void complete(StagePlan &plan, std::size_t stage)
{
    for (const int piece : plan.pieces(stage)) {
        plan.setResult(stage, piece, result(std::to_string(stage) + "/" + std::to_string(piece)));
    }
}

using Stages = std::vector<std::size_t>;

} // namespace

BOOST_AUTO_TEST_SUITE(stageplan)

BOOST_AUTO_TEST_CASE(stagesStartWhenTheirInputsExist)
{
    StagePlan plan({ stage({}), stage({ 0 }), stage({ 1 }) }, { 2, 1, 1 });
    BOOST_TEST(plan.takeReady() == Stages { 0 }, boost::test_tools::per_element());
    BOOST_TEST(plan.takeReady().empty());
    plan.setResult(0, 0, result("0/0"));
    BOOST_TEST(plan.takeReady().empty());
    plan.setResult(0, 1, result("0/1"));
    BOOST_TEST(plan.takeReady() == Stages { 1 }, boost::test_tools::per_element());
    BOOST_TEST(plan.inputHandles(1).size() == 2U);
    complete(plan, 1);
    BOOST_TEST(plan.takeUnneededResults().size() == 2U);
    BOOST_TEST(plan.takeUnneededResults().empty());
}

BOOST_AUTO_TEST_CASE(omittedStagesAreSkipped)
{
    StagePlan plan({ stage({}), stage({ 0 }) }, { 0, 1 });
    BOOST_TEST(plan.takeReady() == Stages { 1 }, boost::test_tools::per_element());
    BOOST_TEST(plan.inputHandles(1).empty());
    complete(plan, 1);
    BOOST_TEST(plan.isComplete());
    BOOST_TEST(plan.finalResults().size() == 1U);
}

// If both branches started at once, large results of the short one would occupy memory while three other stages run.
BOOST_AUTO_TEST_CASE(shortBranchStartsWithTheLastStageOfTheLongOne)
{
    StagePlan plan({ stage({}), stage({}), stage({ 1 }), stage({ 2 }) }, { 1, 1, 1, 1 });
    BOOST_TEST(plan.takeReady() == Stages { 1 }, boost::test_tools::per_element());
    complete(plan, 1);
    BOOST_TEST(plan.takeReady() == Stages { 2 }, boost::test_tools::per_element());
    complete(plan, 2);
    BOOST_TEST((plan.takeReady() == Stages { 0, 3 }));
}

BOOST_AUTO_TEST_CASE(resetRestartsAllStages)
{
    StagePlan plan({ stage({}) }, { 2 });
    plan.takeReady();
    complete(plan, 0);
    BOOST_TEST(plan.takeAllResults().size() == 2U);
    BOOST_TEST(plan.takeAllResults().empty());
    plan.reset();
    BOOST_TEST(!plan.isComplete());
    BOOST_TEST(plan.takeReady() == Stages { 0 }, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
