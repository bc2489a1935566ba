#define BOOST_TEST_MODULE commands
#include <tools/cassiarelay/command.h>
#include <tools/cassiarelay/suggestion.h>
#include <tools/cassiarelay/textfile.h>

#include <boost/test/unit_test.hpp>
#include <settings/settings.h>

#include <iterator>
#include <map>
#include <sstream>

using namespace CassiaRelay;
using nlohmann::json;

namespace {

const std::string SHARE_DIR = CASSIARELAY_SHARE_DIR;
const std::string FLEET = SHARE_DIR + "/dakar/fleet.json";

struct Result {
    Tool::ExitCode exitCode;
    std::string output;
    std::string notes;
};

using Answers = std::map<std::string, json>;

Result run(const std::vector<std::string> &commandLine, const Answers &answers = {})
{
    const auto connect = [&answers](const Tool::Arguments & /*arguments*/) -> Tool::AdminReader {
        return [&answers](const std::string &path) {
            const auto found = answers.find(path);
            if (found == answers.end()) {
                throw Tool::ToolError(Tool::ExitCode::Unreachable, "refused", "start the daemon");
            }
            return found->second;
        };
    };
    std::ostringstream output;
    std::ostringstream notes;
    const Tool::ExitCode exitCode = Tool::runCommandLine(commandLine, connect, output, notes);
    return { exitCode, output.str(), notes.str() };
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

bool has(const Result &result, Tool::ExitCode exitCode)
{
    return result.exitCode == exitCode;
}

Answers domains()
{
    return { { "domains", json::array({ { { "failureDomain", "medina" } }, { { "failureDomain", "hann" } } }) },
             { "configuration", { { "revision", 4 }, { "text", Tool::readTextFile(FLEET) } } } };
}

} // namespace

BOOST_AUTO_TEST_CASE(everyCommandHasHelpWithAnExample)
{
    const std::string help = run({ "--help" }).output;
    const std::string manual = Tool::readTextFile(SHARE_DIR + "/man/cassiarelay.1");
    const std::string completion = Tool::readTextFile(SHARE_DIR + "/completions/cassiarelay");
    for (const Tool::Command &command : Tool::commands()) {
        std::istringstream words(command.name);
        using Words = std::istream_iterator<std::string>;
        std::vector<std::string> commandLine(Words { words }, Words {});
        for (const std::string &word : commandLine) {
            BOOST_TEST(contains(completion, word));
        }
        BOOST_TEST(contains(help, command.name));
        BOOST_TEST(
            (contains(manual, ".B " + command.name) || contains(manual, "\"" + command.name) || contains(manual, ".BI " + command.name)));
        commandLine.emplace_back("--help");
        const Result result = run(commandLine);
        BOOST_TEST(has(result, Tool::ExitCode::Ok));
        BOOST_TEST(contains(result.output, "Example:\n    cassiarelay "));
        BOOST_TEST(contains(command.example, command.name));
    }
    BOOST_TEST(contains(run({ "domain", "out", "--help" }).output, "domain out NAME --reason TEXT [--config FILE]"));
    const auto description = Tool::optionsDescription();
    for (const auto &option : description.options()) {
        BOOST_TEST(contains(completion, "--" + option->long_name()));
        BOOST_TEST(contains(manual, "\\-\\-" + option->long_name()));
    }
}

BOOST_AUTO_TEST_CASE(wrongCommandLinesNameTheRemedy)
{
    BOOST_TEST(has(run({}), Tool::ExitCode::Usage));
    const Result misspelt = run({ "staus" });
    BOOST_TEST(has(misspelt, Tool::ExitCode::Usage));
    BOOST_TEST(contains(misspelt.notes, "did you mean 'status'?"));
    BOOST_TEST(contains(run({ "config", "chek", "x" }).notes, "did you mean 'config check'?"));
    BOOST_TEST(has(run({ "--unknown" }), Tool::ExitCode::Usage));
    BOOST_TEST(contains(run({ "config", "check" }).notes, "use: cassiarelay config check FILE"));
    BOOST_TEST(has(run({ "domain", "out", "hann" }, domains()), Tool::ExitCode::Usage));
    BOOST_TEST(has(run({ "request", "../status" }), Tool::ExitCode::Usage));
    BOOST_TEST(has(run({ "config", "explain", FLEET, "--target", "models-0" }), Tool::ExitCode::Usage));
}

BOOST_AUTO_TEST_CASE(suggestsOnlyWhatIsNear)
{
    BOOST_TEST(*Tool::suggestion("targts", { "status", "targets" }) == "targets");
    BOOST_TEST(!Tool::suggestion("xyzzyx", { "status", "targets" }).has_value());
    BOOST_TEST(!Tool::suggestion("ab", { "vms" }).has_value());
}

BOOST_AUTO_TEST_CASE(anUnreachableDaemonHasItsOwnExitCode)
{
    const Result result = run({ "status" });
    BOOST_TEST(has(result, Tool::ExitCode::Unreachable));
    BOOST_TEST(contains(result.notes, "start the daemon"));
}

BOOST_AUTO_TEST_CASE(showsTablesAndJson)
{
    const Answers answers {
        { "targets",
          json::array({ { { "target", "models-0" }, { "acceptsWork", true } }, { { "target", "m1" }, { "acceptsWork", false } } }) },
        { "status",
          { { "vm", "vm-0" },
            { "revisions", { { "config", 4 } } },
            { "peers", json::array({ { { "vm", "vm-1" }, { "silentMs", 12 } } }) } } },
    };
    const Result table = run({ "targets" }, answers);
    BOOST_TEST(contains(table.output, "TARGET    POOL  FAILURE DOMAIN  ACCEPTS WORK"));
    BOOST_TEST(contains(table.output, "models-0  -     -               yes"));
    BOOST_TEST(json::parse(run({ "targets", "--json" }, answers).output) == answers.at("targets"));
    const Result status = run({ "status" }, answers);
    BOOST_TEST(contains(status.output, "revisions.config  4"));
    BOOST_TEST(contains(status.output, "\nPEERS\nSILENT MS  VM\n12         vm-1\n"));
}

BOOST_AUTO_TEST_CASE(drawsHistograms)
{
    const json histogram = {
        { "name", "stage" },
        { "labels", { { "organisation", "agency" } } },
        { "count", 5 },
        { "sumSeconds", 0.05 },
        { "maxSeconds", 2.0 },
        { "quantiles", json::array({ { { "quantile", 0.99 }, { "seconds", 1.5 } } }) },
        { "buckets",
          json::array({ { { "upToSeconds", 0.001 }, { "count", 0 } },
                        { { "upToSeconds", 0.01 }, { "count", 4 } },
                        { { "upToSeconds", 1.0 }, { "count", 0 } },
                        { { "upToSeconds", nullptr }, { "count", 1 } } }) },
    };
    const std::string text = run({ "histograms" }, { { "histograms", json::array({ histogram }) } }).output;
    BOOST_TEST(contains(text, "stage  organisation=agency\n  count 5  mean 10 ms  p99 1.5 s  max 2 s\n"));
    BOOST_TEST(
        contains(text, "    <= 10 ms |" + std::string(40, '#') + " 4\n      <= 1 s | 0\n      longer |" + std::string(10, '#') + " 1\n"));
    BOOST_TEST(!contains(text, "<= 1 ms"));
    BOOST_TEST(run({ "histograms" }, { { "histograms", json::array() } }).output == "no samples yet\n");
}

BOOST_AUTO_TEST_CASE(checksConfigurations)
{
    BOOST_TEST(has(run({ "config", "check", FLEET }), Tool::ExitCode::Ok));
    BOOST_TEST(has(run({ "config", "check", SHARE_DIR + "/none.json" }), Tool::ExitCode::InvalidSettings));
    const Result invalid = run({ "config", "check", SHARE_DIR + "/dakar/vms.json", "--json" });
    BOOST_TEST(has(invalid, Tool::ExitCode::InvalidSettings));
    BOOST_TEST(!json::parse(invalid.output).at("problems").empty());
}

BOOST_AUTO_TEST_CASE(explainsATargetOfThePublishedList)
{
    const std::string targets = SHARE_DIR + "/dakar/targets.json";
    const Result result = run({ "config", "explain", FLEET, "--target", "models-4", "--targets", targets, "--json" });
    BOOST_TEST(has(result, Tool::ExitCode::Ok));
    BOOST_TEST(json::parse(result.output).at(1).at("decidedBy") == "fleet default");
    BOOST_TEST(has(run({ "config", "explain", FLEET, "--target", "none", "--targets", targets }), Tool::ExitCode::NotFound));
}

BOOST_AUTO_TEST_CASE(takesAFailureDomainOutAndBackIn)
{
    const Result out = run({ "domain", "out", "hann", "--reason", "cooling repair" }, domains());
    BOOST_TEST(has(out, Tool::ExitCode::Ok));
    BOOST_TEST(contains(out.notes, "Nothing has been written"));
    BOOST_TEST(contains(out.notes, "Comments of the original are not in it"));
    BOOST_TEST(Settings::FleetSettings::parse(out.output, 5)->isOut(FailureDomain("hann")));

    Answers changed = domains();
    changed["configuration"]["text"] = out.output;
    BOOST_TEST(has(run({ "domain", "out", "hann", "--reason", "again" }, changed), Tool::ExitCode::Usage));
    const Result in = run({ "domain", "in", "hann" }, changed);
    BOOST_TEST(has(in, Tool::ExitCode::Ok));
    const auto settings = Settings::FleetSettings::parse(in.output, 6);
    BOOST_TEST(!settings->isOut(FailureDomain("hann")));
    BOOST_TEST(settings->exceptions().size() == Settings::FleetSettings::parse(Tool::readTextFile(FLEET), 1)->exceptions().size());
    BOOST_TEST(has(run({ "domain", "in", "hann" }, domains()), Tool::ExitCode::NotFound));
}

BOOST_AUTO_TEST_CASE(refusesAFailureDomainThatIsNotPublished)
{
    const Result result = run({ "domain", "out", "han", "--reason", "x" }, domains());
    BOOST_TEST(has(result, Tool::ExitCode::NotFound));
    BOOST_TEST(contains(result.notes, "did you mean 'hann'?"));
}

BOOST_AUTO_TEST_CASE(aBlankReasonIsRefusedAsTheDaemonWould)
{
    BOOST_TEST(has(run({ "domain", "out", "hann", "--reason", "  " }, domains()), Tool::ExitCode::InvalidSettings));
}
