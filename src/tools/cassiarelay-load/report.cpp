#include "report.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace CassiaRelay::Load {

using nlohmann::json;

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr std::chrono::seconds STATS_TIMEOUT { 5 };
constexpr std::chrono::seconds TIMELINE_STEP { 1 };
constexpr double MEDIAN = 0.5;
constexpr double TAIL = 0.99;

double quantile(std::vector<double> &values, double part)
{
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

/** Counts and latencies of one stream. */
class StreamTotals
{
public:
    void add(const CallRecord &record)
    {
        ++m_offered;
        addToTimeline(record);
        ++m_endings[std::string(toString(record.ending))];
        if (record.ending == Ending::Refused || record.ending == Ending::Wrong || record.ending == Ending::Cut) {
            ++m_details[record.detail];
            return;
        }
        m_latencies.push_back(Milliseconds(record.latency).count());
        if (record.firstToken) {
            m_firstTokens.push_back(Milliseconds(*record.firstToken).count());
        }
    }

    json toJson(const StreamPlan &stream)
    {
        const int inTime = m_endings["in-time"];
        return {
            { "stream", stream.name },
            { "priorityClass", stream.priorityClass },
            { "offered", m_offered },
            { "attainment", m_offered == 0 ? 0 : static_cast<double>(inTime) / m_offered },
            { "endings", m_endings },
            { "details", m_details },
            { "timeline", m_timeline },
            { "p50Ms", quantile(m_latencies, MEDIAN) },
            { "p99Ms", quantile(m_latencies, TAIL) },
            { "firstTokenP50Ms", quantile(m_firstTokens, MEDIAN) },
            { "firstTokenP99Ms", quantile(m_firstTokens, TAIL) },
        };
    }

private:
    // One [offered, in time] pair for each second of arrival.
    void addToTimeline(const CallRecord &record)
    {
        const auto step = static_cast<std::size_t>(record.at / TIMELINE_STEP);
        while (m_timeline.size() <= step) {
            m_timeline.push_back({ 0, 0 });
        }
        ++m_timeline[step][0];
        m_timeline[step][1] += record.ending == Ending::InTime ? 1 : 0;
    }

    int m_offered = 0;
    std::vector<std::array<int, 2>> m_timeline;
    std::map<std::string, int> m_endings;
    std::map<std::string, int> m_details;
    std::vector<double> m_latencies;
    std::vector<double> m_firstTokens;
};

void addTotals(json &totals, const json &stats)
{
    for (const auto &[name, value] : stats.items()) {
        if (!value.is_number() || name == "incarnation" || name == "coldBound") {
            continue;
        }
        const bool isMaximum = name == "peak" || name == "coldPeak" || name == "lastAttemptMs";
        const auto known = totals.value(name, std::int64_t { 0 });
        totals[name] = isMaximum ? std::max(known, value.get<std::int64_t>()) : known + value.get<std::int64_t>();
    }
}

} // namespace

json summarize(const LoadPlan &plan, const std::vector<CallRecord> &records, std::chrono::milliseconds length)
{
    std::vector<StreamTotals> totals(plan.streams.size());
    std::int64_t inTime = 0;
    for (const CallRecord &record : records) {
        totals[record.stream].add(record);
        inTime += record.ending == Ending::InTime ? 1 : 0;
    }
    json streams = json::array();
    for (std::size_t index = 0; index < totals.size(); ++index) {
        streams.push_back(totals[index].toJson(plan.streams[index]));
    }
    const double seconds = std::chrono::duration<double>(length).count();
    return { { "offered", records.size() },
             { "inTime", inTime },
             { "goodputPerSecond", static_cast<double>(inTime) / seconds },
             { "streams", streams } };
}

json targetTotals(const std::vector<Endpoint> &targets)
{
    json totals = json::object();
    boost::asio::io_context context;
    Net::HttpClient client(context);
    for (const Endpoint &target : targets) {
        auto body = std::make_shared<std::string>();
        Net::HttpCallRequest request;
        request.address = target.address;
        request.port = target.port;
        request.path = "/stats";
        request.deadline = std::chrono::steady_clock::now() + STATS_TIMEOUT;
        Net::HttpCallHandlers handlers;
        handlers.onBody = [body](const std::string &part) { *body += part; };
        handlers.onFinished = [body, &totals] {
            const json stats = json::parse(*body, nullptr, false);
            if (stats.is_object()) {
                addTotals(totals, stats);
            }
        };
        handlers.onFailed = [&totals](Net::CallFailure, const std::string &) { addTotals(totals, { { "unreachable", 1 } }); };
        client.send(std::move(request), std::move(handlers));
    }
    context.run();
    return totals;
}

std::string tableText(const json &summary)
{
    std::ostringstream text;
    text << std::left << std::setw(22) << "stream" << std::right << std::setw(6) << "class" << std::setw(9) << "offered" << std::setw(9)
         << "in time" << std::setw(7) << "late" << std::setw(9) << "refused" << std::setw(7) << "wrong" << std::setw(6) << "cut"
         << std::setw(10) << "attained" << std::setw(9) << "p50 ms" << std::setw(9) << "p99 ms" << std::setw(10) << "first p50"
         << std::setw(10) << "first p99"
         << "\n"
         << std::fixed;
    for (const json &stream : summary["streams"]) {
        const json &endings = stream["endings"];
        text << std::left << std::setw(22) << stream["stream"].get<std::string>() << std::right << std::setw(6)
             << stream["priorityClass"].get<int>() << std::setw(9) << stream["offered"].get<int>() << std::setw(9)
             << endings.value("in-time", 0) << std::setw(7) << endings.value("late", 0) << std::setw(9) << endings.value("refused", 0)
             << std::setw(7) << endings.value("wrong", 0) << std::setw(6) << endings.value("cut", 0) << std::setw(10)
             << std::setprecision(4) << stream["attainment"].get<double>() << std::setprecision(1);
        for (const char *column : { "p50Ms", "p99Ms", "firstTokenP50Ms", "firstTokenP99Ms" }) {
            text << std::setw(column[0] == 'p' ? 9 : 10) << stream[column].get<double>();
        }
        text << "\n";
        for (const auto &[detail, count] : stream["details"].items()) {
            text << "    " << count.get<int>() << " x " << detail << "\n";
        }
    }
    text << "goodput " << std::setprecision(1) << summary["goodputPerSecond"].get<double>() << " answers/s\n";
    if (summary.contains("targets")) {
        text << "targets " << summary["targets"].dump() << "\n";
    }
    return text.str();
}

} // namespace CassiaRelay::Load
