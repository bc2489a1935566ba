#define BOOST_TEST_MODULE crashes
#include "crashsimulation.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace CassiaRelay::Gateway;
using namespace CassiaRelay::Gateway::Samples;
namespace data = boost::unit_test::data;

namespace {

const std::vector<int> FLEET_SIZES { 1, 7, 63, 81, 380 };
const std::vector<TargetReturn> ALL_RETURNS { TargetReturn::Late, TargetReturn::AtOnce, TargetReturn::SameId };
constexpr int TARGETS = 18;
constexpr std::size_t ALLOWED_CRASHES = 3; // of one request, before daemons have to stop it
constexpr int ALLOWED_ARRIVALS = 3;        // after that
constexpr double LEAST_SOUND_SHARE = 0.5;  // of the sound requests, served while targets crash

} // namespace

BOOST_AUTO_TEST_SUITE(crashes)

// A request that had crashed three targets was sent to more, because crashes that were noticed late did not count.
BOOST_DATA_TEST_CASE(crashingRequestIsStoppedWhereverItComes,
                     data::make(FLEET_SIZES) * data::make(std::vector<int> { 200, 800, 3000 }),
                     vms,
                     pauseMs)
{
    CrashSimulation simulation(vms, TARGETS);
    simulation.setReturns(ALL_RETURNS);
    simulation.setSoundRate(4);
    simulation.run(seconds(2));
    simulation.startBadRequests(milliseconds(pauseMs / 4), milliseconds(pauseMs));
    simulation.run(seconds(40));
    BOOST_TEST(simulation.crashes() >= 2);
    BOOST_TEST(simulation.lateArrivals(ALLOWED_CRASHES) <= ALLOWED_ARRIVALS);
}

// The ban ended a minute after the last crash, while the request still came.
BOOST_DATA_TEST_CASE(crashingRequestStaysStoppedWhileItComes, data::make(std::vector<int> { 1, 7, 63 }), vms)
{
    CrashSimulation simulation(vms, TARGETS);
    simulation.setSoundRate(4);
    simulation.startBadRequests(milliseconds(100), milliseconds(800));
    simulation.run(std::chrono::minutes(5));
    BOOST_TEST(simulation.lateArrivals(ALLOWED_CRASHES) <= ALLOWED_ARRIVALS);
}

// What one daemon knew of the request was lost with it.
BOOST_DATA_TEST_CASE(crashingRequestStaysStoppedWhileDaemonsAreLost, data::make(std::vector<int> { 7, 63, 81 }), vms)
{
    CrashSimulation simulation(vms, TARGETS);
    simulation.setReturns(ALL_RETURNS);
    simulation.setSoundRate(20);
    simulation.startBadRequests(milliseconds(100), milliseconds(600));
    for (int round = 0; round < 8; ++round) {
        const int killed = round % vms;
        const int frozen = (round + 2) % vms;
        simulation.kill(killed);
        simulation.fleet().freeze(frozen);
        simulation.run(milliseconds(1500));
        simulation.start(killed);
        simulation.fleet().resume(frozen);
        simulation.disturb(frozen);
        simulation.run(seconds(4));
    }
    BOOST_TEST(simulation.lateArrivals(ALLOWED_CRASHES) <= ALLOWED_ARRIVALS);
}

// Daemons that reach each other only through a third one sent the request on.
BOOST_DATA_TEST_CASE(banReachesDaemonsThroughOthers, data::make(std::vector<int> { 7, 63 }), vms)
{
    CrashSimulation simulation(vms, TARGETS);
    simulation.setSoundRate(20);
    std::map<int, int> parts;
    for (int vm = 1; vm < vms; ++vm) {
        parts[vm] = vm % 2;
    }
    simulation.fleet().split(parts);
    simulation.run(seconds(4));
    simulation.startBadRequests(milliseconds(100), milliseconds(600));
    simulation.run(seconds(20));
    BOOST_TEST(simulation.lateArrivals(ALLOWED_CRASHES) <= ALLOWED_ARRIVALS);
}

// Sound requests that are alike were running on each target that crashed by itself.
BOOST_DATA_TEST_CASE(alikeSoundRequestsOnCrashingTargetsAreServed, data::make(FLEET_SIZES), vms)
{
    CrashSimulation simulation(vms, TARGETS);
    simulation.setReturns(ALL_RETURNS);
    simulation.makeSoundRequestsAlike();
    simulation.setSoundRate(20);
    for (int round = 0; round < 8; ++round) {
        simulation.crashSome(2);
        simulation.run(milliseconds(2500));
    }
    BOOST_TEST(simulation.soundBegun(START + seconds(6)) >= LEAST_SOUND_SHARE);
}

BOOST_DATA_TEST_CASE(soundRequestsAreServedAfterResets, data::make(FLEET_SIZES), vms)
{
    CrashSimulation simulation(vms, TARGETS);
    simulation.makeSoundRequestsAlike();
    simulation.setSoundRate(20);
    for (int round = 0; round < 6; ++round) {
        simulation.run(milliseconds(1500));
        simulation.resetConnections();
    }
    simulation.run(seconds(3));
    BOOST_TEST(simulation.soundBegun(START) >= LEAST_SOUND_SHARE);
}

// A completion lifts a wrong ban, and one request is let through after half a minute to bring it about.
BOOST_DATA_TEST_CASE(wrongBanOfAlikeRequestsEnds, data::make(std::vector<int> { 1, 7 }), vms)
{
    CrashSimulation simulation(vms, TARGETS);
    simulation.makeSoundRequestsAlike();
    simulation.setSoundRate(0.9);
    for (int round = 0; round < 6; ++round) {
        simulation.crashSome(TARGETS);
        simulation.run(milliseconds(2500));
    }
    simulation.run(std::chrono::minutes(3));
    BOOST_TEST(simulation.soundBegun(simulation.now() - seconds(30)) >= LEAST_SOUND_SHARE);
}

BOOST_AUTO_TEST_SUITE_END()
