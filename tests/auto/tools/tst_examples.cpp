#define BOOST_TEST_MODULE examples
#include <tools/cassiarelay/textfile.h>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <settings/settings.h>

#include <map>

using namespace CassiaRelay;

namespace {

const std::vector<std::string> SITES { "dakar", "kuala-lumpur" };

std::string text(const std::string &site, const std::string &file)
{
    return Tool::readTextFile(std::string(CASSIARELAY_SHARE_DIR) + "/" + site + "/" + file);
}

Schema::Document document(std::string_view key, const std::string &site, const std::string &file)
{
    return { std::string(key), 1, text(site, file) };
}

Schema::TargetList targetList(const std::string &site)
{
    return Settings::parseDocument(text(site, "targets.json"), site).get<Schema::TargetList>();
}

Schema::VmList vmList(const std::string &site)
{
    return Settings::parseDocument(text(site, "vms.json"), site).get<Schema::VmList>();
}

} // namespace

BOOST_DATA_TEST_CASE(documentsAreAccepted, SITES, site)
{
    BOOST_CHECK_NO_THROW(Settings::checkPublished(document(Schema::CONFIGURATION_KEY, site, "fleet.json")));
    BOOST_CHECK_NO_THROW(Settings::checkPublished(document(Schema::VM_LIST_KEY, site, "vms.json")));
    BOOST_CHECK_NO_THROW(Settings::checkPublished(document(Schema::TARGET_LIST_KEY, site, "targets.json")));
    BOOST_CHECK_NO_THROW(Settings::parseProcessSettings(text(site, "daemon.json"), site));
}

BOOST_DATA_TEST_CASE(everyStageHasTargetsInThreeFailureDomains, SITES, site)
{
    const Schema::TargetList list = targetList(site);
    std::map<std::string, std::map<std::string, int>> pools;
    for (const Schema::TargetEntry &target : list.targets) {
        ++pools[target.pool][target.failureDomain];
    }
    const auto settings = Settings::FleetSettings::parse(text(site, "fleet.json"), 1);
    for (const auto &[name, pipeline] : settings->pipelines()) {
        for (const Settings::StageSettings &stage : pipeline.stages) {
            BOOST_TEST(pools[stage.pool.value()].size() == 3U);
        }
    }
    BOOST_TEST(settings->organisations().size() == 5U);
}

BOOST_DATA_TEST_CASE(theDaemonIsAVmOfTheList, SITES, site)
{
    const auto daemon = Settings::parseProcessSettings(text(site, "daemon.json"), site);
    const Schema::VmList list = vmList(site);
    bool found = false;
    for (const Schema::VmEntry &vm : list.vms) {
        found = found
            || (vm.vm == daemon.vm.value() && vm.failureDomain == daemon.failureDomain.value() && vm.address == daemon.peers.address
                && vm.peerPort == daemon.peers.port);
    }
    BOOST_TEST(found);
}

BOOST_AUTO_TEST_CASE(whatMayNotRunTwiceIsNotRepeatable)
{
    const auto dakar = Settings::FleetSettings::parse(text("dakar", "fleet.json"), 1);
    BOOST_TEST(dakar->pipeline(PipelineName("renewal"))->needsIdempotencyKey());
    BOOST_TEST(!dakar->pipeline(PipelineName("dossier-review"))->needsIdempotencyKey());
    const auto kualaLumpur = Settings::FleetSettings::parse(text("kuala-lumpur", "fleet.json"), 1);
    BOOST_TEST(kualaLumpur->pipeline(PipelineName("chair-booking"))->needsIdempotencyKey());
    BOOST_TEST(!kualaLumpur->pipeline(PipelineName("stock-lookup"))->needsIdempotencyKey());
    BOOST_TEST(kualaLumpur->pipeline(PipelineName("agreement-draft"))->priorityClass
               < kualaLumpur->pipeline(PipelineName("return-note-tags"))->priorityClass);
}
