#define BOOST_TEST_MODULE badparts
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
constexpr std::size_t ALLOWED_CRASHES = 5; // of one part, before daemons have to stop it
constexpr int ALLOWED_ARRIVALS = 3;        // after that
constexpr double LEAST_SOUND_SHARE = 0.5;  // of the sound requests, served while bad ones come
constexpr seconds TIME_TO_RECOVER { 6 };   // twice stableWindowMs

/** Parts of bad requests, besides one of their own. */
struct BadPrompt {
    const char *name;
    std::vector<std::string> parts;
};

std::ostream &operator<<(std::ostream &stream, const BadPrompt &prompt)
{
    return stream << prompt.name;
}

const std::vector<BadPrompt> BAD_PROMPTS {
    { "bad part first", { "bad", "topic-1" } },
    { "bad part last", { CrashSimulation::SHARED_PART, "topic-1", "bad" } },
    { "bad part alone", { "bad" } },
};

} // namespace

BOOST_AUTO_TEST_SUITE(badparts)

// Requests with one part in their prompts, no two alike, went on crashing targets, because only equal requests were recognised.
BOOST_DATA_TEST_CASE(partThatCrashesTargetsIsStopped,
                     data::make(FLEET_SIZES) * data::make(BAD_PROMPTS) * data::make(std::vector<int> { 150, 800 }),
                     vms,
                     prompt,
                     pauseMs)
{
    CrashSimulation simulation(vms, TARGETS);
    simulation.setReturns(ALL_RETURNS);
    simulation.setSoundRate(20);
    simulation.setBadParts(prompt.parts);
    simulation.run(seconds(4));
    simulation.startBadRequests(milliseconds(pauseMs / 4), milliseconds(pauseMs));
    simulation.run(TIME_TO_RECOVER);
    const MonotonicTime recovered = simulation.now();
    simulation.run(seconds(20));
    BOOST_TEST(simulation.crashes() >= 3);
    BOOST_TEST(simulation.lateArrivals(ALLOWED_CRASHES) <= ALLOWED_ARRIVALS);
    BOOST_TEST(simulation.soundBegun(recovered) >= LEAST_SOUND_SHARE);
}

// Sound requests shared the other parts with bad ones, and targets crashed by themselves as well.
BOOST_DATA_TEST_CASE(soundRequestsAreServedBesideABadPart,
                     data::make(FLEET_SIZES) * data::make(std::vector<double> { 1, 8, 60 }),
                     vms,
                     rate)
{
    CrashSimulation simulation(vms, TARGETS);
    simulation.setReturns(ALL_RETURNS);
    simulation.setSoundRate(rate);
    simulation.setBadParts({ CrashSimulation::SHARED_PART, "topic-1", "bad" });
    simulation.startBadRequests(milliseconds(40), milliseconds(300));
    simulation.run(TIME_TO_RECOVER);
    const MonotonicTime recovered = simulation.now();
    for (int round = 0; round < 10; ++round) {
        simulation.crashSome(2);
        simulation.run(milliseconds(2500));
    }
    BOOST_TEST(simulation.lateArrivals(ALLOWED_CRASHES) <= ALLOWED_ARRIVALS);
    BOOST_TEST(simulation.soundBegun(recovered) >= LEAST_SOUND_SHARE);
}

BOOST_DATA_TEST_CASE(partStaysStoppedWhileItComes, data::make(std::vector<int> { 1, 7, 63 }), vms)
{
    CrashSimulation simulation(vms, TARGETS);
    simulation.setSoundRate(8);
    simulation.setBadParts({ CrashSimulation::SHARED_PART, "bad" });
    simulation.startBadRequests(milliseconds(100), milliseconds(800));
    simulation.run(std::chrono::minutes(5));
    BOOST_TEST(simulation.lateArrivals(ALLOWED_CRASHES) <= ALLOWED_ARRIVALS);
    BOOST_TEST(simulation.soundBegun(START + seconds(10)) >= LEAST_SOUND_SHARE);
}

BOOST_DATA_TEST_CASE(partStaysStoppedWhileDaemonsAreLost, data::make(std::vector<int> { 7, 63, 81 }), vms)
{
    CrashSimulation simulation(vms, TARGETS);
    simulation.setReturns(ALL_RETURNS);
    simulation.setSoundRate(20);
    simulation.setBadParts({ CrashSimulation::SHARED_PART, "bad" });
    simulation.startBadRequests(milliseconds(50), milliseconds(400));
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

// Every request has the shared part, so that it is on each target that crashes.
BOOST_DATA_TEST_CASE(sharedPartIsNotBannedForCrashesWithoutACause,
                     data::make(FLEET_SIZES) * data::make(std::vector<double> { 2, 20 }),
                     vms,
                     rate)
{
    CrashSimulation simulation(vms, TARGETS);
    simulation.setReturns(ALL_RETURNS);
    simulation.setSoundRate(rate);
    simulation.run(seconds(4));
    for (int round = 0; round < 10; ++round) {
        simulation.crashSome(4);
        simulation.run(milliseconds(2500));
    }
    BOOST_TEST(simulation.soundBegun(START) >= LEAST_SOUND_SHARE);
}

BOOST_DATA_TEST_CASE(sharedPartIsNotBannedForResets, data::make(FLEET_SIZES), vms)
{
    CrashSimulation simulation(vms, TARGETS);
    simulation.setSoundRate(20);
    for (int round = 0; round < 8; ++round) {
        simulation.run(milliseconds(1500));
        simulation.resetConnections();
    }
    BOOST_TEST(simulation.soundBegun(START) >= LEAST_SOUND_SHARE);
}

BOOST_AUTO_TEST_SUITE_END()
