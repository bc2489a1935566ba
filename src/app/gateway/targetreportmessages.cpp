#include "targetreportmessages.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace CassiaRelay::GatewayDaemon {

namespace {

constexpr double PERCENT = 100;
constexpr std::int64_t UNKNOWN = -1;
constexpr std::int64_t MAX_AGE_MS = 86'400'000; // a day; older reports are dropped anyway, and larger numbers might overflow

// Greetings are exchanged about a hundred times a second, and integers in a list need no member names to be written and looked up.
enum Figure : std::size_t { StartedMs, Running, Waiting, Slots, Told, AgeMs, Learned, LearnedAgeMs, FigureCount };

std::int64_t ageMs(MonotonicTime since, MonotonicTime now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - since).count();
}

MonotonicTime timeBefore(MonotonicTime now, std::int64_t ageMs)
{
    return now - std::chrono::milliseconds(std::min(ageMs, MAX_AGE_MS));
}

// Counts that can't be true are mapped to values that the board drops.
int toCount(std::int64_t figure)
{
    return static_cast<int>(std::clamp<std::int64_t>(figure, UNKNOWN, std::numeric_limits<int>::max()));
}

} // namespace

Schema::TargetReports toMessage(const std::vector<Gateway::TargetReport> &reports, MonotonicTime now)
{
    Schema::TargetReports message;
    message.ids.reserve(reports.size());
    message.figures.reserve(reports.size() * FigureCount);
    for (const Gateway::TargetReport &report : reports) {
        message.ids.push_back(report.target.value());
        std::array<std::int64_t, FigureCount> figures {};
        figures.fill(UNKNOWN);
        figures.at(StartedMs) = report.startedAt.time_since_epoch().count();
        if (report.load) {
            figures.at(Running) = report.load->running;
            figures.at(Waiting) = report.load->waiting;
            figures.at(Slots) = report.load->slots;
            figures.at(Told) = report.load->toldPercent.value_or(UNKNOWN);
            figures.at(AgeMs) = ageMs(report.load->statedAt, now);
        }
        if (report.pace) {
            figures.at(Learned) = std::llround(report.pace->learned * PERCENT);
            figures.at(LearnedAgeMs) = ageMs(report.pace->measuredAt, now);
        }
        message.figures.insert(message.figures.end(), figures.begin(), figures.end());
    }
    return message;
}

std::vector<Gateway::TargetReport> fromMessage(const Schema::TargetReports &message, MonotonicTime now)
{
    std::vector<Gateway::TargetReport> reports;
    if (message.figures.size() != message.ids.size() * FigureCount) {
        return reports;
    }
    auto figure = message.figures.begin();
    for (const std::string &id : message.ids) {
        if (reports.size() >= Gateway::TargetReportBoard::MAX_REPORTS_PER_GREETING) {
            break;
        }
        std::array<std::int64_t, FigureCount> figures {};
        std::copy_n(figure, FigureCount, figures.begin());
        figure += FigureCount;
        Gateway::TargetReport report;
        report.target = TargetId(id);
        report.startedAt = Gateway::StartTime(std::chrono::milliseconds(figures.at(StartedMs)));
        if (figures.at(Running) >= 0 && figures.at(AgeMs) >= 0) {
            Gateway::TargetReport::Load load;
            load.running = toCount(figures.at(Running));
            load.waiting = toCount(figures.at(Waiting));
            load.slots = toCount(figures.at(Slots));
            if (figures.at(Told) != UNKNOWN) {
                load.toldPercent = figures.at(Told);
            }
            load.statedAt = timeBefore(now, figures.at(AgeMs));
            report.load = load;
        }
        if (figures.at(Learned) >= 0 && figures.at(LearnedAgeMs) >= 0) {
            report.pace = { static_cast<double>(figures.at(Learned)) / PERCENT, timeBefore(now, figures.at(LearnedAgeMs)) };
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace CassiaRelay::GatewayDaemon
