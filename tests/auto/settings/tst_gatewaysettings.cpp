#include <boost/test/unit_test.hpp>
#include <settings/settings.h>

using namespace CassiaRelay;
using namespace CassiaRelay::Settings;

namespace {

const std::string MINIMAL = R"({
    // Comments are allowed.
    "vm": "vm-1", "region": "north", "failureDomain": "a",
    "callers": "127.0.0.1:8001", "readiness": "127.0.0.1:8002", "store": "127.0.0.1:8003"
})";

} // namespace

BOOST_AUTO_TEST_SUITE(gatewaysettings)

BOOST_AUTO_TEST_CASE(defaultsAreFilledIn)
{
    const GatewaySettings settings = parseGatewaySettings(MINIMAL, "test");
    BOOST_TEST(settings.callers.text() == "127.0.0.1:8001");
    BOOST_TEST(settings.metrics.text() == "127.0.0.1:9464");
    BOOST_TEST(!settings.peers.has_value());
    BOOST_TEST((settings.shutdownTime == std::chrono::seconds(8)));
    BOOST_TEST(settings.regions.at(FailureDomain("a")) == "north");
    BOOST_TEST((settings.changeTime == std::chrono::seconds(2)));
}

BOOST_AUTO_TEST_CASE(shortestChangeTimeCounts)
{
    const GatewaySettings settings = parseGatewaySettings(MINIMAL.substr(0, MINIMAL.size() - 2) + ", \"changeMs\": [4000, 3000]}", "test");
    BOOST_TEST((settings.changeTime == std::chrono::seconds(3)));
}

BOOST_AUTO_TEST_CASE(mistakesAreNamedWithARemedy)
{
    for (const std::string &text : { std::string("{}"),
                                     std::string("not json"),
                                     MINIMAL.substr(0, MINIMAL.size() - 1) + ", \"colour\": 1}",
                                     MINIMAL.substr(0, MINIMAL.size() - 1) + ", \"seeds\": [\"nowhere\"]}",
                                     MINIMAL.substr(0, MINIMAL.size() - 1) + ", \"retryRatio\": 7}" }) {
        BOOST_CHECK_EXCEPTION(parseGatewaySettings(text, "test"), Error, [](const Error &error) { return !error.remedy().empty(); });
    }
}

BOOST_AUTO_TEST_SUITE_END()
