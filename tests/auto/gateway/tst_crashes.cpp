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

BOOST_AUTO_TEST_SUITE_END()
