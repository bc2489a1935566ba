#define BOOST_TEST_MODULE fleet
#include "testcell.h"

#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace CassiaRelay::Fleet;
using namespace std::chrono_literals;

namespace {

using Names = std::set<std::string>;

void startCell(TestCell &cell, const Names &members, GrantRules rules = {})
{
    for (const std::string &vm : members) {
        cell.add(vm, rules);
    }
    for (const std::string &vm : members) {
        cell.readList(vm, 1, members);
    }
    cell.run(31s);
}

} // namespace

BOOST_AUTO_TEST_CASE(grantsOnceAndReplaysTheResultAnywhere)
{
    TestCell cell;
    startCell(cell, { "a", "b", "c" });
    const ClaimId first = cell.claim("a", "key");
    cell.run(1s);
    BOOST_TEST(cell.isHeld(first));
    const ClaimId waiting = cell.claim("b", "key");
    cell.run(1s);
    BOOST_TEST(cell.decision(waiting) == nullptr);
    cell.finish("a", first, GrantEnd::Succeeded, "\"booked\"");
    cell.run(1s);
    BOOST_REQUIRE(cell.replay(waiting) != nullptr);
    BOOST_TEST(*cell.replay(waiting) == "\"booked\"");
    cell.remove("a");
    const ClaimId later = cell.claim("c", "key");
    cell.run(1s);
    BOOST_REQUIRE(cell.replay(later) != nullptr);
    BOOST_TEST(*cell.replay(later) == "\"booked\"");
}

BOOST_AUTO_TEST_CASE(grantTakesOneExchangeWithEachMember)
{
    for (const std::size_t size : { 3U, 7U, 12U }) {
        Names members;
        for (std::size_t index = 0; index < size; ++index) {
            members.insert("vm" + std::to_string(index));
        }
        TestCell cell;
        startCell(cell, members);
        const std::map<std::string, std::size_t> before = cell.sentKinds();
        const std::size_t bytes = cell.grantBytes();
        const ClaimId claim = cell.claim("vm0", "018f2d5e-7a10-7000-8000-000000000001");
        cell.run(1s);
        BOOST_TEST(cell.isHeld(claim));
        cell.finish("vm0", claim, GrantEnd::Succeeded, "\"booked\"");
        cell.run(1s);
        std::map<std::string, std::size_t> sent = cell.sentKinds();
        for (const auto &[kind, count] : before) {
            sent[kind] -= count;
        }
        BOOST_TEST(sent["grantRequest"] <= size);
        BOOST_TEST(sent["grantFinish"] == size - 1);
        BOOST_TEST(sent["grantRelease"] == 0U);
        BOOST_TEST_MESSAGE("bytes of a grant in a cell of " << size << ": " << cell.grantBytes() - bytes);
    }
}

BOOST_AUTO_TEST_CASE(refusesAnotherBody)
{
    TestCell cell;
    startCell(cell, { "a", "b", "c" });
    const ClaimId first = cell.claim("a", "key", 1);
    cell.run(1s);
    const ClaimId other = cell.claim("b", "key", 2);
    cell.run(1s);
    BOOST_TEST(cell.isHeld(first));
    BOOST_REQUIRE(cell.refusal(other) != nullptr);
    BOOST_CHECK(cell.refusal(other)->kind == ErrorKind::IdempotencyKeyReused);
}

BOOST_AUTO_TEST_CASE(outcomeIsUnknownWhenTheHolderIsGone)
{
    TestCell cell;
    startCell(cell, { "a", "b", "c" });
    const ClaimId first = cell.claim("a", "key");
    cell.run(1s);
    BOOST_TEST(cell.isHeld(first));
    cell.remove("a");
    const ClaimId again = cell.claim("b", "key");
    cell.run(4s);
    BOOST_REQUIRE(cell.refusal(again) != nullptr);
    BOOST_CHECK(cell.refusal(again)->kind == ErrorKind::OutcomeUnknown);
    BOOST_CHECK(cell.refusal(again)->outcome == Outcome::Unknown);
}

BOOST_AUTO_TEST_CASE(releasedKeyIsGrantedAgain)
{
    TestCell cell;
    startCell(cell, { "a", "b", "c" });
    const ClaimId first = cell.claim("a", "key");
    cell.run(1s);
    cell.finish("a", first, GrantEnd::NotRun, "");
    const ClaimId again = cell.claim("b", "key");
    cell.run(2s);
    BOOST_TEST(cell.isHeld(again));
}

