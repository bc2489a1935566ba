#include "samples.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace CassiaRelay::Gateway;
using namespace CassiaRelay::Gateway::Samples;

namespace {

constexpr milliseconds RECOVERY { 900 };
constexpr milliseconds CALL { 100 };
const auto CHANGE_TIMES = boost::unit_test::data::make(std::vector<int> { 2000, 3000, 4000, 10000, 120000 });

} // namespace

BOOST_AUTO_TEST_SUITE(watchtiming)

BOOST_DATA_TEST_CASE(changeOnASilentConnectionIsKnownInTime, CHANGE_TIMES, changeMs)
{
    const WatchTiming timing = watchTiming(milliseconds(changeMs), RECOVERY);
    // The change comes just after the call was sent, and its connection carries nothing any more.
    BOOST_TEST((timing.wait + RECOVERY + CALL <= milliseconds(changeMs)));
    // The change comes just after a call has returned others.
    BOOST_TEST((timing.interval + CALL <= milliseconds(changeMs)));
}

// Regression: a deployment that allows 4 s was asked once a second by each of 295 daemons, as one that allows 2 s.
BOOST_DATA_TEST_CASE(storeIsAskedAsSeldomAsTheChangeTimeAllows, CHANGE_TIMES, changeMs)
{
    const WatchTiming timing = watchTiming(milliseconds(changeMs), RECOVERY);
    BOOST_TEST((timing.wait >= std::min(milliseconds(changeMs / 2), milliseconds(30000))));
    BOOST_TEST((timing.interval <= timing.wait));
}

BOOST_AUTO_TEST_CASE(tooShortAChangeTimeStillLeavesAWait)
{
    BOOST_TEST((watchTiming(milliseconds(1), RECOVERY).wait > Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()
