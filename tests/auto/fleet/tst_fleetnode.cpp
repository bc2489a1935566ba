#include "testcell.h"

#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace CassiaRelay::Fleet;
using namespace std::chrono_literals;

namespace {

std::set<std::string> startCell(TestCell &cell, std::size_t size)
{
    std::set<std::string> members;
    for (std::size_t index = 0; index < size; ++index) {
        members.insert("vm" + std::to_string(index));
    }
    for (const std::string &vm : members) {
        cell.add(vm);
        cell.readList(vm, 1, members);
    }
    cell.run(31s);
    return members;
}

Schema::Document configuration(std::int64_t revision, const std::string &text)
{
    return { std::string(Schema::CONFIGURATION_KEY), revision, text };
}

} // namespace

BOOST_AUTO_TEST_CASE(documentsSpreadAndNeverRevert)
{
    TestCell cell;
    startCell(cell, 3);
    cell.perform("vm0", cell.node("vm0").onDocument(configuration(7, "seven"), cell.now()));
    cell.run(1s);
    BOOST_TEST(cell.node("vm2").documents().revision(std::string(Schema::CONFIGURATION_KEY)) == 7);
    cell.perform("vm2", cell.node("vm2").onDocument(configuration(6, "six"), cell.now()));
    BOOST_TEST(cell.node("vm2").documents().revision(std::string(Schema::CONFIGURATION_KEY)) == 7);
}

BOOST_AUTO_TEST_CASE(refusedDocumentLeavesTheLastGoodOne)
{
    TestCell cell;
    int checks = 0;
    FleetNode &node = cell.add("vm0", {}, [&checks](const Schema::Document &document) {
        ++checks;
        if (document.text == "bad") {
            throw Error(ErrorKind::SettingsInvalid, "bad");
        }
    });
    node.onDocument(configuration(1, "good"), cell.now());
    BOOST_CHECK_THROW(node.onDocument(configuration(2, "bad"), cell.now()), Error);
    BOOST_TEST(node.onDocument(configuration(2, "bad"), cell.now()).empty());
    BOOST_TEST(checks == 2);
    BOOST_TEST(node.documents().find(std::string(Schema::CONFIGURATION_KEY))->text == "good");
    node.onDocument(configuration(3, "better"), cell.now());
    BOOST_TEST(node.documents().revision(std::string(Schema::CONFIGURATION_KEY)) == 3);
}

BOOST_AUTO_TEST_CASE(startingDaemonTakesTheHighestRevisionBeforeItIsReady)
{
    TestCell cell;
    const std::set<std::string> members = startCell(cell, 3);
    cell.perform("vm0", cell.node("vm0").onDocument(configuration(7, "seven"), cell.now()));
    cell.run(1s);
    cell.add("vm2");
    cell.readList("vm2", 1, members);
    cell.perform("vm2", cell.node("vm2").onDocument(configuration(5, "five"), cell.now()));
    BOOST_TEST(!cell.node("vm2").isReady(cell.now()));
    cell.run(2s);
    BOOST_TEST(cell.node("vm2").isReady(cell.now()));
    BOOST_TEST(cell.node("vm2").documents().revision(std::string(Schema::CONFIGURATION_KEY)) == 7);
}

BOOST_AUTO_TEST_CASE(isolatedWithoutPlatformAndCell)
{
    TestCell cell;
    startCell(cell, 5);
    BOOST_TEST(!cell.node("vm0").isIsolated(cell.now()));
    cell.partition({ "vm0", "vm1" });
    cell.run(5s);
    BOOST_TEST(cell.node("vm0").isIsolated(cell.now()));
    BOOST_TEST(!cell.node("vm4").isIsolated(cell.now()));
    cell.node("vm0").onPlatformAnswer(cell.now());
    BOOST_TEST(!cell.node("vm0").isIsolated(cell.now()));
    // After a suspension, a process is isolated until it hears from others again.
    BOOST_TEST(cell.node("vm4").isIsolated(cell.now() + 10s));
}

BOOST_AUTO_TEST_CASE(demandIsSharedAndSilentMembersAreMarked)
{
    TestCell cell;
    startCell(cell, 3);
    cell.node("vm0").setDemand({ { PoolName("models"), 4.0 } });
    cell.run(3s);
    const std::vector<MemberLoad> loads = cell.demand("vm1").demand.at(PoolName("models"));
    BOOST_REQUIRE(loads.size() == 3U);
    BOOST_TEST(loads[0].demand == 4.0);
    BOOST_TEST(loads[0].isReachable);
    cell.partition({ "vm0" });
    cell.run(5s);
    BOOST_TEST(!cell.demand("vm1").demand.at(PoolName("models"))[0].isReachable);
}

