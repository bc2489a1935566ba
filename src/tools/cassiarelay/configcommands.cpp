#include "command.h"

#include "table.h"
#include "textfile.h"

#include <settings/settings.h>

#include <ostream>

namespace CassiaRelay::Tool {

using nlohmann::json;

namespace {

ExitCode check(const CommandContext &context)
{
    const std::string &fileName = context.operands.front();
    const std::string text = readTextFile(fileName);
    json problems = json::array();
    try {
        Settings::checkPublished({ std::string(Schema::CONFIGURATION_KEY), 0, text });
    } catch (const Settings::SettingsError &error) {
        for (const Settings::Problem &problem : error.problems()) {
            problems.push_back({ { "path", problem.path }, { "problem", problem.what }, { "remedy", problem.remedy } });
        }
    }
    if (context.arguments.json) {
        context.output << json { { "file", fileName }, { "valid", problems.empty() }, { "problems", problems } }.dump(2) << "\n";
    } else if (problems.empty()) {
        context.output << fileName << ": valid\n";
    } else {
        context.output << renderTable(problems, { "path", "problem", "remedy" });
    }
    return problems.empty() ? ExitCode::Ok : ExitCode::InvalidSettings;
}

Settings::TargetSubject targetSubject(const Arguments &arguments)
{
    if (arguments.pool && arguments.domain) {
        return { TargetId(*arguments.target), PoolName(*arguments.pool), FailureDomain(*arguments.domain) };
    }
    if (!arguments.targetsFile) {
        throw ToolError(ExitCode::Usage,
                        "the pool and failure domain of the target are not known",
                        "add --targets FILE with the published target list, or --pool and --domain");
    }
    const std::string text = readTextFile(*arguments.targetsFile);
    Settings::checkPublished({ std::string(Schema::TARGET_LIST_KEY), 0, text });
    for (const Schema::TargetEntry &entry : Settings::parseDocument(text, *arguments.targetsFile).get<Schema::TargetList>().targets) {
        if (entry.target == *arguments.target) {
            return { TargetId(entry.target), PoolName(entry.pool), FailureDomain(entry.failureDomain) };
        }
    }
    throw ToolError(
        ExitCode::NotFound, "no target '" + *arguments.target + "' in " + *arguments.targetsFile, "see the target ids in that file");
}

Settings::Explanation explanation(const Settings::ConfigurationExplainer &explainer, const Arguments &arguments)
{
    if (arguments.target) {
        return explainer.target(targetSubject(arguments));
    }
    if (arguments.organisation) {
        return explainer.organisation(OrganisationId(*arguments.organisation));
    }
    if (arguments.pipeline) {
        return explainer.pipeline(PipelineName(*arguments.pipeline));
    }
    if (arguments.domain) {
        return explainer.domain(FailureDomain(*arguments.domain));
    }
    throw ToolError(ExitCode::Usage, "what to explain is not given", "add --target T, --organisation O, --pipeline P or --domain D");
}

ExitCode explain(const CommandContext &context)
{
    const Settings::ConfigurationExplainer explainer(readTextFile(context.operands.front()), 0);
    json rows = json::array();
    for (const Settings::ExplainedValue &explained : explanation(explainer, context.arguments)) {
        rows.push_back(
            { { "setting", explained.name }, { "value", explained.value }, { "decidedBy", Settings::describe(explained.source) } });
    }
    context.output << (context.arguments.json ? rows.dump(2) + "\n" : renderTable(rows, { "setting", "value", "decidedBy" }));
    return ExitCode::Ok;
}

} // namespace

std::vector<Command> configCommands()
{
    return {
        { "config check",
          { "FILE" },
          "Checks a fleet configuration with the code that the daemon uses.",
          "cassiarelay config check fleet.json",
          check },
        { "config explain",
          { "FILE" },
          "Shows which default or exception decides each value, with its reason.",
          "cassiarelay config explain fleet.json --target models-hann-1 --targets targets.json",
          explain,
          "(--target T (--targets FILE | --pool P --domain D) | --organisation O | --pipeline P | --domain D)" },
    };
}

} // namespace CassiaRelay::Tool
