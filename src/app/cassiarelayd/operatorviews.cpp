#include "operatorviews.h"

#include <algorithm>
#include <map>

namespace CassiaRelay::Daemon {

using nlohmann::json;

namespace {

struct DomainRow {
    int targets = 0;
    int accepting = 0;
    int vms = 0;
};

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::string toString(Routing::AttemptOutcome outcome)
{
    switch (outcome) {
    case Routing::AttemptOutcome::Succeeded:
        return "succeeded";
    case Routing::AttemptOutcome::Failed:
        return "failed";
    case Routing::AttemptOutcome::Refused:
        return "refused";
    case Routing::AttemptOutcome::Unreachable:
        return "unreachable";
    case Routing::AttemptOutcome::ConnectionLost:
        return "connection lost";
    case Routing::AttemptOutcome::TimedOut:
        return "timed out";
    case Routing::AttemptOutcome::Cancelled:
        return "cancelled";
    }
    return "cancelled";
}

std::string outReason(const FleetView &view, const FailureDomain &domain)
{
    if (!view.settings) {
        return {};
    }
    for (const Schema::SettingException &exception : view.settings->exceptions()) {
        if (exception.match.failureDomain == domain.value() && exception.set.out.value_or(false)) {
            return exception.reason;
        }
    }
    return {};
}

template<typename Entries, typename Key>
json sortedBy(const Entries &rows, const Key &key)
{
    std::vector<json> sorted(rows.begin(), rows.end());
    std::sort(sorted.begin(), sorted.end(), [&key](const json &left, const json &right) { return left.at(key) < right.at(key); });
    return sorted;
}

json bucketsJson(const Metrics::HistogramSummary &summary)
{
    json buckets = json::array();
    for (std::size_t index = 0; index < summary.buckets.size(); ++index) {
        const bool isBounded = index < Metrics::BUCKET_BOUNDS.size();
        buckets.push_back(
            { { "upToSeconds", isBounded ? json(seconds(Metrics::BUCKET_BOUNDS[index])) : json() }, { "count", summary.buckets[index] } });
    }
    return buckets;
}

json attemptJson(const StageRecord &stage, const AttemptRecord &attempt, MonotonicTime waitingSince)
{
    json row = {
        { "stage", stage.stage.value() },
        { "target", attempt.target.value() },
        { "waitMs", milliseconds(attempt.startedAt - waitingSince) },
    };
    if (attempt.endedAt) {
        row["durationMs"] = milliseconds(*attempt.endedAt - attempt.startedAt);
        row["outcome"] = toString(attempt.outcome);
    } else {
        row["outcome"] = "running";
    }
    return row;
}

std::string stateOf(const RequestRecord &record)
{
    if (!record.endedAt) {
        return "running";
    }
    return record.refusal ? "refused" : "answered";
}

} // namespace

json targetsJson(const FleetView &view)
{
    json rows = json::array();
    for (const auto &[id, target] : view.targets->targets()) {
        rows.push_back({
            { "target", id.value() },
            { "pool", target.pool.value() },
            { "failureDomain", target.failureDomain.value() },
            { "address", target.address + ":" + std::to_string(target.port) },
            { "acceptsWork", target.acceptsWork() },
            { "leaving", target.leaving },
            { "out", target.limits.out },
            { "concurrency", target.limits.concurrency },
            { "coldConcurrency", target.limits.coldConcurrency },
        });
    }
    return sortedBy(rows, "target");
}

json domainsJson(const FleetView &view)
{
    std::map<FailureDomain, DomainRow> domains;
    for (const auto &[id, target] : view.targets->targets()) {
        DomainRow &domain = domains[target.failureDomain];
        ++domain.targets;
        domain.accepting += target.acceptsWork() ? 1 : 0;
    }
    for (const Fleet::Member &member : view.cell->members()) {
        ++domains[member.failureDomain].vms;
    }
    json rows = json::array();
    for (const auto &[name, domain] : domains) {
        rows.push_back({
            { "failureDomain", name.value() },
            { "out", view.settings && view.settings->isOut(name) },
            { "targets", domain.targets },
            { "accepting", domain.accepting },
            { "vms", domain.vms },
            { "reason", outReason(view, name) },
        });
    }
    return rows;
}

json organisationsJson(const FleetView &view)
{
    json rows = json::array();
    if (!view.settings) {
        return rows;
    }
    for (const auto &[name, organisation] : view.settings->organisations()) {
        rows.push_back({
            { "organisation", name.value() },
            { "weight", organisation.weight },
            { "requestsPerSecond", organisation.requestsPerSecond },
            { "concurrency", organisation.concurrency },
        });
    }
    return sortedBy(rows, "organisation");
}

json vmsJson(const FleetView &view, const json &peers)
{
    json rows = json::array();
    for (const Fleet::Member &member : view.cell->members()) {
        json row = {
            { "vm", member.vm.value() },
            { "failureDomain", member.failureDomain.value() },
            { "address", member.address + ":" + std::to_string(member.peerPort) },
            { "leaving", member.leaving },
        };
        const auto peer = std::find_if(
            peers.begin(), peers.end(), [&member](const json &candidate) { return candidate.value("vm", "") == member.vm.value(); });
        row["silentMs"] = peer == peers.end() ? json() : peer->at("silentMs");
        rows.push_back(std::move(row));
    }
    return rows;
}

json histogramsJson(const std::vector<Metrics::HistogramSample> &samples)
{
    json rows = json::array();
    for (const Metrics::HistogramSample &sample : samples) {
        json labels = json::object();
        for (const Metrics::Label &label : sample.labels) {
            labels[label.name] = label.value;
        }
        json quantiles = json::array();
        for (std::size_t index = 0; index < Metrics::QUANTILES.size(); ++index) {
            quantiles.push_back({ { "quantile", Metrics::QUANTILES[index] }, { "seconds", seconds(sample.summary.quantiles[index]) } });
        }
        rows.push_back({
            { "name", sample.name },
            { "labels", labels },
            { "count", sample.summary.count },
            { "sumSeconds", seconds(sample.summary.sum) },
            { "maxSeconds", seconds(sample.summary.max) },
            { "quantiles", quantiles },
            { "buckets", bucketsJson(sample.summary) },
        });
    }
    return rows;
}

json requestJson(const RequestRecord &record)
{
    json request = {
        { "requestId", record.head.id.value() },
        { "organisation", record.head.organisation.value() },
        { "pipeline", record.head.pipeline.value() },
        { "priorityClass", record.head.priorityClass },
        { "state", stateOf(record) },
        { "attempts", json::array() },
    };
    if (record.endedAt) {
        request["durationMs"] = milliseconds(*record.endedAt - record.startedAt);
    }
    if (record.refusal) {
        request["refusal"] = std::string(CassiaRelay::toString(*record.refusal));
    }
    for (const StageRecord &stage : record.stages) {
        MonotonicTime waitingSince = stage.submittedAt;
        for (const AttemptRecord &attempt : stage.attempts) {
            request["attempts"].push_back(attemptJson(stage, attempt, waitingSince));
            waitingSince = attempt.endedAt.value_or(attempt.startedAt);
        }
        if (stage.attempts.empty()) {
            request["attempts"].push_back({ { "stage", stage.stage.value() }, { "outcome", "waiting for a target" } });
        }
    }
    return request;
}

} // namespace CassiaRelay::Daemon