BOOST_AUTO_TEST_CASE(quarantineCountsLossesAcrossTheCell)
{
    TestCell cell;
    const std::set<std::string> members = startCell(cell, 3);
    const Fingerprint body(5);
    cell.perform("vm0", cell.node("vm0").reportLoss(body, TargetId("t1"), cell.now()));
    cell.run(100ms);
    BOOST_CHECK(cell.quarantine("vm2")[body] == QuarantineState::Suspect);
    cell.perform("vm1", cell.node("vm1").reportLoss(body, TargetId("t2"), cell.now()));
    cell.run(100ms);
    BOOST_CHECK(cell.quarantine("vm2")[body] == QuarantineState::Quarantined);
    cell.perform("vm2", cell.node("vm2").reportSurvived(body, cell.now()));
    BOOST_CHECK(cell.quarantine("vm2")[body] == QuarantineState::Quarantined);
    cell.add("vm2");
    cell.quarantine("vm2").clear();
    cell.readList("vm2", 1, members);
    cell.run(2s);
    BOOST_CHECK(cell.quarantine("vm2")[body] == QuarantineState::Quarantined);
    cell.run(11min);
    BOOST_CHECK(cell.quarantine("vm2")[body] == QuarantineState::Clear);
}

BOOST_AUTO_TEST_CASE(lossOfALiveTargetIsRetractedInTheCell)
{
    TestCell cell;
    startCell(cell, 3);
    const Fingerprint body(5);
    cell.perform("vm0", cell.node("vm0").reportLoss(body, TargetId("t1"), cell.now()));
    cell.perform("vm1", cell.node("vm1").reportLoss(body, TargetId("t2"), cell.now()));
    cell.run(100ms);
    BOOST_CHECK(cell.quarantine("vm2")[body] == QuarantineState::Quarantined);
    cell.perform("vm0", cell.node("vm0").retractLoss(body, TargetId("t1"), cell.now()));
    cell.run(100ms);
    BOOST_CHECK(cell.quarantine("vm2")[body] == QuarantineState::Suspect);
    cell.perform("vm1", cell.node("vm1").retractLoss(body, TargetId("t2"), cell.now()));
    cell.run(100ms);
    BOOST_CHECK(cell.quarantine("vm2")[body] == QuarantineState::Clear);
}

BOOST_AUTO_TEST_CASE(completedRequestIsCleared)
{
    TestCell cell;
    startCell(cell, 3);
    const Fingerprint body(5);
    cell.perform("vm0", cell.node("vm0").reportLoss(body, TargetId("t1"), cell.now()));
    cell.run(100ms);
    cell.perform("vm1", cell.node("vm1").reportSurvived(body, cell.now()));
    cell.run(100ms);
    BOOST_CHECK(cell.quarantine("vm0")[body] == QuarantineState::Clear);
}

BOOST_AUTO_TEST_CASE(drainEndsWithTheLastGrantAndLeavesItsOutcome)
{
    TestCell cell;
    startCell(cell, 3);
    const ClaimId claim = cell.claim("vm0", "key");
    cell.run(1s);
    BOOST_TEST(cell.isHeld(claim));
    cell.perform("vm0", cell.node("vm0").beginDrain(cell.now()));
    BOOST_TEST(!cell.node("vm0").isDrained());
    cell.finish("vm0", claim, GrantEnd::Succeeded, "\"booked\"");
    BOOST_TEST(cell.node("vm0").isDrained());
    cell.run(100ms);
    cell.remove("vm0");
    const ClaimId again = cell.claim("vm1", "key");
    cell.run(1s);
    BOOST_REQUIRE(cell.replay(again) != nullptr);
    BOOST_TEST(*cell.replay(again) == "\"booked\"");
}

BOOST_AUTO_TEST_CASE(idleTrafficStaysBelowTheTarget)
{
    constexpr std::size_t MAX_BYTES_PER_SECOND = 2000;
    constexpr std::size_t SECONDS = 60;
    TestCell cell;
    const std::set<std::string> members = startCell(cell, 12);
    for (const std::string &vm : members) {
        cell.perform(vm, cell.node(vm).onDocument(configuration(1000000, "settings"), cell.now()));
        cell.node(vm).setDemand({ { PoolName("models"), 17.25 },
                                  { PoolName("encoders"), 3.5 },
                                  { PoolName("retrievers"), 2.125 },
                                  { PoolName("rerankers"), 1.5 },
                                  { PoolName("bookings"), 0.25 } });
    }
    cell.run(1s);
    const std::size_t before = cell.sentBytes("vm0");
    cell.run(std::chrono::seconds(SECONDS));
    const std::size_t rate = (cell.sentBytes("vm0") - before) / SECONDS;
    BOOST_TEST_MESSAGE("bytes per second of one daemon of 12: " << rate);
    BOOST_TEST(rate < MAX_BYTES_PER_SECOND);
}
