#include "placementmessages.h"

#include <algorithm>

namespace CassiaRelay::GatewayDaemon {

namespace {

constexpr std::int64_t MAX_TOKENS = 100'000'000;                    // larger prompts fit into no target
constexpr std::int64_t MAX_INPUT_BYTES = 1'000'000'000'000;         // larger inputs fit into no target
constexpr std::chrono::milliseconds MAX_REQUEST_TIME { 3'600'000 }; // bounds how long an owner counts a request

Schema::PlacementEventName toName(Gateway::PlacementEvent event)
{
    switch (event) {
    case Gateway::PlacementEvent::FirstEvent:
        return Schema::PlacementEventName::FirstEvent;
    case Gateway::PlacementEvent::Failed:
        return Schema::PlacementEventName::Failed;
    case Gateway::PlacementEvent::Ended:
        break;
    }
    return Schema::PlacementEventName::Ended;
}

Gateway::PlacementEvent fromName(Schema::PlacementEventName name)
{
    switch (name) {
    case Schema::PlacementEventName::FirstEvent:
        return Gateway::PlacementEvent::FirstEvent;
    case Schema::PlacementEventName::Failed:
        return Gateway::PlacementEvent::Failed;
    case Schema::PlacementEventName::Ended:
        break;
    }
    return Gateway::PlacementEvent::Ended;
}

std::chrono::milliseconds boundedTime(const std::optional<std::int64_t> &milliseconds)
{
    return std::clamp(std::chrono::milliseconds(milliseconds.value_or(0)), std::chrono::milliseconds(0), MAX_REQUEST_TIME);
}

} // namespace

Schema::PlacementOrder toMessage(const Gateway::PlacementOrder &order, const VmId &sender, MonotonicTime now)
{
    Schema::PlacementOrder message = reportMessage(order.service, sender);
    message.tokens = order.promptTokens;
    if (order.cacheKey) {
        message.cacheKey = static_cast<std::int64_t>(*order.cacheKey);
        message.sharedTokens = order.sharedTokens;
    }
    message.endMs = std::chrono::duration_cast<std::chrono::milliseconds>(order.endsAt - now).count();
    if (order.maxPause > Duration::zero()) {
        message.pauseMs = std::chrono::duration_cast<std::chrono::milliseconds>(order.maxPause).count();
    }
    if (!order.avoid.empty()) {
        message.avoid.emplace();
        for (const TargetId &target : order.avoid) {
            message.avoid->push_back(target.value());
        }
    }
    if (order.inputDomain) {
        message.domain = order.inputDomain->value();
        message.inputBytes = static_cast<std::int64_t>(order.inputBytes);
    }
    if (!order.allowedRegions.empty()) {
        message.regions.emplace();
        for (const Gateway::Region &region : order.allowedRegions) {
            message.regions->push_back(region.value());
        }
    }
    message.version = order.softwareVersion;
    return message;
}

Schema::PlacementOrder reportMessage(const Gateway::ServiceName &service, const VmId &sender)
{
    Schema::PlacementOrder message;
    message.vm = sender.value();
    message.service = service.value();
    return message;
}

Gateway::PlacementOrder fromMessage(const Schema::PlacementOrder &message, MonotonicTime now)
{
    Gateway::PlacementOrder order;
    order.service = Gateway::ServiceName(message.service);
    order.promptTokens = std::clamp<std::int64_t>(message.tokens.value_or(0), 0, MAX_TOKENS);
    order.sharedTokens = std::clamp<std::int64_t>(message.sharedTokens.value_or(0), 0, order.promptTokens);
    if (message.cacheKey) {
        order.cacheKey = static_cast<std::uint64_t>(*message.cacheKey);
    }
    order.endsAt = now + boundedTime(message.endMs);
    order.maxPause = boundedTime(message.pauseMs);
    for (const std::string &target : message.avoid.value_or(std::vector<std::string>())) {
        order.avoid.insert(TargetId(target));
    }
    if (message.domain) {
        order.inputDomain = FailureDomain(*message.domain);
        order.inputBytes = static_cast<std::size_t>(std::clamp<std::int64_t>(message.inputBytes.value_or(0), 0, MAX_INPUT_BYTES));
    }
    for (const std::string &region : message.regions.value_or(std::vector<std::string>())) {
        order.allowedRegions.emplace_back(region);
    }
    order.softwareVersion = message.version;
    return order;
}

void addReports(Schema::PlacementOrder &message, const std::vector<Gateway::PlacementReport> &reports)
{
    if (reports.empty()) {
        return;
    }
    message.reports.emplace();
    for (const Gateway::PlacementReport &report : reports) {
        Schema::PlacementReport entry;
        entry.placement = static_cast<std::int64_t>(report.placement.value());
        entry.event = toName(report.event);
        if (report.time) {
            entry.us = std::chrono::duration_cast<std::chrono::microseconds>(*report.time).count();
        }
        message.reports->push_back(entry);
    }
}

std::vector<Gateway::PlacementReport> reportsOf(const Schema::PlacementOrder &message)
{
    std::vector<Gateway::PlacementReport> reports;
    for (const Schema::PlacementReport &entry : message.reports.value_or(std::vector<Schema::PlacementReport>())) {
        Gateway::PlacementReport report;
        report.placement = Gateway::PlacementId(static_cast<std::uint64_t>(entry.placement));
        report.event = fromName(entry.event);
        if (entry.us && *entry.us > 0 && std::chrono::microseconds(*entry.us) <= MAX_REQUEST_TIME) {
            report.time = std::chrono::microseconds(*entry.us);
        }
        reports.push_back(report);
    }
    return reports;
}

} // namespace CassiaRelay::GatewayDaemon
