#include "arguments.h"

#include "exitcode.h"

namespace CassiaRelay::Tool {

namespace options = boost::program_options;

namespace {

std::optional<std::string> optional(const options::variables_map &values, const char *name)
{
    return values.count(name) > 0 ? std::optional(values[name].as<std::string>()) : std::nullopt;
}

options::variables_map parse(const std::vector<std::string> &commandLine)
{
    options::options_description all = optionsDescription();
    all.add_options()("words", options::value<std::vector<std::string>>());
    options::positional_options_description positional;
    positional.add("words", -1);
    options::variables_map values;
    try {
        options::store(options::command_line_parser(commandLine).options(all).positional(positional).run(), values);
    } catch (const options::error &error) {
        throw ToolError(ExitCode::Usage, error.what(), "see cassiarelay --help");
    }
    return values;
}

} // namespace

options::options_description optionsDescription()
{
    options::options_description description("Options");
    const auto text = [] { return options::value<std::string>(); };
    description.add_options()("settings", text()->value_name("FILE"), "settings file of the daemon to ask")("json",
                                                                                                            "print JSON for scripts")(
        "help", "show help; after a command, help on that command")("target", text()->value_name("T"), "explain this target")(
        "pool", text()->value_name("P"), "pool of the target, when no --targets is given")(
        "domain", text()->value_name("D"), "explain this failure domain; with --target, the domain of the target")(
        "organisation", text()->value_name("O"), "explain this organisation")("pipeline", text()->value_name("P"), "explain this pipeline")(
        "targets", text()->value_name("FILE"), "published target list to look the target up in")(
        "config", text()->value_name("FILE"), "fleet configuration to start from; default: the one in force at the daemon")(
        "reason", text()->value_name("TEXT"), "why the failure domain is taken out");
    return description;
}

Arguments parseArguments(const std::vector<std::string> &commandLine)
{
    const options::variables_map values = parse(commandLine);
    Arguments arguments;
    if (values.count("words") > 0) {
        arguments.words = values["words"].as<std::vector<std::string>>();
    }
    arguments.json = values.count("json") > 0;
    arguments.help = values.count("help") > 0;
    arguments.settingsFile = optional(values, "settings").value_or(DEFAULT_SETTINGS_FILE);
    arguments.target = optional(values, "target");
    arguments.pool = optional(values, "pool");
    arguments.domain = optional(values, "domain");
    arguments.organisation = optional(values, "organisation");
    arguments.pipeline = optional(values, "pipeline");
    arguments.targetsFile = optional(values, "targets");
    arguments.configFile = optional(values, "config");
    arguments.reason = optional(values, "reason");
    return arguments;
}

} // namespace CassiaRelay::Tool
