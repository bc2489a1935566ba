#include "stagechainsimulation.h"

#include <boost/test/unit_test.hpp>

using namespace CassiaRelay::Gateway;
using namespace CassiaRelay::Gateway::Samples;

namespace {

constexpr std::chrono::seconds LENGTH { 20 };

SimulationResult runAt(double load)
{
    StageChainSimulation chain;
    chain.load(load * StageChainSimulation::capacity(), LENGTH);
    const SimulationResult result = chain.finish();
    BOOST_TEST_MESSAGE("load " << load << ": requested " << result.requested << " on time " << result.onTime << " late " << result.late
                               << " refused " << result.refused << " wasted pieces " << result.wastedPieces << " capacity "
                               << StageChainSimulation::capacity() * LENGTH.count());
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(stagechain)

BOOST_AUTO_TEST_CASE(allRequestsAreOnTimeBelowCapacity)
{
    const SimulationResult result = runAt(0.7);
    BOOST_TEST(result.onTime == result.requested);
}

// Under overload, the queue of the second of three stages grows. Issue 10 requires that at twice the load that this stage can serve,
// the on-time throughput is at least 0.95 of the capacity.
BOOST_AUTO_TEST_CASE(onTimeThroughputReachesCapacityUnderOverload)
{
    for (const double load : { 1.5, 2.0 }) {
        const SimulationResult result = runAt(load);
        BOOST_TEST(result.late * 20 <= result.onTime);
        BOOST_TEST(result.onTime >= 0.95 * StageChainSimulation::capacity() * LENGTH.count());
    }
}

BOOST_AUTO_TEST_CASE(admittedRequestsAreOnTimeAtThreeTimesCapacity)
{
    const SimulationResult result = runAt(3);
    BOOST_TEST(result.late * 20 <= result.onTime);
}

// The load is twice the capacity of the second stage for four seconds, then half of it. Callers refused in the burst have to be served
// when they retry.
BOOST_AUTO_TEST_CASE(refusedCallersAreServedWhenTheyRetry)
{
    StageChainSimulation chain;
    chain.enableCallerRetries();
    chain.load(2 * StageChainSimulation::capacity(), std::chrono::seconds(4));
    chain.load(0.5 * StageChainSimulation::capacity(), std::chrono::seconds(10));
    const SimulationResult result = chain.finish();
    BOOST_TEST_MESSAGE("burst: requested " << result.requested << " on time " << result.onTime << " late " << result.late << " refused "
                                           << result.refused << " refused retries " << result.refusedRetries);
    // The capacity over the fourteen seconds is enough for all requests; 0.95 of them have to be on time.
    BOOST_TEST(result.onTime >= 0.95 * result.requested);
}

BOOST_AUTO_TEST_SUITE_END()
