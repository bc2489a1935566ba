#define BOOST_TEST_MODULE targetratelimits
#include "ratelimitsimulation.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace CassiaRelay::Gateway;
using namespace CassiaRelay::Gateway::Samples;
namespace data = boost::unit_test::data;

namespace {

const std::vector<int> FLEET_SIZES { 1, 7, 63, 81, 380 };

int overruns(const RateLimitSimulation &simulation, int targets)
{
    std::uint64_t total = 0;
    for (int target = 0; target < targets; ++target) {
        total += simulation.overruns(target);
    }
    return static_cast<int>(total);
}

} // namespace

BOOST_AUTO_TEST_SUITE(targetratelimits)

// The daemons that had been told of a limit sent as many requests as before, because each of them ignored it.
BOOST_DATA_TEST_CASE(targetGetsNoMoreThanItsLimitFromAllDaemons,
                     data::make(FLEET_SIZES) * data::make(std::vector<double> { 0, 0.3, 1, 6, 50 }),
                     vms,
                     limit)
{
    RateLimitSimulation simulation(vms, 4);
    simulation.run(seconds(2));
    simulation.takeOutcome();
    simulation.setLimit(0, limit);
    simulation.run(seconds(12));
    BOOST_TEST(simulation.overruns(0) == 0U);
    // The other targets take what the limited one must not get.
    BOOST_TEST(simulation.takeOutcome().refused == 0);
}

BOOST_DATA_TEST_CASE(limitsOfAllTargetsAreUsed, data::make(FLEET_SIZES), vms)
{
    constexpr double LIMIT = 4;
    constexpr int TARGETS = 3;
    RateLimitSimulation simulation(vms, TARGETS);
    simulation.setRequestRate(30);
    for (int target = 0; target < TARGETS; ++target) {
        simulation.setLimit(target, LIMIT);
    }
    simulation.run(seconds(6));
    simulation.takeOutcome();
    simulation.run(seconds(10));
    BOOST_TEST(overruns(simulation, TARGETS) == 0);
    const RateLimitOutcome outcome = simulation.takeOutcome();
    BOOST_TEST(outcome.sent >= 10 * TARGETS * LIMIT / 2);
    BOOST_TEST(outcome.refused > 0);
}

BOOST_DATA_TEST_CASE(limitAboveTheTrafficRefusesNothing, data::make(FLEET_SIZES), vms)
{
    RateLimitSimulation simulation(vms, 3);
    for (int target = 0; target < 3; ++target) {
        simulation.setLimit(target, 200);
    }
    simulation.run(seconds(3));
    simulation.takeOutcome();
    simulation.run(seconds(8));
    const RateLimitOutcome outcome = simulation.takeOutcome();
    BOOST_TEST(outcome.refused * 50 <= outcome.sent);
}

BOOST_DATA_TEST_CASE(limitThatChangesOrEndsIsFollowed, data::make(FLEET_SIZES), vms)
{
    RateLimitSimulation simulation(vms, 4);
    simulation.setLimit(0, 10);
    simulation.run(seconds(8));
    simulation.setLimit(0, 0.5);
    simulation.run(seconds(12));
    simulation.setLimit(0, 8);
    simulation.run(seconds(8));
    BOOST_TEST(simulation.overruns(0) == 0U);
    simulation.setLimit(0, std::nullopt);
    simulation.run(seconds(15));
    const std::uint64_t before = simulation.arrivals(0);
    simulation.run(seconds(5));
    // A quarter of 60 requests per second, as before the limit; half of it shows that the limit has ended.
    BOOST_TEST(simulation.arrivals(0) - before >= 5U * 60 / 4 / 2);
}

// A limit that is never reached takes nothing from its target.
BOOST_DATA_TEST_CASE(targetWithALimitAboveTheTrafficKeepsItsShare, data::make(FLEET_SIZES), vms)
{
    RateLimitSimulation simulation(vms, 4);
    simulation.setLimit(0, 500);
    simulation.run(seconds(5));
    const std::uint64_t before = simulation.arrivals(0);
    simulation.run(seconds(5));
    BOOST_TEST(simulation.arrivals(0) - before >= 5U * 60 / 4 / 2);
}

BOOST_DATA_TEST_CASE(lostIssuerIsReplacedWithinTheLimit, data::make(std::vector<int> { 7, 63, 81, 380 }), vms)
{
    RateLimitSimulation simulation(vms, 2);
    simulation.setLimit(0, 3);
    simulation.setLimit(1, 3);
    simulation.run(seconds(6));
    const int issuer = simulation.issuer();
    simulation.fleet().kill(issuer);
    simulation.run(seconds(4));
    simulation.takeOutcome();
    simulation.run(seconds(4));
    BOOST_TEST(simulation.takeOutcome().sent >= 4);
    simulation.start(issuer);
    simulation.run(seconds(20));
    BOOST_TEST(overruns(simulation, 2) == 0);
}

BOOST_DATA_TEST_CASE(frozenIssuerDoesNotDoubleTheRate, data::make(std::vector<int> { 7, 63, 81, 380 }), vms)
{
    RateLimitSimulation simulation(vms, 2);
    simulation.setLimit(0, 12);
    simulation.setLimit(1, 1);
    simulation.run(seconds(6));
    const int issuer = simulation.issuer();
    simulation.fleet().freeze(issuer);
    simulation.run(seconds(5));
    simulation.fleet().resume(issuer);
    simulation.run(seconds(20));
    BOOST_TEST(overruns(simulation, 2) == 0);
}

