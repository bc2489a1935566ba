#include <boost/test/unit_test.hpp>
#include <routing/routing.h>

using namespace CassiaRelay;
using namespace CassiaRelay::Routing;
using std::chrono::milliseconds;

namespace {

const MonotonicTime START = MonotonicTime() + std::chrono::hours(1);

std::vector<MemberDemand> members(std::size_t count, bool isReachable)
{
    std::vector<MemberDemand> result;
    for (std::size_t index = 0; index < count; ++index) {
        result.push_back({ VmId("vm" + std::to_string(index)), static_cast<double>(index * index), isReachable });
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(limits)

BOOST_AUTO_TEST_CASE(sharesAddUpToTheLimit)
{
    for (const bool isReachable : { true, false }) {
        for (const int limit : { 1, 2, 7, 8, 100 }) {
            for (const std::size_t count : { 1U, 3U, 7U }) {
                const auto all = members(count, isReachable);
                int sum = 0;
                for (const MemberDemand &member : all) {
                    sum += shareOfLimit(limit, TargetId("t"), member.vm, all);
                }
                BOOST_TEST(sum == limit);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(sharesNeverExceedTheLimitDuringAPartition)
{
    // Two sides of a network partition; members receive heartbeats only from their own side.
    int sum = 0;
    for (std::size_t self = 0; self < 6; ++self) {
        auto view = members(6, false);
        for (std::size_t other = 0; other < 6; ++other) {
            view[other].isReachable = (other < 3) == (self < 3);
            view[other].demand = view[other].isReachable ? 10 : 0;
        }
        sum += shareOfLimit(8, TargetId("t"), view[self].vm, view);
    }
    BOOST_TEST(sum == 8);
}

BOOST_AUTO_TEST_CASE(sharesFollowDemand)
{
    std::vector<MemberDemand> all { { VmId("busy"), 30, true }, { VmId("idle"), 0, true } };
    BOOST_TEST(shareOfLimit(8, TargetId("t"), VmId("busy"), all) == 8);
    all[1].isReachable = false;
    BOOST_TEST(shareOfLimit(8, TargetId("t"), VmId("busy"), all) == 4);
}

BOOST_AUTO_TEST_CASE(limitFallsOnFailureAndGrowsBack)
{
    ConcurrencyLimit limit;
    BOOST_TEST(limit.value(10) == 10);
    limit.onFinished(AttemptOutcome::TimedOut, 1, 10, START);
    BOOST_TEST(limit.value(10) == 7);
    limit.onFinished(AttemptOutcome::TimedOut, 1, 10, START + milliseconds(1));
    BOOST_TEST(limit.value(10) == 7);
    for (int answer = 0; answer < 40; ++answer) {
        limit.onFinished(AttemptOutcome::Succeeded, 1, 10, START + milliseconds(2));
    }
    BOOST_TEST(limit.value(10) == 10);
}

BOOST_AUTO_TEST_CASE(limitFallsWhileAnswersAreSlow)
{
    ConcurrencyLimit limit;
    for (int answer = 0; answer < 100; ++answer) {
        limit.onFinished(AttemptOutcome::Succeeded, 5, 10, START + milliseconds(200) * answer);
    }
    BOOST_TEST(limit.value(10) == 1);
}

BOOST_AUTO_TEST_CASE(organisationIsLimitedInRateAndConcurrency)
{
    Admission admission;
    WorkItem item;
    item.organisation = OrganisationId("a");
    item.isFirstStage = true;
    const Settings::OrganisationSettings limits { item.organisation, 1, 4, 6 };
    for (int request = 0; request < 4; ++request) {
        BOOST_TEST(!admission.admit(item, limits, START).has_value());
    }
    BOOST_CHECK(admission.admit(item, limits, START)->retryAfter == milliseconds(250));
    BOOST_TEST(!admission.admit(item, limits, START + milliseconds(250)).has_value());
    BOOST_TEST(!admission.admit(item, limits, START + milliseconds(500)).has_value());
    BOOST_TEST(admission.admit(item, limits, START + std::chrono::seconds(9)).has_value());
    admission.release(item.organisation);
    BOOST_TEST(!admission.admit(item, limits, START + std::chrono::seconds(9)).has_value());
    item.isFirstStage = false;
    BOOST_TEST(!admission.admit(item, limits, START + std::chrono::seconds(9)).has_value());
}

BOOST_AUTO_TEST_CASE(retriesAreLimitedToARatioOfFirstAttempts)
{
    RetryBudget budget;
    while (budget.tryConsume()) { }
    for (int attempt = 0; attempt < 25; ++attempt) {
        budget.onFirstAttempt(0.1);
    }
    BOOST_TEST(budget.tryConsume());
    BOOST_TEST(budget.tryConsume());
    BOOST_TEST(!budget.tryConsume());
}

BOOST_AUTO_TEST_CASE(noRetriesWhileThePoolRefusesMostWork)
{
    RetryBudget budget;
    for (int attempt = 0; attempt < 50; ++attempt) {
        budget.onFinished(AttemptOutcome::Refused);
    }
    BOOST_TEST(!budget.tryConsume());
}

BOOST_AUTO_TEST_CASE(medianFollowsTheLatestMeasurements)
{
    ServiceTimes times;
    const PoolName pool("models");
    BOOST_TEST(!times.median(pool, 0).has_value());
    for (int count = 0; count < 600; ++count) {
        times.record(pool, 0, milliseconds(1000), START);
    }
    for (int count = 0; count < 600; ++count) {
        times.record(pool, 0, milliseconds(10), START);
    }
    BOOST_TEST(std::chrono::duration_cast<milliseconds>(*times.median(pool, 0)).count() == 10);
    BOOST_TEST(!times.tryStartProbe(pool, 0, START + milliseconds(100)));
    BOOST_TEST(times.tryStartProbe(pool, 0, START + milliseconds(300)));
    BOOST_TEST(!times.tryStartProbe(pool, 0, START + milliseconds(301)));
}

BOOST_AUTO_TEST_CASE(oldMeasurementsAreDiscarded)
{
    ServiceTimes times;
    const PoolName pool("models");
    for (int count = 0; count < 20; ++count) {
        times.record(pool, 0, milliseconds(1000), START);
    }
    BOOST_TEST(times.tryStartProbe(pool, 0, START + std::chrono::seconds(5)));
    BOOST_TEST(times.median(pool, 0).has_value());
    BOOST_TEST(times.tryStartProbe(pool, 0, START + std::chrono::seconds(10)));
    BOOST_TEST(!times.median(pool, 0).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
