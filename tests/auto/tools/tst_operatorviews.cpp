#define BOOST_TEST_MODULE operatorviews
#include <app/cassiarelayd/operatorviews.h>
#include <app/cassiarelayd/requestlog.h>

#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const MonotonicTime START { 1000s };

Daemon::RequestHead head(const std::string &id)
{
    return { RequestId(id), OrganisationId("agency"), PipelineName("draft"), 1 };
}

Daemon::FleetView view()
{
    Daemon::FleetView view;
    view.settings = Settings::FleetSettings::parse(R"({
        "defaults": {},
        "organisations": [{"name": "agency", "tokenSha256": ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]}],
        "pipelines": [{"name": "draft", "priorityClass": 1, "stages": [{"name": "one", "pool": "models", "path": "/x", "kind": "call"}]}],
        "exceptions": [{"match": {"failureDomain": "hann"}, "set": {"out": true}, "reason": "cooling"}]
    })",
                                                   1);
    Schema::TargetList targets;
    for (const char *domain : { "medina", "hann" }) {
        Schema::TargetEntry target;
        target.target = std::string("models-") + domain;
        target.pool = "models";
        target.address = "127.0.0.1";
        target.port = 1;
        target.failureDomain = domain;
        targets.targets.push_back(target);
    }
    view.targets = std::make_shared<const Routing::TargetTable>(targets, *view.settings);
    return view;
}

} // namespace

BOOST_AUTO_TEST_CASE(aRequestTellsItsStagesAttemptsAndWaits)
{
    Daemon::RequestLog log;
    const RequestId id("r1");
    log.begin(head("r1"), START);
    log.stage(id, StageName("encode"), START + 1ms);
    log.attempt(id, TargetId("e1"), START + 4ms);
    log.attemptEnd(id, TargetId("e1"), Routing::AttemptOutcome::ConnectionLost, START + 10ms);
    log.stage(id, StageName("encode"), START + 10ms);
    log.attempt(id, TargetId("e2"), START + 12ms);
    log.attemptEnd(id, TargetId("e2"), Routing::AttemptOutcome::Succeeded, START + 20ms);
    log.stage(id, StageName("draft"), START + 20ms);
    json request = Daemon::requestJson(*log.find(id));
    BOOST_TEST(request.at("state") == "running");
    BOOST_TEST(request.at("attempts").size() == 3U);
    BOOST_TEST(
        request.at("attempts")[0]
        == json({ { "stage", "encode" }, { "target", "e1" }, { "waitMs", 3.0 }, { "durationMs", 6.0 }, { "outcome", "connection lost" } }));
    BOOST_TEST(request.at("attempts")[1].at("waitMs") == 2.0);
    BOOST_TEST(request.at("attempts")[2].at("outcome") == "waiting for a target");
    log.end(id, ErrorKind::DeadlineExceeded, START + 50ms);
    request = Daemon::requestJson(*log.find(id));
    BOOST_TEST(request.at("state") == "refused");
    BOOST_TEST(request.at("refusal") == "deadline-exceeded");
    BOOST_TEST(request.at("durationMs") == 50.0);
}

BOOST_AUTO_TEST_CASE(theOldestRequestsGoFirst)
{
    constexpr std::size_t CAPACITY = 64;
    Daemon::RequestLog log(CAPACITY);
    std::size_t kept = 0;
    for (int request = 0; request < 1000; ++request) {
        log.begin(head("r" + std::to_string(request)), START);
    }
    for (int request = 0; request < 1000; ++request) {
        kept += log.find(RequestId("r" + std::to_string(request))) ? 1 : 0;
    }
    BOOST_TEST(kept <= CAPACITY);
    BOOST_TEST(log.find(RequestId("r999")).has_value());
    BOOST_TEST(!log.find(RequestId("r0")).has_value());
    log.end(RequestId("r0"), std::nullopt, START);
    BOOST_TEST(!log.find(RequestId("r0")).has_value());
}

BOOST_AUTO_TEST_CASE(aDomainThatIsOutIsShownWithItsReason)
{
    const json domains = Daemon::domainsJson(view());
    BOOST_TEST(domains.size() == 2U);
    BOOST_TEST(domains[0].at("failureDomain") == "hann");
    BOOST_TEST(domains[0].at("out") == true);
    BOOST_TEST(domains[0].at("accepting") == 0);
    BOOST_TEST(domains[0].at("reason") == "cooling");
    BOOST_TEST(domains[1].at("out") == false);
    BOOST_TEST(domains[1].at("accepting") == 1);
}

BOOST_AUTO_TEST_CASE(targetsAndOrganisationsAreSortedByName)
{
    const json targets = Daemon::targetsJson(view());
    BOOST_TEST(targets[0].at("target") == "models-hann");
    BOOST_TEST(targets[0].at("acceptsWork") == false);
    BOOST_TEST(targets[1].at("acceptsWork") == true);
    BOOST_TEST(Daemon::organisationsJson(view())[0].at("organisation") == "agency");
    BOOST_TEST(Daemon::organisationsJson(Daemon::FleetView()).empty());
}

BOOST_AUTO_TEST_CASE(histogramsCarryEveryBucket)
{
    Metrics::Registry registry;
    registry.histogram("seconds", { { "class", "1" } }).record(3ms);
    const json histograms = Daemon::histogramsJson(registry.histograms());
    BOOST_TEST(histograms[0].at("labels").at("class") == "1");
    BOOST_TEST(histograms[0].at("count") == 1);
    BOOST_TEST(histograms[0].at("buckets").size() == Metrics::BUCKET_BOUNDS.size() + 1);
    BOOST_TEST(histograms[0].at("buckets").back().at("upToSeconds").is_null());
}
