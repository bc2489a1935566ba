#include "loadplan.h"

#include <common/common.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>

namespace CassiaRelay::Load {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t PREFIX_BYTES = 256; ///< long enough for prefix affinity and prefix caches

Burst toBurst(const json &entry)
{
    return { milliseconds(entry.at("fromMs")), milliseconds(entry.at("toMs")), entry.at("factor") };
}

StreamPlan toStream(const json &entry)
{
    StreamPlan stream;
    stream.name = entry.at("name");
    stream.token = entry.value("token", "");
    stream.pipeline = entry.value("pipeline", "");
    stream.directPath = entry.value("directPath", "");
    stream.priorityClass = entry.value("priorityClass", 0);
    stream.ratePerSecond = entry.at("ratePerSecond");
    stream.deadline = milliseconds(entry.value("deadlineMs", 1000));
    stream.promptPrefixes = entry.value("promptPrefixes", 1);
    stream.streamed = entry.value("stream", false);
    stream.idempotencyKey = entry.value("idempotencyKey", false);
    for (const json &burst : entry.value("bursts", json::array())) {
        stream.bursts.push_back(toBurst(burst));
    }
    return stream;
}

double factorAt(const StreamPlan &stream, std::chrono::duration<double> at)
{
    for (const Burst &burst : stream.bursts) {
        if (at >= burst.from && at < burst.to) {
            return burst.factor;
        }
    }
    return 1;
}

double highestFactor(const StreamPlan &stream)
{
    double highest = 1;
    for (const Burst &burst : stream.bursts) {
        highest = std::max(highest, burst.factor);
    }
    return highest;
}

std::string promptOf(const StreamPlan &stream, std::uint64_t prefix, std::uint64_t number)
{
    std::string prompt = stream.name + " instructions " + std::to_string(prefix) + " ";
    prompt.resize(PREFIX_BYTES, '.');
    return prompt + " request " + std::to_string(number);
}

} // namespace

LoadPlan LoadPlan::load(const std::string &file)
{
    std::ifstream input(file);
    try {
        LoadPlan plan;
        const json document = json::parse(input, nullptr, true, true);
        for (const json &entry : document.at("streams")) {
            plan.streams.push_back(toStream(entry));
        }
        return plan;
    } catch (const json::exception &failure) {
        throw Error(
            ErrorKind::SettingsInvalid, "plan " + file + ": " + failure.what(), "correct the plan; see the README of cassiarelay-load");
    }
}

std::vector<Arrival> LoadPlan::arrivals(milliseconds length, double scale, std::uint64_t seed) const
{
    std::vector<Arrival> all;
    for (std::size_t index = 0; index < streams.size(); ++index) {
        const StreamPlan &stream = streams[index];
        RandomSource random(stableHash(stream.name, seed));
        // Thinning: arrivals at the highest rate, of which a part is kept.
        const double highest = highestFactor(stream);
        std::exponential_distribution<double> gap(stream.ratePerSecond * scale * highest);
        std::uniform_real_distribution<double> kept(0, highest);
        std::chrono::duration<double> at(gap(random));
        for (std::uint64_t number = 0; at < length; at += std::chrono::duration<double>(gap(random))) {
            if (kept(random) >= factorAt(stream, at)) {
                continue;
            }
            const std::uint64_t prefix = random() % static_cast<std::uint64_t>(stream.promptPrefixes);
            const std::string key = stream.name + "-" + std::to_string(seed) + "-" + std::to_string(number);
            all.push_back({ std::chrono::duration_cast<std::chrono::microseconds>(at), index, promptOf(stream, prefix, number), key });
            ++number;
        }
    }
    std::sort(all.begin(), all.end(), [](const Arrival &left, const Arrival &right) { return left.at < right.at; });
    return all;
}

} // namespace CassiaRelay::Load
