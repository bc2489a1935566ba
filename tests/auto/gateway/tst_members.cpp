#include "simulatedfleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace CassiaRelay::Gateway;
using namespace CassiaRelay::Gateway::Samples;

namespace {

constexpr milliseconds ROUND { 300 };

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
    BOOST_REQUIRE_EQUAL(first.endpointsToGreet(START).size(), 1U);
    BOOST_TEST(first.onGreeting(member(1), { endpoint(2), endpoint(0) }, START));
    BOOST_TEST(first.endpointsToGreet(START + ROUND).size() == 2U);
    BOOST_TEST(first.count() == 2);
}

BOOST_AUTO_TEST_CASE(silentDaemonExpiresAfterASecondAndIsGreetedAgain)
{
    Members first(VmId("vm0"), endpoint(0));
    first.onGreeting(member(1), {}, START);
    BOOST_TEST(first.expire(START + milliseconds(900)).empty());
    BOOST_TEST(first.expire(START + milliseconds(1100)).size() == 1U);
    BOOST_TEST(first.endpointsToGreet(START + milliseconds(1100)).size() == 1U);
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

// Regression: with 81 daemons, greetings to everybody in each round took a third of a small VM's link and processor share.
BOOST_AUTO_TEST_CASE(greetingsOfARoundDoNotGrowWithTheFleet)
{
    constexpr std::size_t MAX_GREETINGS = 16; // members and addresses that were only heard of
    for (const int count : { 6, 12, 81, 380 }) {
        Members members(VmId("vm0"), endpoint(0));
        for (int other = 1; other < count; ++other) {
            members.onGreeting(member(other), { endpoint(other + 1000) }, START);
        }
        BOOST_TEST(members.endpointsToGreet(START + ROUND).size() <= MAX_GREETINGS);
    }
}

// Each daemon greets with a bounded number of greetings a round, loses none that responds, and greets every one of them.
BOOST_AUTO_TEST_CASE(daemonsOfALargeFleetStayKnown)
{
    constexpr int COUNT = 81;
    Members members(VmId("vm0"), endpoint(0));
    for (int other = 1; other < COUNT; ++other) {
        members.onGreeting(member(other), {}, START);
    }
    std::set<std::string> greeted;
    for (MonotonicTime now = START + ROUND; now < START + seconds(30); now += ROUND) {
        BOOST_TEST(members.expire(now).empty());
        for (const Endpoint &to : members.endpointsToGreet(now)) {
            greeted.insert(to.text());
            members.onGreeting(member(to.port - endpoint(0).port), {}, now);
        }
    }
    BOOST_TEST(greeted.size() == COUNT - 1U);
    BOOST_TEST(members.count() == COUNT);
}

BOOST_AUTO_TEST_CASE(lostDaemonIsNoticedWithinASecondWhileItIsFollowed)
{
    constexpr int COUNT = 81;
    Members members(VmId("vm0"), endpoint(0));
    for (int other = 1; other < COUNT; ++other) {
        members.onGreeting(member(other), {}, START);
    }
    const MonotonicTime later = START + seconds(5);
    members.follow(VmId("vm7"), later);
    BOOST_TEST(members.expire(later + milliseconds(900)).empty());
    const std::vector<Endpoint> greeted = members.endpointsToGreet(later + milliseconds(900));
    BOOST_TEST(std::any_of(greeted.begin(), greeted.end(), [](const Endpoint &to) { return to.text() == endpoint(7).text(); }));
    const std::vector<Member> lost = members.expire(later + milliseconds(1100));
    BOOST_REQUIRE_EQUAL(lost.size(), 1U);
    BOOST_TEST(lost.front().vm.value() == "vm7");
}

BOOST_AUTO_TEST_CASE(daemonsWithTheSameViewNeedNoList)
{
    Members first(VmId("vm0"), endpoint(0));
    Members second(VmId("vm1"), endpoint(1));
    first.onGreeting(member(2), {}, START);
    second.onGreeting(member(2), {}, START);
    const auto greet = [](const Members &from, int number, Members &to) {
        Member sender = member(number);
        sender.knownDaemonsHash = from.knownDaemonsHash();
        to.onGreeting(sender, {}, START);
    };
    greet(second, 1, first);
    BOOST_TEST(!first.daemonsToName(endpoint(1)).empty());
    greet(first, 0, second);
    greet(second, 1, first);
    BOOST_TEST(first.daemonsToName(endpoint(1)).empty());
    BOOST_TEST(!first.daemonsToName(endpoint(2)).empty());
}

// Regression: with 295 daemons that come and go, each of 54 greetings a second and daemon named all the others.
BOOST_AUTO_TEST_CASE(greetingsToDaemonsThatKnowOthersNameABoundedPart)
{
    constexpr int COUNT = 380;
    constexpr std::size_t MAX_NAMED = 32;
    Members members(VmId("vm0"), endpoint(0));
    for (int other = 1; other < COUNT; ++other) {
        Member greeting = member(other);
        greeting.knownDaemonsHash = other;
        members.onGreeting(greeting, {}, START);
    }
    std::set<std::string> named;
    for (int greeting = 0; greeting < 12; ++greeting) {
        const std::vector<Endpoint> part = members.daemonsToName(endpoint(7));
        BOOST_TEST(part.size() == MAX_NAMED);
        for (const Endpoint &daemon : part) {
            named.insert(daemon.text());
        }
    }
    BOOST_TEST(named.size() == COUNT - 1U);
}

// Regression: a restarted daemon must not learn the size of the fleet only in parts.
BOOST_AUTO_TEST_CASE(greetingToADaemonThatKnowsNoOtherNamesAll)
{
    constexpr int COUNT = 380;
    Members members(VmId("vm0"), endpoint(0));
    for (int other = 1; other < COUNT; ++other) {
        members.onGreeting(member(other), {}, START);
    }
    Member started = member(7);
    started.knownDaemonsHash = Members(started.vm, started.endpoint).knownDaemonsHash();
    members.onGreeting(started, {}, START);
    BOOST_TEST(members.daemonsToName(started.endpoint).size() == COUNT - 1U);
}

BOOST_AUTO_TEST_CASE(hashOfKnownDaemonsFollowsAddressesAndLosses)
{
    Members members(VmId("vm0"), endpoint(0));
    const std::uint64_t alone = members.knownDaemonsHash();
    members.onGreeting(member(1), {}, START);
    const std::uint64_t first = members.knownDaemonsHash();
    Member moved = member(1);
    moved.endpoint = endpoint(2);
    members.onGreeting(moved, {}, START + seconds(1));
    const std::uint64_t second = members.knownDaemonsHash();
    BOOST_TEST(alone != first);
    BOOST_TEST(first != second);
    BOOST_TEST(members.expire(START + seconds(60)).size() == 1U);
    BOOST_TEST(members.knownDaemonsHash() == alone);
}

// All daemons start together with their seeds only; callers come ten seconds after the VMs.
BOOST_DATA_TEST_CASE(daemonsThatStartTogetherFindEachOtherBeforeTrafficStarts,
                     boost::unit_test::data::make(std::vector<int> { 7, 63, 295, 380 }),
                     vms)
{
    SimulatedFleet fleet(
        vms, [](int, int) {}, START);
    for (int vm = 0; vm < vms; ++vm) {
        fleet.kill(vm);
    }
    for (int vm = 0; vm < vms; ++vm) {
        fleet.start(vm);
    }
    MonotonicTime now = START;
    for (; now < START + seconds(10); now += milliseconds(10)) {
        fleet.exchangeGreetings(now);
    }
    for (int vm = 0; vm < vms; ++vm) {
        BOOST_TEST(fleet.members(vm).maxKnownCount().value_or(0) == vms);
    }
}

// Regression: a VM with a tenth of a core and a slow link collected the pieces of the whole fleet while larger ones were idle.
BOOST_AUTO_TEST_CASE(piecesAreCollectedWhereTheCapacityIs)
{
    constexpr double SMALL = 0.12;
    constexpr double LARGE = 0.5;
    constexpr int COUNT = 40;
    for (int service = 0; service < 20; ++service) {
        const ServiceName name("stage" + std::to_string(service));
        std::set<std::string> owners;
        for (int self = 0; self < COUNT; ++self) {
            const auto capacity = [](int number) { return number % 10 == 0 ? LARGE : SMALL; };
            Members members(VmId("vm" + std::to_string(self)), endpoint(self), capacity(self));
            for (int other = 0; other < COUNT; ++other) {
                Member greeting = member(other);
                greeting.capacity = capacity(other);
                members.onGreeting(greeting, {}, START);
            }
            const std::optional<Member> owner = members.owner(name);
            BOOST_TEST((owner ? owner->capacity : capacity(self)) == LARGE);
            owners.insert(owner ? owner->vm.value() : "vm" + std::to_string(self));
        }
        BOOST_TEST(owners.size() == 1U);
    }
}

// Regression: a restarted daemon of a fleet of 81 took a twelfth of the shared limits until it had heard the others.
BOOST_AUTO_TEST_CASE(firstGreetingTellsTheSizeOfTheFleet)
{
    Members members(VmId("vm0"), endpoint(0));
    members.setSeeds({ endpoint(1) });
    BOOST_TEST(!members.maxKnownCount().has_value());
    constexpr int COUNT = 81;
    std::vector<Endpoint> known;
    known.reserve(COUNT);
    for (int other = 0; other < COUNT; ++other) {
        known.push_back(endpoint(other));
    }
    members.onGreeting(member(1), known, START);
    BOOST_TEST(members.maxKnownCount().value_or(0) == COUNT);
    members.expire(START + seconds(60));
    BOOST_TEST(members.maxKnownCount().value_or(0) == COUNT);
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

// A daemon of an earlier version would answer a request that is handed over with 404.
BOOST_AUTO_TEST_CASE(requestsAreHandedOverOnlyToDaemonsThatTakeThem)
{
    const ServiceName service("engine");
    const auto any = [](const Member &) { return true; };
    Members members(VmId("vm-0"), { "10.0.0.1", 1000 });
    Member other { VmId("vm-1"), { "10.0.0.1", 1001 }, 1, false };
    members.onGreeting(other, {}, START);
    BOOST_TEST(members.receiver(service, 1, START, any).has_value());
    other.takesHandovers = false;
    members.onGreeting(other, {}, START);
    BOOST_TEST(!members.receiver(service, 1, START, any).has_value());
    other.takesHandovers = true;
    other.blockedServices = { service };
    members.onGreeting(other, {}, START);
    BOOST_TEST(!members.receiver(service, 1, START, any).has_value());
    BOOST_TEST(members.receiver(ServiceName("desk"), 1, START, any).has_value());
    other.blockedServices = {};
    members.onGreeting(other, {}, START);
    members.avoid(other.vm, START);
    BOOST_TEST(!members.receiver(service, 1, START, any).has_value());
    BOOST_TEST(members.receiver(service, 1, START + seconds(2), any).has_value());
}

// Owners that reached no target of their service kept the pieces of all daemons.
BOOST_AUTO_TEST_CASE(daemonsThatReachNoTargetOwnNothing)
{
    const ServiceName service("stage");
    Members members(VmId("vm-0"), { "10.0.0.1", 1000 });
    for (int vm = 1; vm < 4; ++vm) {
        Member other { VmId("vm-" + std::to_string(vm)), { "10.0.0.1", static_cast<std::uint16_t>(1000 + vm) }, 1, false };
        other.blockedServices = { service };
        members.onGreeting(other, {}, START);
    }
    BOOST_TEST(!members.owner(service).has_value());
    // When no daemon reaches a target, all agree on one owner as before.
    members.setBlockedServices({ service });
    Members same(VmId("vm-0"), { "10.0.0.1", 1000 });
    for (int vm = 1; vm < 4; ++vm) {
        same.onGreeting({ VmId("vm-" + std::to_string(vm)), { "10.0.0.1", static_cast<std::uint16_t>(1000 + vm) }, 1, false }, {}, START);
    }
    BOOST_TEST(members.owner(service).has_value() == same.owner(service).has_value());
    Member reaching { VmId("vm-2"), { "10.0.0.1", 1002 }, 1, false };
    members.onGreeting(reaching, {}, START);
    BOOST_REQUIRE(members.owner(service));
    BOOST_TEST(members.owner(service)->vm == VmId("vm-2"));
}

BOOST_AUTO_TEST_SUITE_END()
