#include "samples.h"

#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace CassiaRelay::Gateway;
using namespace CassiaRelay::Gateway::Samples;

namespace {

StoreEntry published(const std::string &id)
{
    return TargetPublished { target(id, "engine") };
}

StoreEntry removed(const std::string &id)
{
    return TargetRemoved { TargetId(id) };
}

StoreEntry configuration(std::int64_t version)
{
    ConfigurationPublished entry;
    entry.configuration.version = version;
    return entry;
}

template<typename Change>
std::size_t count(const CatalogueChanges &changes)
{
    std::size_t number = 0;
    for (const CatalogueChange &change : changes) {
        number += std::holds_alternative<Change>(change) ? 1 : 0;
    }
    return number;
}

} // namespace

BOOST_AUTO_TEST_SUITE(catalogue)

BOOST_AUTO_TEST_CASE(versionsOnlyIncrease)
{
    Catalogue catalogue;
    catalogue.applyListing({ configuration(7) }, 1, START);
    BOOST_TEST(count<TableAdopted>(catalogue.applyChanges({ { configuration(6) }, 2 }, START)) == 0);
    BOOST_TEST(catalogue.table()->version() == 7);
    catalogue.applyListing({ configuration(5) }, 3, START);
    BOOST_TEST(catalogue.table()->version() == 7);
    catalogue.applyChanges({ { configuration(9) }, 4 }, START);
    BOOST_TEST(catalogue.table()->version() == 9);
}

// A copy lists what was published before targets left, domains were disabled and a configuration came into force.
BOOST_AUTO_TEST_CASE(restoredCopyTakesNothingBack)
{
    TargetRecord leaving = target("leaving", "engine");
    leaving.isLeaving = true;
    Catalogue catalogue;
    BOOST_TEST(!catalogue.isNewEra(1));
    catalogue.applyListing({ configuration(7), published("leaving"), published("gone"), published("stays") }, 100, START);
    catalogue.applyChanges(
        { { configuration(9), TargetPublished { leaving }, removed("gone"), published("new"), DomainDisabled { FailureDomain("a") } },
          105 },
        START + seconds(1));
    BOOST_TEST(!catalogue.isNewEra(1));
    BOOST_TEST(catalogue.isNewEra(2));
    const MonotonicTime restoredAt = START + seconds(3);
    const CatalogueChanges changes =
        catalogue.applyListing({ configuration(7), published("leaving"), published("gone"), published("stays") }, 100, restoredAt);
    BOOST_TEST(catalogue.revision() == 100);
    BOOST_TEST(catalogue.table()->version() == 9);
    BOOST_TEST(count<DomainChanged>(changes) == 0);
    BOOST_TEST(count<TargetDropped>(changes) == 0);
    for (const CatalogueChange &change : changes) {
        const auto *adopted = std::get_if<TargetAdopted>(&change);
        if (!adopted) {
            continue;
        }
        BOOST_TEST(adopted->record.id.value() != "gone");
        BOOST_TEST(adopted->record.isLeaving == (adopted->record.id.value() == "leaving"));
    }
    // What is written again within the grace period stays; the rest is withdrawn after it.
    catalogue.applyChanges({ { published("new"), DomainDisabled { FailureDomain("a") } }, 103 }, restoredAt + seconds(1));
    BOOST_TEST(catalogue.expire(restoredAt + seconds(10)).empty());
}

BOOST_AUTO_TEST_CASE(whatIsNotWrittenAgainAfterARestorationIsWithdrawn)
{
    Catalogue catalogue;
    catalogue.isNewEra(1);
    catalogue.applyListing({ published("one"), published("two"), DomainDisabled { FailureDomain("a") } }, 100, START);
    BOOST_TEST(catalogue.isNewEra(2));
    catalogue.applyListing({ published("one") }, 90, START + seconds(1));
    BOOST_REQUIRE(catalogue.nextExpiry());
    BOOST_TEST(catalogue.expire(START + seconds(2)).empty());
    const CatalogueChanges changes = catalogue.expire(START + seconds(5));
    BOOST_TEST(count<TargetDropped>(changes) == 1);
    BOOST_TEST(count<DomainChanged>(changes) == 1);
    BOOST_TEST(!catalogue.nextExpiry());
}

BOOST_AUTO_TEST_CASE(targetThatIsWrittenAgainAfterARestorationIsBack)
{
    Catalogue catalogue;
    catalogue.isNewEra(1);
    catalogue.applyListing({ published("one"), published("two") }, 100, START);
    catalogue.applyChanges({ { removed("one") }, 101 }, START);
    BOOST_TEST(catalogue.isNewEra(2));
    BOOST_TEST(count<TargetAdopted>(catalogue.applyListing({ published("one"), published("two") }, 100, START + seconds(1))) == 1);
    BOOST_TEST(count<TargetAdopted>(catalogue.applyChanges({ { published("one") }, 101 }, START + seconds(2))) == 1);
}

