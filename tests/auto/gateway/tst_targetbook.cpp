#include "samples.h"

#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace CassiaRelay::Gateway;
using namespace CassiaRelay::Gateway::Samples;

namespace {

TargetBook book(int targets, ColdLimits cold = {})
{
    TargetBook result(cold, {}, 1);
    for (int number = 0; number < targets; ++number) {
        result.put(target("t" + std::to_string(number), "engine", number % 2 == 0 ? "a" : "b"), START);
    }
    return result;
}

TargetNeed need()
{
    TargetNeed result;
    result.service = ServiceName("engine");
    return result;
}

TargetId chosen(TargetBook &targets, const TargetNeed &need, MonotonicTime now = START)
{
    const TargetChoice choice = targets.choose(need, now);
    return std::holds_alternative<ChosenTarget>(choice) ? std::get<ChosenTarget>(choice).record.id : TargetId("none");
}

} // namespace

BOOST_AUTO_TEST_SUITE(targetbook)

BOOST_AUTO_TEST_CASE(loadIsSpreadEvenlyFromTheFirstRequestOn)
{
    TargetBook targets = book(6);
    std::map<TargetId, int> counts;
    for (int request = 0; request < 60; ++request) {
        ++counts[chosen(targets, need())];
    }
    for (const auto &[id, count] : counts) {
        BOOST_TEST(count == 10);
    }
}

BOOST_AUTO_TEST_CASE(equalPromptsMeetUntilTheirTargetIsCrowded)
{
    TargetBook targets = book(6);
    TargetNeed cached = need();
    cached.cacheKey = 42;
    const TargetId first = chosen(targets, cached);
    BOOST_TEST(chosen(targets, cached) == first);
    std::map<TargetId, int> counts;
    for (int request = 0; request < 60; ++request) {
        ++counts[chosen(targets, cached)];
    }
    BOOST_TEST(counts.size() > 1U);
}

BOOST_AUTO_TEST_CASE(leavingAndEvacuatedTargetsGetNothing)
{
    TargetBook targets = book(2);
    targets.setDomainOut(FailureDomain("a"), true);
    BOOST_TEST(chosen(targets, need()).value() == "t1");
    TargetRecord leaving = target("t1", "engine", "b");
    leaving.isLeaving = true;
    targets.put(leaving, START);
    BOOST_TEST(chosen(targets, need()).value() == "none");
    BOOST_TEST(!targets.start(TargetId("t1"), 0, START));
    targets.setDomainOut(FailureDomain("a"), false);
    BOOST_TEST(chosen(targets, need()).value() == "t0");
}

BOOST_AUTO_TEST_CASE(unreachableTargetIsOnlyTheLastResort)
{
    TargetBook targets = book(2);
    targets.choose(need(), START);
    targets.finished(TargetId("t0"), AttemptResult::Unreachable, 0, START);
    for (int request = 0; request < 10; ++request) {
        BOOST_TEST(chosen(targets, need()).value() == "t1");
    }
    TargetNeed other = need();
    other.avoid = { TargetId("t1") };
    BOOST_TEST(chosen(targets, other).value() == "t0");
}

// All daemons together, each with its share, stay within what a cold target bears in any second.
BOOST_AUTO_TEST_CASE(coldTargetsGetNoMoreThanTheyBear)
{
    constexpr int VMS = 12;
    constexpr double RATE = 16;
    constexpr double FACTOR = 1.5;
    constexpr double SLACK = 5;
    Service service;
    service.name = ServiceName("engine");
    service.coldRate = RATE;
    TargetRecord cold = target("cold", "engine");
    cold.coldFor = seconds(10);
    std::vector<MonotonicTime> starts;
    for (int vm = 0; vm < VMS; ++vm) {
        TargetBook targets({ FACTOR, SLACK }, {}, static_cast<std::uint64_t>(vm));
        targets.setServices({ service });
        targets.setVms(VMS);
        targets.put(cold, START);
        for (int tick = 0; tick < 5000; tick += 10) {
            const MonotonicTime now = START + milliseconds(tick);
            if (chosen(targets, need(), now) != TargetId("none")) {
                starts.push_back(now);
            }
        }
    }
    std::sort(starts.begin(), starts.end());
    std::size_t most = 0;
    for (std::size_t first = 0; first < starts.size(); ++first) {
        std::size_t last = first;
        while (last < starts.size() && starts[last] < starts[first] + seconds(1)) {
            ++last;
        }
        most = std::max(most, last - first);
    }
    BOOST_TEST(most > 0U);
    BOOST_TEST(static_cast<double>(most) <= RATE * FACTOR + SLACK);
}

BOOST_AUTO_TEST_CASE(sharesBelowOneRequestASecondArePacedOut)
{
    Service service;
    service.name = ServiceName("engine");
    service.coldRate = 1;
    TargetBook targets({ 1, 0 }, {}, 1);
    targets.setServices({ service });
    targets.setVms(8);
    TargetRecord cold = target("cold", "engine");
    cold.coldFor = seconds(100);
    targets.put(cold, START);
    int starts = 0;
    for (int tick = 0; tick < 40; ++tick) {
        starts += chosen(targets, need(), START + seconds(tick)) != TargetId("none") ? 1 : 0;
    }
    BOOST_TEST(starts <= 5);
    BOOST_TEST(starts >= 3);
}

BOOST_AUTO_TEST_CASE(startUnderTheOldIdForgetsWhatWasRunning)
{
    TargetBook targets = book(2);
    for (int request = 0; request < 10; ++request) {
        targets.start(TargetId("t0"), 5000, START);
    }
    TargetRecord again = target("t0", "engine");
    again.startedAt = StartTime(milliseconds(2));
    targets.put(again, START);
    targets.start(TargetId("t1"), 0, START);
    BOOST_TEST(chosen(targets, need()).value() == "t0");
}

BOOST_AUTO_TEST_SUITE_END()