BOOST_AUTO_TEST_CASE(minorityGrantsNothing)
{
    TestCell cell;
    startCell(cell, { "a", "b", "c" });
    cell.partition({ "a" });
    const ClaimId minority = cell.claim("a", "key");
    const ClaimId majority = cell.claim("b", "key");
    cell.run(7s);
    BOOST_TEST(cell.isHeld(majority));
    BOOST_REQUIRE(cell.refusal(minority) != nullptr);
    BOOST_CHECK(cell.refusal(minority)->outcome == Outcome::Unknown);
}

BOOST_AUTO_TEST_CASE(firstStartWaitsOnlyForKeysWithoutTimeOfIssue)
{
    TestCell cell;
    for (const char *vm : { "a", "b", "c" }) {
        cell.add(vm);
        cell.readList(vm, 1, { "a", "b", "c" });
    }
    cell.run(7s);
    // Issued just now: the test clock started 50 years and one hour after the epoch and has run for 7 s.
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(cell.wall().time_since_epoch()).count();
    char key[37];
    std::snprintf(key,
                  sizeof key,
                  "%08llx-%04llx-7000-8000-000000000001",
                  static_cast<unsigned long long>(milliseconds >> 16),
                  static_cast<unsigned long long>(milliseconds & 0xffff));
    const ClaimId timed = cell.claim("a", key);
    const ClaimId opaque = cell.claim("a", "opaque");
    const ClaimId old = cell.claim("a", "00000000-0001-7000-8000-000000000001");
    cell.run(6s);
    BOOST_TEST(cell.isHeld(timed));
    BOOST_TEST(cell.refusal(opaque) != nullptr);
    BOOST_TEST(cell.refusal(old) != nullptr);
    cell.run(20s);
    const ClaimId later = cell.claim("a", "opaque");
    const ClaimId stillOld = cell.claim("a", "00000000-0001-7000-8000-000000000001");
    cell.run(2s);
    BOOST_TEST(cell.isHeld(later));
    BOOST_REQUIRE(cell.refusal(stillOld) != nullptr);
    BOOST_CHECK(cell.refusal(stillOld)->kind == ErrorKind::OutcomeUnknown);
}

BOOST_AUTO_TEST_CASE(grantsSurviveRollingReplacement)
{
    TestCell cell;
    startCell(cell, { "a", "b", "c" });
    const ClaimId first = cell.claim("a", "key");
    cell.run(1s);
    cell.finish("a", first, GrantEnd::Unknown, "");
    cell.run(1s);
    Names members { "a", "b", "c" };
    std::int64_t revision = 1;
    for (const std::string removed : { "a", "b", "c" }) {
        cell.remove(removed);
        members.erase(removed);
        const std::string added = removed + "2";
        members.insert(added);
        cell.add(added);
        ++revision;
        for (const std::string &vm : members) {
            cell.readList(vm, revision, members);
        }
        cell.run(2s);
        BOOST_TEST(cell.node(added).isCaughtUp());
    }
    const ClaimId again = cell.claim("c2", "key");
    cell.run(2s);
    BOOST_REQUIRE(cell.refusal(again) != nullptr);
    BOOST_CHECK(cell.refusal(again)->kind == ErrorKind::OutcomeUnknown);
}

namespace {

/** Two of five members miss a grant, then form a majority of the next view. @return whether the key was granted twice */
bool isGrantedTwiceByLateMinority(GrantRules rules)
{
    TestCell cell;
    startCell(cell, { "a", "b", "c", "d", "e" }, rules);
    cell.partition({ "d", "e", "f" });
    const ClaimId first = cell.claim("a", "key");
    cell.run(2s);
    BOOST_TEST(cell.isHeld(first));
    cell.add("f", rules);
    for (const char *vm : { "d", "e", "f" }) {
        cell.readList(vm, 2, { "d", "e", "f" });
    }
    cell.run(2s);
    const ClaimId second = cell.claim("d", "key");
    cell.run(2s);
    return cell.isHeld(second);
}

} // namespace

BOOST_AUTO_TEST_CASE(everyViewSinceTheLastCaughtUpOneNeedsAQuorum)
{
    BOOST_TEST(!isGrantedTwiceByLateMinority({}));
    GrantRules broken;
    broken.quorumOfEveryView = false;
    BOOST_TEST(isGrantedTwiceByLateMinority(broken));
}

BOOST_AUTO_TEST_CASE(pullIsAnsweredOnlyInItsView)
{
    TestCell cell;
    startCell(cell, { "a", "b", "c" });
    cell.readList("a", 2, { "a", "b" });
    const Schema::ViewPull late { 99, 1, {} };
    const Outputs outputs = cell.node("a").onMessage(VmId("b"), late, cell.now());
    BOOST_REQUIRE(outputs.size() == 1U);
    BOOST_TEST(std::holds_alternative<Schema::ViewNews>(std::get<SendMessage>(outputs[0]).message));
}
