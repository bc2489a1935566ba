#include "loadrun.h"
#include "report.h"
#include "svgplot.h"

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>

namespace {

using namespace CassiaRelay;
namespace options = boost::program_options;
using Addresses = std::vector<std::string>;

constexpr int EXIT_BAD_PLAN = 2;
constexpr int EXIT_WRONG_ANSWERS = 3;
constexpr int EXIT_BAD_USAGE = 64;

options::options_description describe()
{
    options::options_description description("cassiarelay-load --plan FILE --daemon ADDRESS:PORT...");
    description.add_options()("plan", options::value<std::string>(), "JSON plan; see the README")(
        "daemon", options::value<Addresses>()->composing(), "a caller address; give all of them")(
        "target", options::value<Addresses>()->composing()->default_value({}, ""), "a stand-in whose totals are reported")(
        "seconds", options::value<double>()->default_value(10), "length of the arrivals")(
        "scale", options::value<double>()->default_value(1), "factor on every rate")(
        "seed", options::value<std::uint64_t>()->default_value(1), "seed of the arrivals")(
        "direct", "the addresses are targets, called without a daemon")("json", options::value<std::string>(), "file for the summary")(
        "svg", options::value<std::string>(), "file for the plot")("help", "show this help");
    return description;
}

Load::Endpoint toEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw Error(ErrorKind::SettingsInvalid, "'" + text + "' has no port", "write ADDRESS:PORT");
    }
    return { text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))) };
}

std::vector<Load::Endpoint> toEndpoints(const Addresses &addresses)
{
    std::vector<Load::Endpoint> endpoints;
    endpoints.reserve(addresses.size());
    for (const std::string &address : addresses) {
        endpoints.push_back(toEndpoint(address));
    }
    return endpoints;
}

int wrongAnswers(const std::vector<Load::CallRecord> &records)
{
    int wrong = 0;
    for (const Load::CallRecord &record : records) {
        wrong += record.ending == Load::Ending::Wrong ? 1 : 0;
    }
    return wrong;
}

int runLoad(const options::variables_map &arguments)
{
    const Load::LoadPlan plan = Load::LoadPlan::load(arguments["plan"].as<std::string>());
    Load::RunOptions run;
    run.endpoints = toEndpoints(arguments["daemon"].as<Addresses>());
    run.length = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(arguments["seconds"].as<double>()));
    run.scale = arguments["scale"].as<double>();
    run.seed = arguments["seed"].as<std::uint64_t>();
    run.direct = arguments.count("direct") > 0;
    const std::vector<Load::CallRecord> records = Load::LoadRun(plan, run).run();
    nlohmann::json summary = Load::summarize(plan, records, run.length);
    summary["seed"] = run.seed;
    summary["scale"] = run.scale;
    if (!arguments["target"].as<Addresses>().empty()) {
        summary["targets"] = Load::targetTotals(toEndpoints(arguments["target"].as<Addresses>()));
    }
    std::cout << Load::tableText(summary);
    if (arguments.count("json") > 0) {
        std::ofstream(arguments["json"].as<std::string>()) << summary.dump(2) << "\n";
    }
    if (arguments.count("svg") > 0) {
        std::ofstream(arguments["svg"].as<std::string>()) << Load::attainmentPlot(plan, records, run.length);
    }
    return wrongAnswers(records) > 0 ? EXIT_WRONG_ANSWERS : EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    const options::options_description description = describe();
    options::variables_map arguments;
    try {
        options::store(options::parse_command_line(argc, argv, description), arguments);
    } catch (const options::error &error) {
        std::cerr << "cassiarelay-load: " << error.what() << "; see cassiarelay-load --help\n";
        return EXIT_BAD_USAGE;
    }
    if (arguments.count("help") > 0 || arguments.count("plan") == 0 || arguments.count("daemon") == 0) {
        std::cout << description;
        return arguments.count("help") > 0 ? EXIT_SUCCESS : EXIT_BAD_USAGE;
    }
    try {
        return runLoad(arguments);
    } catch (const std::exception &error) {
        std::cerr << "cassiarelay-load: " << error.what() << "\n";
        return EXIT_BAD_PLAN;
    }
}
