#include "histogramchart.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <cstdio>

namespace CassiaRelay::Tool {

using nlohmann::json;

namespace {

constexpr std::uint64_t BAR_WIDTH = 40;

std::string durationText(double seconds)
{
    std::array<char, 32> text {};
    const bool isShort = seconds < 1;
    const int length = std::snprintf(text.data(), text.size(), isShort ? "%.3g ms" : "%.3g s", isShort ? seconds * 1000 : seconds);
    return { text.data(), static_cast<std::size_t>(length) };
}

std::string padded(const std::string &text, std::size_t width)
{
    return text.size() < width ? std::string(width - text.size(), ' ') + text : text;
}

std::string title(const json &histogram)
{
    std::string text = histogram.at("name").get<std::string>();
    for (const auto &[label, value] : histogram.at("labels").items()) {
        text += "  " + label + "=" + value.get<std::string>();
    }
    return text;
}

std::string statistics(const json &histogram)
{
    const auto count = histogram.at("count").get<std::uint64_t>();
    std::string text = "  count " + std::to_string(count);
    text += "  mean " + durationText(histogram.at("sumSeconds").get<double>() / static_cast<double>(count));
    for (const json &quantile : histogram.at("quantiles")) {
        const long percent = std::lround(quantile.at("quantile").get<double>() * 100);
        text += "  p" + std::to_string(percent) + " " + durationText(quantile.at("seconds").get<double>());
    }
    return text + "  max " + durationText(histogram.at("maxSeconds").get<double>());
}

std::string bar(std::uint64_t count, std::uint64_t largest)
{
    const std::uint64_t length = (count * BAR_WIDTH + largest - 1) / largest;
    return std::string(length, '#');
}

std::string bucketLabel(const json &bucket)
{
    return bucket.at("upToSeconds").is_null() ? "longer" : "<= " + durationText(bucket.at("upToSeconds").get<double>());
}

std::uint64_t countOf(const json &bucket)
{
    return bucket.at("count").get<std::uint64_t>();
}

std::string bars(const json &buckets)
{
    constexpr std::size_t LABEL_WIDTH = 12;
    const auto isUsed = [](const json &bucket) { return countOf(bucket) > 0; };
    const auto first = std::find_if(buckets.begin(), buckets.end(), isUsed);
    std::uint64_t largest = 1;
    std::uint64_t remaining = 0;
    for (const json &bucket : buckets) {
        largest = std::max(largest, countOf(bucket));
        remaining += countOf(bucket);
    }
    std::string text;
    for (auto bucket = first; bucket != buckets.end() && remaining > 0; ++bucket) {
        const std::uint64_t count = countOf(*bucket);
        text += padded(bucketLabel(*bucket), LABEL_WIDTH) + " |" + bar(count, largest) + " " + std::to_string(count) + "\n";
        remaining -= count;
    }
    return text;
}

} // namespace

std::string renderHistograms(const json &histograms)
{
    std::string text;
    for (const json &histogram : histograms) {
        if (histogram.at("count").get<std::uint64_t>() == 0) {
            continue;
        }
        text += (text.empty() ? "" : "\n") + title(histogram) + "\n" + statistics(histogram) + "\n" + bars(histogram.at("buckets"));
    }
    return text.empty() ? "no samples yet\n" : text;
}

} // namespace CassiaRelay::Tool
