#define BOOST_TEST_MODULE handover
#include "handoversimulation.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace CassiaRelay::Gateway;
using namespace CassiaRelay::Gateway::Samples;
namespace data = boost::unit_test::data;

namespace {

constexpr int TARGETS = 18;
constexpr double MIN_SERVED = 2.0 / 3; // share of requests at daemons that are cut off, compared with the others
constexpr seconds SETTLED { 3 };       // from this long after the cut began

const auto ALL_KINDS = data::make({ CutKind::Reset, CutKind::Hang, CutKind::RefuseNew });

std::set<int> firstVms(int count)
{
    std::set<int> vms;
    for (int vm = 0; vm < count; ++vm) {
        vms.insert(vm);
    }
    return vms;
}

void expectPromisesKept(const HandoverSimulation &simulation)
{
    BOOST_TEST(simulation.runTwice() == 0);
    BOOST_TEST(simulation.refusedAndRun() == 0);
    BOOST_TEST(simulation.withTooMuchTime() == 0);
}

} // namespace

namespace CassiaRelay::Gateway {

std::ostream &operator<<(std::ostream &stream, CutKind kind)
{
    return stream << static_cast<int>(kind);
}

} // namespace CassiaRelay::Gateway

// Callers of daemons that had lost all targets were served far worse than those of the others.
BOOST_DATA_TEST_CASE(callersOfDaemonsWithoutTargetsAreServed, ALL_KINDS *data::make({ 7, 63, 380 }), kind, vms)
{
    for (const int cut : std::set<int> { 1, vms == 380 ? 1 : vms / 3, vms / 2, vms == 380 ? 1 : vms - 1 }) {
        HandoverSimulation simulation(vms, TARGETS);
        simulation.setRate(15.0 * std::min(vms, 63));
        simulation.run(seconds(2));
        const MonotonicTime cutAt = simulation.now();
        simulation.cut(firstVms(cut), kind);
        simulation.run(seconds(8));
        const MonotonicTime mendedAt = simulation.now();
        simulation.mend();
        simulation.run(seconds(3));
        const double atOthers = simulation.served(false, cutAt + SETTLED, mendedAt);
        BOOST_TEST(atOthers >= 0.99);
        BOOST_TEST(simulation.served(true, cutAt + SETTLED, mendedAt) >= MIN_SERVED * atOthers);
        BOOST_TEST(simulation.handovers(cutAt + SETTLED) > 0);
        BOOST_TEST(simulation.handovers(mendedAt + seconds(1)) == 0);
        BOOST_TEST(simulation.served(true, mendedAt + seconds(1), simulation.now() - seconds(1)) >= 0.99);
        expectPromisesKept(simulation);
    }
}

// What no daemon can serve is refused at once, and served again as soon as one can.
BOOST_DATA_TEST_CASE(requestsThatNoDaemonCanServeAreRefusedAtOnce,
                     data::make({ CutKind::Reset, CutKind::Hang }) * data::make({ 1, 7, 63 }),
                     kind,
                     vms)
{
    HandoverSimulation simulation(vms, TARGETS);
    simulation.setRate(20.0 * vms);
    simulation.run(seconds(2));
    const MonotonicTime cutAt = simulation.now();
    simulation.cut(firstVms(vms), kind);
    simulation.run(seconds(6));
    const MonotonicTime mendedAt = simulation.now();
    simulation.mend();
    simulation.run(seconds(3));
    BOOST_TEST((simulation.slowestRefusal(cutAt + SETTLED) <= milliseconds(1300))); // four attempts to connect, now and then
    BOOST_TEST(simulation.served(true, mendedAt + seconds(1), simulation.now() - seconds(1)) >= 0.99);
    expectPromisesKept(simulation);
}

// Other daemons do not reach targets that are down either.
BOOST_DATA_TEST_CASE(targetsThatAreDownAreNoCut, data::make({ 1, 7, 63 }), vms)
{
    HandoverSimulation simulation(vms, TARGETS);
    simulation.setRate(20.0 * vms);
    simulation.run(seconds(2));
    const MonotonicTime downAt = simulation.now();
    simulation.stopTargets();
    simulation.run(seconds(6));
    BOOST_TEST((simulation.slowestRefusal(downAt) <= milliseconds(100)));
    expectPromisesKept(simulation);
}

BOOST_DATA_TEST_CASE(silentTargetsSetOffNothing, data::make({ 7, 63 }), vms)
{
    HandoverSimulation simulation(vms, TARGETS);
    simulation.setRate(15.0 * vms);
    simulation.run(seconds(2));
    const MonotonicTime silentAt = simulation.now();
    simulation.silenceTargets(seconds(1));
    simulation.run(seconds(5));
    BOOST_TEST(simulation.handovers(silentAt) == 0);
    BOOST_TEST(simulation.served(false, silentAt, simulation.now() - seconds(1)) >= 0.99);
    expectPromisesKept(simulation);
}

// Daemons are killed, start, freeze and go on while others are cut off in turn.
BOOST_DATA_TEST_CASE(promisesAreKeptWhileDaemonsAreLost, ALL_KINDS *data::make({ 7, 63 }) * data::make({ 1, 2, 3 }), kind, vms, seed)
{
    HandoverSimulation simulation(vms, TARGETS, static_cast<std::uint64_t>(seed));
    simulation.setRate(15.0 * vms);
    simulation.run(seconds(2));
    for (int round = 0; round < 4; ++round) {
        const int killed = (round * 2 + 1) % vms;
        const int frozen = (round * 3 + 2) % vms;
        simulation.cut(firstVms(vms / 2), kind);
        simulation.run(milliseconds(2500));
        simulation.kill(killed);
        simulation.fleet().freeze(frozen);
        simulation.run(milliseconds(1500));
        simulation.start(killed);
        simulation.fleet().resume(frozen);
        simulation.run(milliseconds(1500));
        simulation.mend();
        simulation.run(milliseconds(700));
    }
    simulation.run(seconds(2));
    const MonotonicTime calmAt = simulation.now();
    simulation.run(seconds(4));
    BOOST_TEST(simulation.served(true, calmAt, simulation.now() - seconds(1)) >= 0.99);
    BOOST_TEST(simulation.served(false, calmAt, simulation.now() - seconds(1)) >= 0.99);
    expectPromisesKept(simulation);
}
