#include "routecall.h"

#include <boost/algorithm/string.hpp>

#include <sstream>

namespace CassiaRelay::StandIns {

namespace {

std::string field(const Net::HttpRequest &request, const char *name)
{
    const auto found = request.find(name);
    return found == request.end() ? std::string() : std::string(found->value());
}

std::vector<std::string> list(const std::string &text)
{
    std::vector<std::string> parts;
    if (!text.empty()) {
        boost::split(parts, text, [](char letter) { return letter == ','; });
    }
    return parts;
}

std::string loadText(const TargetLoad &load)
{
    return std::to_string(load.running) + "," + std::to_string(load.waiting) + "," + std::to_string(load.slots);
}

void addOwnState(std::vector<HttpField> &fields, const TargetLoad &load)
{
    fields.push_back({ "X-Cassiarelay-Instance-Load", loadText(load) });
    if (load.rateLimit) {
        std::ostringstream text;
        text << *load.rateLimit;
        fields.push_back({ "Server-Limit", text.str() });
    }
    if (load.maxRefusals) {
        fields.push_back({ "Server-Brittle", std::to_string(*load.maxRefusals) });
    }
    if (load.isLeaving) {
        fields.push_back({ "Server-Leaving", "1" });
    }
}

} // namespace

bool isStageCall(const std::string &path)
{
    return path == "/api/stage-run";
}

bool isStageFree(const std::string &path)
{
    return path == "/api/stage-free";
}

RouteCall readRouteCall(const Net::HttpRequest &request)
{
    RouteCall call;
    call.id = field(request, "X-Cassiarelay-Request-Id");
    call.expectedInstance = field(request, "X-Cassiarelay-Expect-Instance");
    call.organisation = field(request, "X-Cassiarelay-Tenant");
    const std::string left = field(request, "X-Cassiarelay-Deadline-Ms");
    if (!left.empty()) {
        call.timeLeft = std::chrono::milliseconds(std::strtoll(left.c_str(), nullptr, 10));
    }
    call.hasInputs = request.find("X-Cassiarelay-Inputs") != request.end();
    call.inputs = list(field(request, "X-Cassiarelay-Inputs"));
    for (const std::string &count : list(field(request, "X-Cassiarelay-Pieces"))) {
        call.piecesWanted += static_cast<int>(std::strtol(count.c_str(), nullptr, 10));
    }
    call.lastEvent = static_cast<int>(std::strtol(field(request, "Last-Event-Id").c_str(), nullptr, 10));
    return call;
}

std::vector<HttpField> runFields(const RouteCall &call, const std::string &instance, const TargetLoad &load)
{
    std::vector<HttpField> fields { { "X-Cassiarelay-Request-Id", call.id }, { "X-Cassiarelay-Response-Stamp", instance + "." + call.id } };
    addOwnState(fields, load);
    return fields;
}

std::vector<HttpField> notRunFields(const RouteCall &call, const TargetLoad &load)
{
    std::vector<HttpField> fields { { "X-Cassiarelay-Request-Id", call.id }, { "X-Cassiarelay-Not-Executed", "1" } };
    if (load.retryAfter) {
        std::ostringstream text;
        text << std::chrono::duration<double>(*load.retryAfter).count();
        fields.push_back({ "Retry-After", text.str() });
    }
    addOwnState(fields, load);
    return fields;
}

} // namespace CassiaRelay::StandIns
