#include "samples.h"

#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace CassiaRelay::Gateway;
using namespace CassiaRelay::Gateway::Samples;

namespace {

TargetRegistry makeRegistry(int targets, ColdLimits cold = {})
{
    TargetRegistry result(cold, {}, 1);
    for (int number = 0; number < targets; ++number) {
        result.put(target("t" + std::to_string(number), "engine", number % 2 == 0 ? "a" : "b"), START);
    }
    return result;
}

TargetRequirements requirements()
{
    TargetRequirements result;
    result.service = ServiceName("engine");
    return result;
}

TargetId chosen(TargetRegistry &targets, const TargetRequirements &requirements, MonotonicTime now = START)
{
    const TargetChoice choice = targets.choose(requirements, now);
    return std::holds_alternative<ChosenTarget>(choice) ? std::get<ChosenTarget>(choice).record.id : TargetId("none");
}

} // namespace

BOOST_AUTO_TEST_SUITE(targetregistry)

BOOST_AUTO_TEST_CASE(loadIsSpreadEvenly)
{
    TargetRegistry targets = makeRegistry(6);
    std::map<TargetId, int> counts;
    for (int request = 0; request < 60; ++request) {
        ++counts[chosen(targets, requirements())];
    }
    for (const auto &[id, count] : counts) {
        BOOST_TEST(count == 10);
    }
}

BOOST_AUTO_TEST_CASE(equalPromptsShareATargetUntilItIsOverloaded)
{
    TargetRegistry targets = makeRegistry(6);
    TargetRequirements cached = requirements();
    cached.cacheKey = 42;
    const TargetId first = chosen(targets, cached);
    BOOST_TEST(chosen(targets, cached) == first);
    std::map<TargetId, int> counts;
    for (int request = 0; request < 60; ++request) {
        ++counts[chosen(targets, cached)];
    }
    BOOST_TEST(counts.size() > 1U);
}

BOOST_AUTO_TEST_CASE(leavingAndDisabledTargetsGetNoRequests)
{
    TargetRegistry targets = makeRegistry(2);
    targets.setDomainDisabled(FailureDomain("a"), true);
    BOOST_TEST(chosen(targets, requirements()).value() == "t1");
    TargetRecord leaving = target("t1", "engine", "b");
    leaving.isLeaving = true;
    targets.put(leaving, START);
    BOOST_TEST(chosen(targets, requirements()).value() == "none");
    BOOST_TEST(!targets.startAttempt(TargetId("t1"), 0, START));
    targets.setDomainDisabled(FailureDomain("a"), false);
    BOOST_TEST(chosen(targets, requirements()).value() == "t0");
}

BOOST_AUTO_TEST_CASE(unreachableTargetIsUsedAsLastResort)
{
    TargetRegistry targets = makeRegistry(2);
    targets.choose(requirements(), START);
    targets.finishAttempt(TargetId("t0"), AttemptResult::Unreachable, 0, START);
    for (int request = 0; request < 10; ++request) {
        BOOST_TEST(chosen(targets, requirements()).value() == "t1");
    }
    TargetRequirements other = requirements();
    other.avoid = { TargetId("t1") };
    BOOST_TEST(chosen(targets, other).value() == "t0");
}

// All daemons together, each with its share, stay within the rate limit of a cold target in any second.
BOOST_AUTO_TEST_CASE(coldTargetsStayWithinTheirRateLimit)
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
        TargetRegistry targets({ FACTOR, SLACK }, {}, static_cast<std::uint64_t>(vm));
        targets.setServices({ service });
        targets.setVmCount(VMS);
        targets.put(cold, START);
        for (int tick = 0; tick < 5000; tick += 10) {
            const MonotonicTime now = START + milliseconds(tick);
            if (chosen(targets, requirements(), now) != TargetId("none")) {
                starts.push_back(now);
            }
        }
    }
    std::sort(starts.begin(), starts.end());
    std::size_t maxPerSecond = 0;
    for (std::size_t first = 0; first < starts.size(); ++first) {
        std::size_t last = first;
        while (last < starts.size() && starts[last] < starts[first] + seconds(1)) {
            ++last;
        }
        maxPerSecond = std::max(maxPerSecond, last - first);
    }
    BOOST_TEST(maxPerSecond > 0U);
    BOOST_TEST(static_cast<double>(maxPerSecond) <= RATE * FACTOR + SLACK);
}

