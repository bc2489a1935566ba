#include "samples.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

using namespace CassiaRelay;
using namespace CassiaRelay::Gateway;
using namespace CassiaRelay::Gateway::Samples;

namespace {

const ServiceName ENGINE("engine");

TargetRecord engine(const std::string &id, const std::string &version)
{
    TargetRecord record = target(id, ENGINE.value());
    record.softwareVersion = version;
    return record;
}

StoreEntry published(const std::string &id, const std::string &version)
{
    return TargetPublished { engine(id, version) };
}

// A caller that has waited since begunAt, and waits for so long in all, resumes now.
RelayRequest resumption(const Route &route, Duration patience, MonotonicTime begunAt, MonotonicTime now)
{
    RelayRequest request;
    request.route = &route;
    request.arrivedAt = now;
    request.deadline = begunAt + patience;
    return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(versionhistory)

BOOST_AUTO_TEST_CASE(versionIsAloneOnlySinceTheDaemonFollowsTheStore)
{
    VersionHistory history;
    history.restart(START);
    BOOST_TEST(!history.soleVersion(ENGINE, START));
    history.add(engine("a", "v1"), START);
    const std::optional<SoleVersion> sole = history.soleVersion(ENGINE, START + seconds(4));
    BOOST_REQUIRE(sole);
    BOOST_TEST(sole->softwareVersion == "v1");
    BOOST_TEST((sole->alone == seconds(4)));
}

BOOST_AUTO_TEST_CASE(versionIsAloneSinceTheLastTargetOfAnotherLeft)
{
    VersionHistory history;
    history.restart(START);
    history.add(engine("a", "v1"), START);
    history.add(engine("b", "v2"), START + seconds(60));
    BOOST_TEST(!history.soleVersion(ENGINE, START + seconds(61)));
    history.remove(TargetId("a"), START + seconds(70));
    BOOST_TEST((history.soleVersion(ENGINE, START + seconds(73))->alone == seconds(3)));
    BOOST_TEST(history.soleVersion(ENGINE, START + seconds(73))->softwareVersion == "v2");
}

BOOST_AUTO_TEST_CASE(targetMayRestartUnderItsIdWithAnotherVersion)
{
    VersionHistory history;
    history.restart(START);
    history.add(engine("a", "v1"), START);
    history.add(engine("a", "v2"), START + seconds(60));
    BOOST_TEST(history.soleVersion(ENGINE, START + seconds(61))->softwareVersion == "v2");
    BOOST_TEST((history.soleVersion(ENGINE, START + seconds(61))->alone == seconds(1)));
}

BOOST_AUTO_TEST_CASE(nothingIsCertainWhileTheStoreIsUnavailableOrAfterAGap)
{
    Catalogue catalogue;
    catalogue.applyListing({ published("a", "v1") }, 1, START);
    BOOST_TEST(catalogue.soleVersion(ENGINE, START + seconds(30)).has_value());
    catalogue.setStoreUnavailable();
    BOOST_TEST(!catalogue.soleVersion(ENGINE, START + seconds(30)).has_value());
    catalogue.setStoreAvailable(START + seconds(40));
    catalogue.applyListing({ published("a", "v1") }, 9, START + seconds(40));
    BOOST_TEST((catalogue.soleVersion(ENGINE, START + seconds(41))->alone == seconds(1)));
}

// Regression: all daemons were killed when the targets of the old version had just left; callers that resumed got the rest of their
// streams from the new version.
BOOST_DATA_TEST_CASE(streamsAreNotJoinedFromTwoVersionsAfterAllDaemonsWereKilled, boost::unit_test::data::xrange(20), seed)
{
    std::mt19937_64 random(static_cast<std::uint64_t>(seed) + 1);
    const auto upTo = [&random](int ms) { return milliseconds(std::uniform_int_distribution<int>(0, ms)(random)); };
    const MonotonicTime removedAt = START + seconds(60);
    const MonotonicTime killedAt = removedAt + upTo(4000) - seconds(2);
    const MonotonicTime listedAt = killedAt + milliseconds(300) + upTo(1000);
    Catalogue catalogue;
    std::vector<StoreEntry> entries { published("new", "v2") };
    if (listedAt < removedAt) {
        entries.push_back(published("old", "v1"));
    }
    catalogue.applyListing(entries, 1, listedAt);
    if (listedAt < removedAt) {
        catalogue.applyChanges({ { TargetRemoved { TargetId("old") } }, 2 }, removedAt);
    }
    const Route stream = route(RouteKind::Stream, 2);
    int mixed = 0;
    for (int number = 0; number < 500; ++number) {
        const MonotonicTime begunAt = killedAt - upTo(14000);
        const bool isOld = begunAt < removedAt && number % 2 == 0;
        const MonotonicTime resumedAt = std::max(listedAt, removedAt) + upTo(12000);
        const RelayRequest request = resumption(stream, seconds(15), begunAt, resumedAt);
        const std::optional<SoleVersion> sole = catalogue.soleVersion(ENGINE, resumedAt);
        const bool goesOn = request.deadline > resumedAt && sole && sole->hasBegunAllStreams(request.maxStreamAge());
        mixed += goesOn && isOld ? 1 : 0;
    }
    BOOST_TEST(mixed == 0);
}

// The age must not follow from the time that is left: patient callers have more of it after the same wait.
BOOST_AUTO_TEST_CASE(streamOfAPatientCallerIsNotTakenForAYoungOne)
{
    const Route stream = route(RouteKind::Stream, 2);
    const RelayRequest request = resumption(stream, seconds(40), START, START + seconds(15));
    BOOST_TEST((request.maxStreamAge() >= seconds(15)));
}

BOOST_AUTO_TEST_CASE(streamsGoOnWhereOneVersionHasServedForLongerThanTheyLast)
{
    Catalogue catalogue;
    catalogue.applyListing({ published("a", "v1"), published("b", "v1") }, 1, START);
    const Route stream = route(RouteKind::Stream, 2);
    const MonotonicTime resumedAt = START + seconds(21);
    for (int age = 0; age < 15; ++age) {
        const RelayRequest request = resumption(stream, seconds(15), resumedAt - seconds(age), resumedAt);
        BOOST_TEST(catalogue.soleVersion(ENGINE, resumedAt)->hasBegunAllStreams(request.maxStreamAge()));
    }
}

BOOST_AUTO_TEST_SUITE_END()
