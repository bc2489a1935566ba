#include <boost/test/unit_test.hpp>
#include <routing/routing.h>

using namespace CassiaRelay;
using namespace CassiaRelay::Routing;

namespace {

const MonotonicTime START = MonotonicTime() + std::chrono::hours(1);
const Fingerprint CRASHING(7);
const Fingerprint HARMLESS(8);

bool hasState(Quarantine &quarantine, Fingerprint fingerprint, QuarantineState state)
{
    return quarantine.state(fingerprint, START) == state;
}

} // namespace

BOOST_AUTO_TEST_SUITE(quarantine)

BOOST_AUTO_TEST_CASE(twoLossesQuarantineBeforeTheyAreConfirmed)
{
    Quarantine quarantine;
    BOOST_TEST(std::holds_alternative<ReportLoss>(quarantine.onConnectionLost(CRASHING, TargetId("t1"), START).at(0)));
    BOOST_TEST(quarantine.onConnectionLost(CRASHING, TargetId("t1"), START).empty());
    BOOST_TEST(hasState(quarantine, CRASHING, QuarantineState::Suspect));
    quarantine.onConnectionLost(CRASHING, TargetId("t2"), START);
    BOOST_TEST(hasState(quarantine, CRASHING, QuarantineState::Quarantined));
    quarantine.onTargetDead(TargetId("t1"));
    quarantine.onTargetDead(TargetId("t1"));
    BOOST_TEST(quarantine.onTargetAlive(TargetId("t1")).empty());
    BOOST_TEST(hasState(quarantine, CRASHING, QuarantineState::Quarantined));
}

BOOST_AUTO_TEST_CASE(lossOnALiveTargetIsNotCounted)
{
    Quarantine quarantine;
    quarantine.onConnectionLost(CRASHING, TargetId("t1"), START);
    BOOST_TEST(std::holds_alternative<RetractLoss>(quarantine.onTargetAlive(TargetId("t1")).at(0)));
    BOOST_TEST(hasState(quarantine, CRASHING, QuarantineState::Cleared));
    quarantine.onTargetDead(TargetId("t1"));
    BOOST_TEST(hasState(quarantine, CRASHING, QuarantineState::Cleared));
}

BOOST_AUTO_TEST_CASE(harmlessRequestIsClearedWhenItSucceeds)
{
    Quarantine quarantine;
    quarantine.onConnectionLost(HARMLESS, TargetId("t1"), START);
    quarantine.onTargetDead(TargetId("t1"));
    BOOST_TEST(hasState(quarantine, HARMLESS, QuarantineState::Suspect));
    BOOST_TEST(std::holds_alternative<ReportSurvived>(quarantine.onSucceeded(HARMLESS).at(0)));
    BOOST_TEST(hasState(quarantine, HARMLESS, QuarantineState::Cleared));
}

BOOST_AUTO_TEST_CASE(cellStateAppliesToTargetsLostElsewhere)
{
    Quarantine quarantine;
    quarantine.applyCellState(CRASHING, QuarantineState::Quarantined, START);
    BOOST_TEST(hasState(quarantine, CRASHING, QuarantineState::Quarantined));
    quarantine.applyCellState(CRASHING, QuarantineState::Cleared, START);
    BOOST_TEST(hasState(quarantine, CRASHING, QuarantineState::Cleared));
}

BOOST_AUTO_TEST_SUITE_END()
