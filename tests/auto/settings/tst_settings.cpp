#define BOOST_TEST_MODULE settings
#include <boost/test/unit_test.hpp>
#include <settings/settings.h>

using namespace CassiaRelay;

namespace {

const char *const VALID = R"({
    // comments are allowed
    "defaults": {"deadlineMs": 5000},
    "organisations": [{"name": "agency", "tokenSha256": ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]}],
    "pipelines": [{"name": "draft", "priorityClass": 1, "stages": [{"name": "one", "pool": "models", "path": "/x", "kind": "call"}]}],
    "exceptions": [{"match": {"failureDomain": "hann"}, "set": {"out": true}, "reason": "cooling repair"}]
})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

std::size_t problemsOf(const std::string &text)
{
    try {
        Settings::FleetSettings::parse(text, 1);
    } catch (const Settings::SettingsError &error) {
        return error.problems().size();
    }
    return 0;
}

} // namespace

BOOST_AUTO_TEST_CASE(appliesDefaultsAndExceptions)
{
    const auto settings = Settings::FleetSettings::parse(VALID, 7);
    BOOST_TEST(settings->revision() == 7);
    BOOST_TEST(settings->pipeline(PipelineName("draft"))->deadline.count() == 5000);
    BOOST_TEST(settings->isOut(FailureDomain("hann")));
    BOOST_TEST(settings->target(TargetId("t"), PoolName("models"), FailureDomain("hann")).out);
    BOOST_TEST(!settings->target(TargetId("t"), PoolName("models"), FailureDomain("medina")).out);
    BOOST_TEST(settings->organisationByToken("test")->name.value() == "agency");
    BOOST_TEST(settings->organisationByToken("other") == nullptr);
}

BOOST_AUTO_TEST_CASE(refusesWhatCannotBeMeant)
{
    BOOST_TEST(problemsOf(VALID) == 0U);
    BOOST_TEST(problemsOf("{") == 1U);
    BOOST_TEST(problemsOf(replaced(VALID, "cooling repair", "  ")) > 0U);
    BOOST_TEST(problemsOf(replaced(VALID, "deadlineMs", "deadlineSeconds")) > 0U);
    BOOST_TEST(problemsOf(replaced(VALID, "{\"failureDomain\": \"hann\"}", "{\"pool\": \"none\"}")) == 1U);
    BOOST_TEST(problemsOf(replaced(VALID, "\"out\": true", "\"weight\": 2")) == 1U);
}

BOOST_AUTO_TEST_CASE(reportsEveryProblemAtOnce)
{
    const std::string twoProblems = replaced(replaced(VALID, "5000", "-1"), "\"priorityClass\": 1", "\"priorityClass\": 99");
    BOOST_TEST(problemsOf(twoProblems) >= 2U);
}
