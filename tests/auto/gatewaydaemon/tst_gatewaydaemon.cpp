#define BOOST_TEST_MODULE gatewaydaemon
#include <app/gateway/eventlog.h>
#include <app/gateway/refusalresponse.h>
#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace CassiaRelay::GatewayDaemon;

BOOST_AUTO_TEST_CASE(linesAreNameValuePairs)
{
    BOOST_TEST(formatLine("ended", { { "request", "1" }, { "status", "200" } }) == "event=ended request=1 status=200");
    BOOST_TEST(formatLine("store lost", { { "reason", "status=\"503\"\nagain" }, { "none", "" } })
               == "event=\"store lost\" reason=\"status='503''again\" none=\"\"");
}

BOOST_AUTO_TEST_CASE(refusalsCarryRetryAfter)
{
    const Net::HttpResponse response = refusalResponse({ 503, std::chrono::milliseconds(250), "overloaded" }, RequestId("r"));
    BOOST_TEST(response.status == 503U);
    BOOST_REQUIRE_EQUAL(response.fields.size(), 1U);
    BOOST_TEST(response.fields.front().name == "Retry-After");
    BOOST_TEST(response.fields.front().value == "0.25");
    BOOST_TEST(refusalResponse({ 502, std::nullopt, "lost" }, RequestId("r")).fields.empty());
}
