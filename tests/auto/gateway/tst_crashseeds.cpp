#define BOOST_TEST_MODULE crashseeds
#include "crashsimulation.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace CassiaRelay::Gateway;
using namespace CassiaRelay::Gateway::Samples;
namespace data = boost::unit_test::data;

namespace {

constexpr int TARGETS = 18;
constexpr std::size_t ALLOWED_CRASHES = 5; // of one part, before daemons have to stop it
constexpr int ALLOWED_ARRIVALS = 3;        // after that

} // namespace

// A target that was back at once under its id took the end of an answer for complete, which cleared the bad part.
BOOST_DATA_TEST_CASE(badPartIsStoppedWithTargetsThatRestartUnderTheirId, data::make({ 25, 36, 41, 47 }), seed)
{
    for (const int pauseMs : { 100, 600 }) {
        for (const double rate : { 2.0, 20.0 }) {
            for (const std::vector<std::string> &parts :
                 { std::vector<std::string> { CrashSimulation::SHARED_PART, "topic-1", "bad" }, std::vector<std::string> { "bad" } }) {
                CrashSimulation simulation(7, TARGETS, static_cast<std::uint64_t>(seed));
                simulation.setReturns({ TargetReturn::Late, TargetReturn::AtOnce, TargetReturn::SameId });
                simulation.setSoundRate(rate);
                simulation.setBadParts(parts);
                simulation.run(seconds(3));
                simulation.startBadRequests(milliseconds(pauseMs / 4), milliseconds(pauseMs));
                simulation.run(seconds(6));
                for (int round = 0; round < 8; ++round) {
                    simulation.crashSome(1);
                    simulation.run(milliseconds(2500));
                }
                BOOST_TEST(simulation.lateArrivals(ALLOWED_CRASHES) <= ALLOWED_ARRIVALS);
            }
        }
    }
}