// Two parts of the fleet can't reach each other; a third one reaches both.
BOOST_DATA_TEST_CASE(splitFleetStaysWithinTheLimit, data::make(std::vector<int> { 7, 63, 81, 380 }), vms)
{
    RateLimitSimulation simulation(vms, 2);
    simulation.setLimit(0, 12);
    simulation.setLimit(1, 1);
    simulation.run(seconds(6));
    std::map<int, int> parts;
    for (int vm = 0; vm < vms; ++vm) {
        if (vm % 3 != 0) {
            parts[vm] = vm % 3;
        }
    }
    simulation.fleet().split(parts);
    simulation.run(seconds(20));
    simulation.fleet().split({});
    simulation.run(seconds(20));
    BOOST_TEST(overruns(simulation, 2) == 0);
}

BOOST_DATA_TEST_CASE(daemonThatJoinsKnowsTheLimit, data::make(std::vector<int> { 7, 63, 81 }), vms)
{
    RateLimitSimulation simulation(vms, 2);
    simulation.setLimit(0, 1);
    simulation.run(seconds(6));
    for (int added = vms; added < vms + 3; ++added) {
        simulation.start(added);
        simulation.run(seconds(3));
    }
    simulation.run(seconds(10));
    BOOST_TEST(simulation.overruns(0) == 0U);
}

BOOST_AUTO_TEST_CASE(limitDoesNotApplyToTheReplacementOfATarget)
{
    RateLimitSimulation simulation(7, 2);
    simulation.setLimit(0, 0.1);
    simulation.setLimit(1, 0.1);
    simulation.run(seconds(6));
    simulation.replaceTarget(0);
    simulation.run(seconds(2));
    simulation.takeOutcome();
    simulation.run(seconds(5));
    BOOST_TEST(simulation.takeOutcome().refused == 0);
}

// The entry of a target may expire while the store is down, and return.
BOOST_AUTO_TEST_CASE(limitOutlivesTheListingOfATarget)
{
    TargetRegistry targets({}, {}, 1);
    const TargetRecord record = target("t0", "engine");
    targets.put(record, START);
    targets.setRateLimit(record, { 1.0 }, START);
    targets.remove(record.id);
    targets.put(record, START);
    BOOST_TEST(!targets.startAttempt(record.id, 0, START));
    TargetRecord restarted = record;
    restarted.startedAt += milliseconds(500);
    targets.put(restarted, START);
    BOOST_TEST(targets.startAttempt(record.id, 0, START));
}

BOOST_AUTO_TEST_CASE(olderStatementDoesNotReplaceANewerOne)
{
    TargetRateLimits limits;
    const TargetRecord record = target("t0", "engine");
    limits.apply(record, { 5.0 }, START);
    limits.apply(record, { std::nullopt }, START + seconds(2));
    limits.merge({ record.id, record.startedAt, record.service, 5.0, START + seconds(1) }, START + seconds(3));
    BOOST_TEST(!limits.isLimited(record));
    limits.merge({ record.id, record.startedAt, record.service, 4.0, START + seconds(4) }, START + seconds(4));
    BOOST_TEST(limits.isLimited(record));
}

// The time of each transfer is missing from the age of a report, so that two daemons could renew it for each other.
BOOST_AUTO_TEST_CASE(transfersDoNotRenewAStatement)
{
    const milliseconds transfer { 200 };
    const TargetRecord record = target("t0", "engine");
    TargetRateLimits first;
    TargetRateLimits second;
    first.apply(record, { 5.0 }, START);
    for (int round = 1; round <= 100; ++round) {
        const MonotonicTime now = START + round * transfer;
        TargetRateLimits &sender = round % 2 == 1 ? first : second;
        TargetRateLimits &receiver = round % 2 == 1 ? second : first;
        for (RateLimitReport report : sender.newestReports(1)) {
            report.statedAt += transfer;
            receiver.merge(report, now);
        }
    }
    BOOST_TEST((second.newestReports(1).front().statedAt <= START + seconds(1)));
}

BOOST_AUTO_TEST_CASE(unusedPermitsAreIssuedAgainAndExpire)
{
    const TargetRecord record = target("t0", "engine");
    TargetRateLimits issuer;
    issuer.apply(record, { 1.0 }, START);
    const MonotonicTime later = START + seconds(3);
    const std::vector<RequestPermits> issued = issuer.issue({ record }, 5, later);
    BOOST_REQUIRE(issued.size() == 1U);
    BOOST_TEST(issued.front().count == 1);
    BOOST_TEST(issuer.issue({ record }, 5, later).empty());
    issuer.takeBack(issued, later);
    BOOST_TEST(issuer.issue({ record }, 5, later).size() == 1U);

    TargetRateLimits user;
    user.setShareFunction([](const ServiceName &) { return std::nullopt; }, START);
    user.apply(record, { 1.0 }, START);
    BOOST_TEST(!user.canSend(record, later));
    user.addPermits(issued.front(), later);
    BOOST_TEST(user.canSend(record, later));
    BOOST_TEST(!user.canSend(record, later + TargetRateLimits::PERMIT_LIFETIME));
    BOOST_TEST(user.takeUnusedPermits(record.service, later + TargetRateLimits::PERMIT_LIFETIME).empty());
}

BOOST_AUTO_TEST_SUITE_END()