// Regression: 63 daemons with four idle connections each exceeded the 100 connections of a target, which reset the others.
BOOST_AUTO_TEST_CASE(idleConnectionsOfAllDaemonsLeaveRoomForOthers)
{
    Service service;
    service.name = ServiceName("engine");
    for (const int accepted : { 0, 48, 100, 270, 600 }) {
        service.maxConnections = accepted;
        for (const int vms : { 1, 6, 12, 63, 81, 380 }) {
            TargetRegistry targets({}, {}, 1);
            targets.setServices({ service });
            targets.setVmCount(vms);
            const std::size_t idle = targets.maxIdleConnections(service.name) * static_cast<std::size_t>(vms);
            BOOST_TEST(idle * 2 <= static_cast<std::size_t>(accepted), accepted << " connections, " << vms << " VMs");
        }
    }
}

BOOST_AUTO_TEST_CASE(fewDaemonsKeepIdleConnections)
{
    Service service;
    service.name = ServiceName("engine");
    TargetRegistry targets({}, {}, 1);
    targets.setVmCount(12);
    targets.setServices({ service });
    BOOST_TEST(targets.maxIdleConnections(service.name) > 0U);
    service.maxConnections = 500;
    targets.setServices({ service });
    BOOST_TEST(targets.maxIdleConnections(service.name) > 0U);
}

// Regression: with 295 daemons, owners of stage services opened a connection for each call of a piece and for each freed result.
BOOST_AUTO_TEST_CASE(ownersOfStagesKeepConnectionsInALargeFleet)
{
    Service service = stageService("stage");
    service.maxConnections = 540;
    for (const int vms : { 7, 63, 295, 380 }) {
        TargetRegistry targets({}, {}, 1);
        targets.setServices({ service });
        targets.setVmCount(vms);
        const std::size_t idle = targets.maxIdleConnections(service.name);
        BOOST_TEST(idle > 0U);
        BOOST_TEST(idle * 12 * 2 <= 540U);
    }
}

BOOST_AUTO_TEST_CASE(sharesBelowOneRequestPerSecondArePaced)
{
    Service service;
    service.name = ServiceName("engine");
    service.coldRate = 1;
    TargetRegistry targets({ 1, 0 }, {}, 1);
    targets.setServices({ service });
    targets.setVmCount(8);
    TargetRecord cold = target("cold", "engine");
    cold.coldFor = seconds(100);
    targets.put(cold, START);
    int starts = 0;
    for (int tick = 0; tick < 40; ++tick) {
        starts += chosen(targets, requirements(), START + seconds(tick)) != TargetId("none") ? 1 : 0;
    }
    BOOST_TEST(starts <= 5);
    BOOST_TEST(starts >= 3);
}

BOOST_AUTO_TEST_CASE(restartUnderTheSameIdResetsTheLoad)
{
    TargetRegistry targets = makeRegistry(2);
    for (int request = 0; request < 10; ++request) {
        targets.startAttempt(TargetId("t0"), 5000, START);
    }
    TargetRecord restarted = target("t0", "engine");
    restarted.startedAt = StartTime(milliseconds(2));
    targets.put(restarted, START);
    targets.startAttempt(TargetId("t1"), 0, START);
    BOOST_TEST(chosen(targets, requirements()).value() == "t0");
}

// Regression (review/6): results were freed at an address that was no longer that of their target.
BOOST_AUTO_TEST_CASE(targetIsAtItsAddressUntilItIsPublishedAnewOrAnotherAnswers)
{
    TargetRegistry targets = makeRegistry(2);
    const TargetRecord maker = target("t0", "engine", "a");
    BOOST_TEST(targets.isAtItsAddress(maker, START));
    TargetRecord leaving = maker;
    leaving.isLeaving = true;
    targets.put(leaving, START);
    BOOST_TEST(targets.isAtItsAddress(maker, START));
    targets.setMisdirected(maker, START);
    BOOST_TEST(!targets.isAtItsAddress(maker, START));
    TargetRecord restarted = maker;
    restarted.startedAt += milliseconds(1);
    targets.put(restarted, START + seconds(1));
    BOOST_TEST(!targets.isAtItsAddress(maker, START + seconds(60)));
    BOOST_TEST(targets.isAtItsAddress(restarted, START + seconds(60)));
    targets.remove(maker.id);
    BOOST_TEST(!targets.isAtItsAddress(restarted, START + seconds(60)));
}

