#include "command.h"

#include "domainexception.h"
#include "suggestion.h"
#include "textfile.h"

#include <schema/schema.h>

#include <algorithm>
#include <ostream>

namespace CassiaRelay::Tool {

using nlohmann::json;

namespace {

std::string configurationText(const CommandContext &context)
{
    if (context.arguments.configFile) {
        return readTextFile(*context.arguments.configFile);
    }
    return context.read("configuration").at("text").get<std::string>();
}

// The configuration does not list the domains; the daemon knows them from the published lists.
void checkDomainExists(const CommandContext &context, const std::string &domain)
{
    if (context.arguments.configFile) {
        return;
    }
    std::vector<std::string> names;
    for (const json &row : context.read("domains")) {
        names.push_back(row.at("failureDomain").get<std::string>());
    }
    if (std::find(names.begin(), names.end(), domain) != names.end()) {
        return;
    }
    const std::optional<std::string> nearest = suggestion(domain, names);
    throw ToolError(ExitCode::NotFound,
                    "there is no failure domain '" + domain + "'",
                    nearest ? "did you mean '" + *nearest + "'?" : "see cassiarelay domains");
}

ExitCode print(const CommandContext &context, const std::string &document)
{
    context.output << document;
    context.notes << "Nothing has been written: publish this document at " << Schema::CONFIGURATION_KEY
                  << ". Comments of the original are not in it.\n";
    return ExitCode::Ok;
}

ExitCode takeOut(const CommandContext &context)
{
    if (!context.arguments.reason) {
        throw ToolError(ExitCode::Usage, "a failure domain is taken out with a reason", "add --reason TEXT");
    }
    const std::string &domain = context.operands.front();
    checkDomainExists(context, domain);
    return print(context, withDomainOut(configurationText(context), domain, *context.arguments.reason));
}

ExitCode takeIn(const CommandContext &context)
{
    return print(context, withDomainIn(configurationText(context), context.operands.front()));
}

} // namespace

std::vector<Command> domainCommands()
{
    return {
        { "domain out",
          { "NAME" },
          "Prints the fleet configuration that takes a failure domain out; nothing is written.",
          "cassiarelay domain out hann --reason 'cooling repair until 18:00' > fleet.json",
          takeOut,
          "--reason TEXT [--config FILE]" },
        { "domain in",
          { "NAME" },
          "Prints the fleet configuration that brings a failure domain back; nothing is written.",
          "cassiarelay domain in hann > fleet.json",
          takeIn,
          "[--config FILE]" },
    };
}

} // namespace CassiaRelay::Tool