BOOST_AUTO_TEST_CASE(removedTargetIsDroppedImmediately)
{
    Catalogue catalogue;
    catalogue.applyListing({ published("one"), published("two") }, 1, START);
    const CatalogueChanges changes = catalogue.applyChanges({ { removed("one") }, 2 }, START);
    BOOST_TEST(count<TargetDropped>(changes) == 1);
}

BOOST_AUTO_TEST_CASE(expiredEntryIsKeptForAGracePeriodAfterReconnect)
{
    Catalogue catalogue;
    catalogue.setStoreAvailable(START - seconds(4));
    catalogue.applyListing({ published("one"), published("two") }, 1, START - seconds(4));
    catalogue.setStoreUnavailable();
    catalogue.setStoreAvailable(START);
    BOOST_TEST(count<TargetDropped>(catalogue.applyChanges({ { removed("one"), removed("two") }, 2 }, START)) == 0);
    catalogue.setStoreAvailable(START + seconds(1));
    catalogue.applyChanges({ { published("one") }, 3 }, START + seconds(1));
    BOOST_TEST(count<TargetDropped>(catalogue.expire(START + seconds(2))) == 0);
    BOOST_REQUIRE(catalogue.nextExpiry().has_value());
    BOOST_TEST((*catalogue.nextExpiry() <= START + milliseconds(2500)));
    BOOST_TEST(count<TargetDropped>(catalogue.expire(*catalogue.nextExpiry())) == 1);
    BOOST_TEST(!catalogue.nextExpiry().has_value());
}

// Regression (run hunt-a593-11): a target that was removed 0.1 s after the store's return received requests for two more seconds.
BOOST_AUTO_TEST_CASE(targetRemovedAfterReconnectIsDroppedImmediately)
{
    Catalogue catalogue;
    catalogue.applyListing({ published("one") }, 1, START);
    catalogue.setStoreAvailable(START - seconds(4));
    catalogue.setStoreUnavailable();
    catalogue.setStoreAvailable(START);
    catalogue.applyChanges({ {}, 2 }, START);
    catalogue.setStoreAvailable(START + milliseconds(100));
    BOOST_TEST(count<TargetDropped>(catalogue.applyChanges({ { removed("one") }, 3 }, START + milliseconds(100))) == 1);
}

BOOST_AUTO_TEST_CASE(leavingTargetGetsNoGracePeriod)
{
    Catalogue catalogue;
    TargetRecord leaving = target("one", "engine");
    leaving.isLeaving = true;
    catalogue.applyListing({ TargetPublished { leaving } }, 1, START);
    catalogue.setStoreAvailable(START - seconds(4));
    catalogue.setStoreUnavailable();
    catalogue.setStoreAvailable(START);
    BOOST_TEST(count<TargetDropped>(catalogue.applyListing({}, 2, START)) == 1);
}

// Regression (review/5): a target that left just after a call had failed received requests for two more seconds, though the store had been
// away for too short a time for entries of live targets to expire.
BOOST_AUTO_TEST_CASE(shortOutageDelaysNoRemoval)
{
    for (const Duration outage : { Duration(milliseconds(200)), Duration(milliseconds(2300)) }) {
        Catalogue catalogue;
        catalogue.setStoreAvailable(START);
        catalogue.applyListing({ published("one"), published("two") }, 1, START);
        catalogue.setStoreUnavailable();
        catalogue.setStoreAvailable(START + outage);
        BOOST_TEST(count<TargetDropped>(catalogue.applyChanges({ { removed("one") }, 2 }, START + outage)) == 1);
    }
}

BOOST_AUTO_TEST_CASE(listingRestoresADomainThatIsNotListedAsDisabled)
{
    Catalogue catalogue;
    catalogue.applyListing({ DomainDisabled { FailureDomain("a") } }, 1, START);
    const CatalogueChanges changes = catalogue.applyListing({}, 2, START);
    BOOST_REQUIRE_EQUAL(count<DomainChanged>(changes), 1U);
    BOOST_TEST(!std::get<DomainChanged>(changes.front()).isDisabled);
}

BOOST_AUTO_TEST_CASE(restartUnderTheSameIdIsDetected)
{
    Catalogue catalogue;
    catalogue.applyListing({ published("one") }, 1, START);
    TargetRecord again = target("one", "engine");
    again.startedAt = StartTime(milliseconds(2));
    const CatalogueChanges changes = catalogue.applyChanges({ { TargetPublished { again } }, 2 }, START);
    BOOST_REQUIRE_EQUAL(changes.size(), 2U);
    BOOST_TEST(std::get<TargetDropped>(changes.front()).hasRestarted);
}

BOOST_AUTO_TEST_SUITE_END()