// The entry of a target may say that it is ready while its answers say that it is leaving, and may come back after it was removed.
BOOST_AUTO_TEST_CASE(targetThatSaysItIsLeavingGetsNothing)
{
    TargetRegistry targets = makeRegistry(2);
    const TargetRecord leaving = target("t0", "engine", "a");
    targets.applyStatement(leaving, { true }, START);
    targets.put(leaving, START + seconds(1));
    BOOST_TEST(chosen(targets, requirements(), START + seconds(1)) == TargetId("t1"));
    BOOST_TEST(targets.usableTargets(ServiceName("engine"), START + seconds(1)).size() == 1U);
    BOOST_TEST(!targets.startAttempt(leaving.id, 0, START + seconds(1)));
    targets.remove(leaving.id);
    targets.put(leaving, START + seconds(3));
    BOOST_TEST(!targets.startAttempt(leaving.id, 0, START + seconds(3)));
    TargetRecord restarted = leaving;
    restarted.startedAt += milliseconds(1);
    targets.put(restarted, START + seconds(4));
    BOOST_TEST(targets.startAttempt(leaving.id, 0, START + seconds(4)));
}

// A target that turned a request away got the next ones at once, though it had said for how long it wanted none.
BOOST_AUTO_TEST_CASE(targetThatAsksForAPauseGetsNothingMeanwhile)
{
    TargetRegistry targets = makeRegistry(2);
    const TargetRecord paused = target("t0", "engine", "a");
    TargetStatement statement;
    statement.pause = seconds(3);
    targets.applyStatement(paused, statement, START);
    const MonotonicTime later = START + milliseconds(2900);
    targets.put(paused, later);
    BOOST_TEST(chosen(targets, requirements(), later) == TargetId("t1"));
    BOOST_TEST(targets.usableTargets(ServiceName("engine"), later).size() == 1U);
    BOOST_TEST(!targets.startAttempt(paused.id, 0, later));
    targets.applyStatement(target("t1", "engine", "b"), statement, later);
    const TargetChoice none = targets.choose(requirements(), later);
    BOOST_REQUIRE(std::holds_alternative<NoTarget>(none));
    BOOST_TEST((std::get<NoTarget>(none).retryAfter >= milliseconds(100)));
    BOOST_TEST(targets.startAttempt(paused.id, 0, START + seconds(3)));
}

// Brittle targets that were full got requests, refused them and fell over.
BOOST_AUTO_TEST_CASE(brittleTargetThatIsFullGetsNothing)
{
    TargetRegistry targets = makeRegistry(2);
    targets.setVmCount(8);
    const TargetRecord full = target("t0", "engine", "a");
    TargetStatement brittle;
    brittle.maxRefusals = 4;
    targets.applyStatement(full, brittle, START);
    targets.setReportedLoad(full.id, { 8, 0, 8 }, START);
    BOOST_TEST(!targets.startAttempt(full.id, 0, START));
    BOOST_TEST(chosen(targets, requirements()) == TargetId("t1"));
    BOOST_TEST(chosen(targets, requirements()) == TargetId("t1"));
    // Twice an eighth of its eight slots are the share of this daemon.
    BOOST_TEST(chosen(targets, requirements()) == TargetId("none"));
    targets.finishAttempt(TargetId("t1"), AttemptResult::Refused, 0, START);
    // With four refusals a second for eight daemons, each may cause one in two seconds.
    BOOST_TEST(!targets.startAttempt(TargetId("t1"), 0, START + milliseconds(1900)));
    BOOST_TEST(targets.startAttempt(TargetId("t1"), 0, START + seconds(7)));
    targets.applyStatement(full, {}, START + seconds(8));
    for (int request = 0; request < 8; ++request) {
        BOOST_TEST(targets.startAttempt(full.id, 0, START + seconds(8)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
