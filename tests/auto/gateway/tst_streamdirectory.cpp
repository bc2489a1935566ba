#include "samples.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace CassiaRelay::Gateway;
using namespace CassiaRelay::Gateway::Samples;

namespace {

constexpr std::size_t COPIES = 2;
constexpr std::size_t ASKED = 4;

VmId vmId(int vm)
{
    return VmId("vm" + std::to_string(vm));
}

// What one daemon hears while the given others are lost.
Members membersOf(int self, int vms, const std::set<int> &lost)
{
    Members members(vmId(self), { "127.0.0.1", static_cast<std::uint16_t>(9000 + self) });
    for (int vm = 0; vm < vms; ++vm) {
        if (vm != self && lost.count(vm) == 0) {
            members.onGreeting({ vmId(vm), { "127.0.0.1", static_cast<std::uint16_t>(9000 + vm) }, 1, false }, {}, START);
        }
    }
    return members;
}

std::set<VmId> ranked(const Members &members, const std::string &stream, std::size_t count)
{
    std::set<VmId> vms;
    for (const Member &member : members.ranked(stream, count)) {
        vms.insert(member.vm);
    }
    return vms;
}

} // namespace

BOOST_AUTO_TEST_SUITE(streamdirectory)

BOOST_AUTO_TEST_CASE(originIsKnownForAMinute)
{
    StreamDirectory directory;
    directory.record(RequestId("a"), { ServiceName("engine"), "v1" }, START);
    directory.record(RequestId("b"), { ServiceName("engine"), "v2" }, START);
    directory.record(RequestId("a"), { ServiceName("engine"), "v1" }, START + seconds(50));
    directory.removeExpired(START + seconds(70));
    BOOST_REQUIRE(directory.find(RequestId("a")));
    BOOST_TEST(directory.find(RequestId("a"))->softwareVersion == "v1");
    BOOST_TEST(!directory.find(RequestId("b")));
    directory.removeExpired(START + seconds(120));
    BOOST_TEST(directory.size() == 0U);
}

BOOST_AUTO_TEST_CASE(numberOfRecordsIsBounded)
{
    StreamDirectory directory;
    for (int stream = 0; stream < 50000; ++stream) {
        directory.record(RequestId(std::to_string(stream)), { ServiceName("engine"), "v1" }, START);
    }
    BOOST_TEST(directory.size() <= 20000U);
    BOOST_TEST(directory.find(RequestId("49999")).has_value());
}

// The daemon that served the stream is lost with another one; a third one has just restarted and hears all, but knows nothing.
BOOST_DATA_TEST_CASE(lostDaemonsLeaveACopyWhereOthersAsk, boost::unit_test::data::make(std::vector<int> { 7, 63, 81, 380 }), vms)
{
    int found = 0;
    constexpr int STREAMS = 60;
    const int origin = 0;
    const int lost = 1;
    const int restarted = 2;
    const int resumer = 3;
    const Members atOrigin = membersOf(origin, vms, {});
    const Members atResumer = membersOf(resumer, vms, { origin, lost });
    for (int number = 0; number < STREAMS; ++number) {
        const std::string stream = "stream-" + std::to_string(number);
        std::set<VmId> holders = ranked(atOrigin, stream, COPIES);
        holders.erase(vmId(lost));
        holders.erase(vmId(restarted));
        const std::set<VmId> asked = ranked(atResumer, stream, ASKED);
        const bool isFound = holders.count(vmId(resumer)) > 0
            || std::any_of(asked.begin(), asked.end(), [&holders](const VmId &vm) { return holders.count(vm) > 0; });
        found += isFound ? 1 : 0;
    }
    // Both copies are lost with the daemon that died and the one that restarted: one stream in fifteen at seven daemons.
    BOOST_TEST(found * 10 >= STREAMS * 8);
}

BOOST_AUTO_TEST_CASE(loneDaemonHasNobodyToAsk)
{
    BOOST_TEST(membersOf(0, 1, {}).ranked("stream", ASKED).empty());
}

BOOST_AUTO_TEST_SUITE_END()
