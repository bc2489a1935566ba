#include "samples.h"

#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace CassiaRelay::Gateway;
using namespace CassiaRelay::Gateway::Samples;

namespace {

Configuration configuration()
{
    Configuration result;
    Route shallow = route(RouteKind::Safe);
    shallow.prefix = "/a/";
    shallow.name = RouteName("shallow");
    Route deep = shallow;
    deep.prefix = "/a/b/";
    deep.name = RouteName("deep");
    result.routes = { shallow, deep };
    result.organisations = { { OrganisationId("clinic"), { "key-1", "key-2" }, std::nullopt } };
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(routes)

BOOST_AUTO_TEST_CASE(longestPrefixOfTheHostWins)
{
    const RouteTable table(configuration());
    BOOST_REQUIRE(table.route("host.example", "/a/b/c"));
    BOOST_TEST(table.route("host.example", "/a/b/c")->name.value() == "deep");
    BOOST_TEST(table.route("HOST.example:80", "/a/bc")->name.value() == "shallow");
    BOOST_TEST(!table.route("host.example", "/a"));
    BOOST_TEST(!table.route("other.example", "/a/b/"));
}

BOOST_AUTO_TEST_CASE(keysIdentifyTheirOrganisation)
{
    const RouteTable table(configuration());
    BOOST_TEST(table.requiresApiKey());
    BOOST_REQUIRE(table.organisation("key-2"));
    BOOST_TEST(table.organisation("key-2")->id.value() == "clinic");
    BOOST_TEST(!table.organisation("key-3"));
}

BOOST_AUTO_TEST_CASE(servicesArePickedByWeight)
{
    Route split = route(RouteKind::Safe);
    split.services = { { ServiceName("old"), 90 }, { ServiceName("new"), 10 } };
    int newPicks = 0;
    constexpr int DRAWS = 10000;
    for (int draw = 0; draw < DRAWS; ++draw) {
        newPicks += RouteTable::pickService(split, stableHash(std::to_string(draw))).value() == "new" ? 1 : 0;
    }
    BOOST_TEST(newPicks > DRAWS * 8 / 100);
    BOOST_TEST(newPicks < DRAWS * 12 / 100);
}

BOOST_AUTO_TEST_SUITE_END()
