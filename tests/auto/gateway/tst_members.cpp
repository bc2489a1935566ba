#include "samples.h"

#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace CassiaRelay::Gateway;
using namespace CassiaRelay::Gateway::Samples;

namespace {

Endpoint endpoint(int number)
{
    return { "127.0.0.1", static_cast<std::uint16_t>(9000 + number) };
}

Member member(int number, std::int64_t incarnation = 1, bool leaving = false)
{
    return { VmId("vm" + std::to_string(number)), endpoint(number), incarnation, leaving };
}

} // namespace

BOOST_AUTO_TEST_SUITE(members)

BOOST_AUTO_TEST_CASE(daemonsFindEachOtherThroughOneSeed)
{
    Members first(VmId("vm0"), endpoint(0));
    first.setSeeds({ endpoint(0), endpoint(1) });
    BOOST_REQUIRE_EQUAL(first.endpointsToGreet().size(), 1U);
    BOOST_TEST(first.onGreeting(member(1), { endpoint(2), endpoint(0) }, START));
    BOOST_TEST(first.endpointsToGreet().size() == 2U);
    BOOST_TEST(first.count() == 2);
}

BOOST_AUTO_TEST_CASE(silentDaemonExpiresAfterASecondAndIsGreetedAgain)
{
    Members first(VmId("vm0"), endpoint(0));
    first.onGreeting(member(1), {}, START);
    BOOST_TEST(first.expire(START + milliseconds(900)).empty());
    BOOST_TEST(first.expire(START + milliseconds(1100)).size() == 1U);
    BOOST_TEST(first.endpointsToGreet().size() == 1U);
}

BOOST_AUTO_TEST_CASE(allDaemonsAgreeOnTheOwnerAndSkipALeavingOne)
{
    constexpr int COUNT = 6;
    const ServiceName service("stage");
    std::set<std::string> owners;
    for (int self = 0; self < COUNT; ++self) {
        Members members(VmId("vm" + std::to_string(self)), endpoint(self));
        for (int other = 0; other < COUNT; ++other) {
            members.onGreeting(member(other), {}, START);
        }
        const std::optional<Member> owner = members.owner(service);
        owners.insert(owner ? owner->vm.value() : "vm" + std::to_string(self));
    }
    BOOST_REQUIRE_EQUAL(owners.size(), 1U);
    const int former = std::stoi(owners.begin()->substr(2));
    Members members(VmId("watcher"), endpoint(99));
    for (int other = 0; other < COUNT; ++other) {
        members.onGreeting(member(other, 1, other == former), {}, START);
    }
    const std::optional<Member> next = members.owner(service);
    BOOST_TEST((!next || next->vm.value() != *owners.begin()));
}

// Regression: after all daemons were restarted under load, orders timed out, and every daemon concluded that their owner was gone.
BOOST_AUTO_TEST_CASE(timedOutOrderDoesNotChangeTheOwner)
{
    const ServiceName service("stage");
    Members members(VmId("vm0"), endpoint(0));
    for (int number = 1; number < 6; ++number) {
        members.onGreeting(member(number), {}, START);
    }
    const std::optional<Member> owner = members.owner(service);
    BOOST_REQUIRE(owner);
    BOOST_TEST(!members.onOrderFailed(owner->vm, START + seconds(1), START + milliseconds(1100)));
    BOOST_TEST(members.availableOwner(service, START + milliseconds(1100))->vm.value() == owner->vm.value());
}

BOOST_AUTO_TEST_CASE(failingOwnerIsTemporarilyReplacedByTheNextInRank)
{
    const ServiceName service("stage");
    Members members(VmId("vm0"), endpoint(0));
    Members other(VmId("vm6"), endpoint(6));
    for (int number = 1; number < 6; ++number) {
        members.onGreeting(member(number), {}, START);
        other.onGreeting(member(number), {}, START);
    }
    other.onGreeting(member(0), {}, START);
    members.onGreeting(member(6), {}, START);
    const std::optional<Member> owner = members.owner(service);
    BOOST_REQUIRE(owner);
    for (Members *daemon : { &members, &other }) {
        BOOST_TEST(daemon->onOrderFailed(owner->vm, START + seconds(5), START));
    }
    const std::optional<Member> next = members.availableOwner(service, START);
    BOOST_REQUIRE(next);
    BOOST_TEST(next->vm.value() != owner->vm.value());
    BOOST_TEST(next->vm.value() == other.availableOwner(service, START)->vm.value());
    BOOST_TEST(members.owner(service)->vm.value() == owner->vm.value());
    BOOST_TEST(members.availableOwner(service, START + seconds(1))->vm.value() == owner->vm.value());
}

BOOST_AUTO_TEST_CASE(olderIncarnationIsIgnored)
{
    Members first(VmId("vm0"), endpoint(0));
    first.onGreeting(member(1, 5), {}, START);
    BOOST_TEST(!first.onGreeting(member(1, 4, true), {}, START));
    BOOST_TEST(!first.alive().front().isLeaving);
    BOOST_TEST(first.onGreeting(member(1, 6), {}, START));
}

BOOST_AUTO_TEST_SUITE_END()
