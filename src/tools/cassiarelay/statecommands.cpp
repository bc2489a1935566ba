#include "command.h"

#include "histogramchart.h"
#include "table.h"

#include <algorithm>
#include <ostream>

namespace CassiaRelay::Tool {

using nlohmann::json;

namespace {

using Render = std::function<std::string(const json &)>;

ExitCode show(const CommandContext &context, const std::string &path, const Render &render)
{
    const json document = context.read(path);
    context.output << (context.arguments.json ? document.dump(2) + "\n" : render(document));
    return ExitCode::Ok;
}

Command tableCommand(const std::string &name, const std::string &summary, const std::vector<std::string> &columns)
{
    return { name, {}, summary, "cassiarelay " + name, [name, columns](const CommandContext &context) {
                return show(context, name, [&columns](const json &rows) { return renderTable(rows, columns); });
            } };
}

// The id goes into the path of a request; only what a request id is made of may be in it.
std::string checkedRequestId(const std::string &id)
{
    constexpr std::string_view ALLOWED = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    if (id.empty() || id.find_first_not_of(ALLOWED) != std::string::npos) {
        throw ToolError(ExitCode::Usage, "'" + id + "' is not a request id", "give the X-Request-Id of the response");
    }
    return id;
}

ExitCode showRequest(const CommandContext &context)
{
    return show(context, "requests/" + checkedRequestId(context.operands.front()), [](const json &request) {
        json head = request;
        head.erase("attempts");
        return renderObject(head) + "\n"
            + renderTable(request.value("attempts", json::array()), { "stage", "target", "waitMs", "durationMs", "outcome" });
    });
}

} // namespace

std::vector<Command> stateCommands()
{
    return {
        { "status",
          {},
          "Shows the state of the daemon: revisions in force, peers, running requests.",
          "cassiarelay --settings /etc/cassiarelay/cassiarelayd.json status",
          [](const CommandContext &context) { return show(context, "status", renderObject); } },
        tableCommand(
            "vms", "Lists the VMs of the cell and when each was last heard.", { "vm", "failureDomain", "address", "leaving", "silentMs" }),
        tableCommand("targets",
                     "Lists the targets, their limits and whether they take new work.",
                     { "target", "pool", "failureDomain", "acceptsWork", "leaving", "out", "concurrency", "coldConcurrency" }),
        tableCommand("domains",
                     "Lists the failure domains; those out with the reason.",
                     { "failureDomain", "out", "targets", "accepting", "vms", "reason" }),
        tableCommand("organisations",
                     "Lists the organisations with their limits.",
                     { "organisation", "weight", "requestsPerSecond", "concurrency" }),
        { "histograms",
          {},
          "Draws the durations of stages and requests by organisation and class.",
          "cassiarelay histograms",
          [](const CommandContext &context) { return show(context, "histograms", renderHistograms); } },
        { "request",
          { "ID" },
          "Shows the stages, attempts, targets and waits of a recent request.",
          "cassiarelay request vm-1-1733259600000000-17",
          showRequest },
    };
}

} // namespace CassiaRelay::Tool
