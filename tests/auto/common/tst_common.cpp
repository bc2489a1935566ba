#define BOOST_TEST_MODULE common
#include <boost/test/unit_test.hpp>
#include <common/common.h>

#include <set>

using namespace CassiaRelay;

BOOST_AUTO_TEST_CASE(everyErrorKindHasItsOwnNameAndARemedy)
{
    std::set<std::string_view> names;
    constexpr int KINDS = static_cast<int>(ErrorKind::Internal) + 1;
    for (int kind = 0; kind < KINDS; ++kind) {
        names.insert(toString(static_cast<ErrorKind>(kind)));
        BOOST_TEST(!remedyFor(static_cast<ErrorKind>(kind)).empty());
    }
    BOOST_TEST(names.size() == static_cast<std::size_t>(KINDS));
}

BOOST_AUTO_TEST_CASE(anErrorKeepsItsOwnRemedy)
{
    BOOST_TEST(Error(ErrorKind::Overloaded, "full").remedy() == remedyFor(ErrorKind::Overloaded));
    BOOST_TEST(Error(ErrorKind::Overloaded, "full", "wait").remedy() == "wait");
}

// Daemons of different releases must compute the same values.
BOOST_AUTO_TEST_CASE(hashesAreStable)
{
    BOOST_TEST(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    BOOST_TEST(stableHash("") == 0x2d06800538d394c2U);
    BOOST_TEST(stableHash("abc") == 0x78af5f94892f3950U);
    BOOST_TEST(stableHash("abc", 1) != stableHash("abc"));
}

BOOST_AUTO_TEST_CASE(comparesWholeTexts)
{
    BOOST_TEST(constantTimeEquals("token", "token"));
    BOOST_TEST(!constantTimeEquals("token", "tokem"));
    BOOST_TEST(!constantTimeEquals("token", "token2"));
    BOOST_TEST(!constantTimeEquals("", "t"));
}

BOOST_AUTO_TEST_CASE(aSnapshotKeepsWhatReadersHold)
{
    Snapshot<int> snapshot;
    const auto old = snapshot.load();
    snapshot.store(std::make_shared<const int>(7));
    BOOST_TEST(*old == 0);
    BOOST_TEST(*snapshot.load() == 7);
}
