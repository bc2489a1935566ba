#define BOOST_TEST_MODULE explain
#include <boost/test/unit_test.hpp>
#include <settings/settings.h>

using namespace CassiaRelay;

namespace {

const char *const DOCUMENT = R"({
    "defaults": {"deadlineMs": 5000, "concurrency": 6},
    "organisations": [
        {"name": "agency", "weight": 2, "tokenSha256": ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]}
    ],
    "pipelines": [
        {"name": "draft", "priorityClass": 1, "deadlineMs": 4000, "stages": [{"name": "one", "pool": "models", "path": "/x", "kind": "call"}]},
        {"name": "tag", "priorityClass": 4, "stages": [{"name": "one", "pool": "models", "path": "/x", "kind": "call"}]}
    ],
    "exceptions": [
        {"match": {"pool": "models"}, "set": {"concurrency": 3}, "reason": "shared memory"},
        {"match": {"target": "m1"}, "set": {"concurrency": 2, "out": true}, "reason": "weak card"},
        {"match": {"failureDomain": "hann"}, "set": {"out": false, "coldConcurrency": 2}, "reason": "warm racks"},
        {"match": {"organisation": "agency"}, "set": {"requestsPerSecond": 20}, "reason": "agreed rate"},
        {"match": {"pipeline": "tag"}, "set": {"deadlineMs": 9000}, "reason": "may be late"}
    ]
})";

const Settings::ExplainedValue &value(const Settings::Explanation &explanation, const std::string &name)
{
    for (const Settings::ExplainedValue &explained : explanation) {
        if (explained.name == name) {
            return explained;
        }
    }
    throw std::runtime_error("no value " + name);
}

std::string source(const Settings::Explanation &explanation, const std::string &name)
{
    return Settings::describe(value(explanation, name).source);
}

} // namespace

BOOST_AUTO_TEST_CASE(namesTheExceptionThatDecides)
{
    const Settings::ConfigurationExplainer explainer(DOCUMENT, 1);
    const auto explanation = explainer.target({ TargetId("m1"), PoolName("models"), FailureDomain("hann") });
    BOOST_TEST(source(explanation, "concurrency") == "exception 1 (target m1): weak card");
    BOOST_TEST(source(explanation, "out") == "exception 1 (target m1): weak card");
    BOOST_TEST(source(explanation, "coldConcurrency") == "exception 2 (failureDomain hann): warm racks");
}

BOOST_AUTO_TEST_CASE(tellsDefaultsFromEntries)
{
    const Settings::ConfigurationExplainer explainer(DOCUMENT, 1);
    const auto organisation = explainer.organisation(OrganisationId("agency"));
    BOOST_TEST(source(organisation, "weight") == "its own entry");
    BOOST_TEST(source(organisation, "organisationConcurrency") == "built-in default");
    BOOST_TEST(source(explainer.pipeline(PipelineName("draft")), "deadlineMs") == "its own entry");
    BOOST_TEST(source(explainer.pipeline(PipelineName("tag")), "deadlineMs") == "exception 4 (pipeline tag): may be late");
    BOOST_TEST(source(explainer.domain(FailureDomain("medina")), "concurrency") == "fleet default");
}

// An explanation must never differ from what the daemon applies.
BOOST_AUTO_TEST_CASE(agreesWithTheValuesInForce)
{
    const Settings::ConfigurationExplainer explainer(DOCUMENT, 1);
    const auto settings = Settings::FleetSettings::parse(DOCUMENT, 1);
    for (const char *target : { "m1", "m2" }) {
        for (const char *pool : { "models", "rerankers" }) {
            for (const char *domain : { "hann", "medina" }) {
                const TargetId id(target);
                const auto explanation = explainer.target({ id, PoolName(pool), FailureDomain(domain) });
                const auto inForce = settings->target(id, PoolName(pool), FailureDomain(domain));
                BOOST_TEST(value(explanation, "concurrency").value == inForce.concurrency);
                BOOST_TEST(value(explanation, "coldConcurrency").value == inForce.coldConcurrency);
                BOOST_TEST(value(explanation, "out").value == inForce.out);
            }
        }
    }
    for (const auto &[name, organisation] : settings->organisations()) {
        const auto explanation = explainer.organisation(name);
        BOOST_TEST(value(explanation, "weight").value == organisation.weight);
        BOOST_TEST(value(explanation, "requestsPerSecond").value == organisation.requestsPerSecond);
        BOOST_TEST(value(explanation, "organisationConcurrency").value == organisation.concurrency);
    }
    for (const auto &[name, pipeline] : settings->pipelines()) {
        const auto explanation = explainer.pipeline(name);
        BOOST_TEST(value(explanation, "deadlineMs").value == pipeline.deadline.count());
        BOOST_TEST(value(explanation, "priorityClass").value == pipeline.priorityClass);
    }
}

BOOST_AUTO_TEST_CASE(refusesUnknownSubjectsAndInvalidDocuments)
{
    const Settings::ConfigurationExplainer explainer(DOCUMENT, 1);
    BOOST_CHECK_EXCEPTION(
        explainer.organisation(OrganisationId("other")), Error, [](const Error &error) { return error.remedy() == "use one of: agency"; });
    BOOST_CHECK_THROW(explainer.pipeline(PipelineName("other")), Error);
    BOOST_CHECK_THROW(Settings::ConfigurationExplainer("{}", 1), Settings::SettingsError);
}
