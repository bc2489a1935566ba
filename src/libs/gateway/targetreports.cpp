#include "targetreports.h"

#include "targetpace.h"

#include <algorithm>
#include <cmath>

namespace CassiaRelay::Gateway {

namespace {

constexpr std::size_t MAX_REPORTS = 4096; // more than twice the targets of the largest fleet
constexpr int MAX_REQUESTS = 100'000;     // larger figures of a target can't be true
constexpr double PERCENT = 100;
constexpr std::chrono::seconds LEARNED_NEWS_AGE { 2 }; // by then, other daemons have heard of a measurement; it is half as relevant

bool isValid(const TargetReport::Load &load, MonotonicTime now)
{
    const auto isCount = [](int count) { return count >= 0 && count <= MAX_REQUESTS; };
    return load.statedAt <= now && load.statedAt + TargetReportBoard::LOAD_LIFETIME > now && isCount(load.running) && isCount(load.waiting)
        && isCount(load.slots);
}

bool isValid(const TargetReport::Pace &pace, MonotonicTime now)
{
    return pace.measuredAt <= now && pace.measuredAt + TargetPace::LEARNED_LIFETIME > now && std::isfinite(pace.learned)
        && pace.learned > 0;
}

double remainingShare(MonotonicTime since, Duration lifetime, MonotonicTime now)
{
    return std::max(0.0, 1 - static_cast<double>((now - since).count()) / static_cast<double>(lifetime.count()));
}

// Difference from an idle target of usual pace, in natural units: an occupied target counts as much as one that is 2.7 times slower.
// Weighted by age, because old figures are more likely to be outdated, and known to the receiver.
double relevance(const TargetReport &report, MonotonicTime now)
{
    double result = 0;
    if (report.load && isValid(*report.load, now)) {
        const double occupied = static_cast<double>(report.load->running + report.load->waiting) / std::max(1, report.load->slots);
        result += occupied * remainingShare(report.load->statedAt, TargetReportBoard::LOAD_LIFETIME, now);
        if (report.load->toldPercent && TargetPace::isPlausible(*report.load->toldPercent)) {
            result += std::abs(std::log(static_cast<double>(*report.load->toldPercent) / PERCENT))
                * remainingShare(report.load->statedAt, TargetPace::TOLD_LIFETIME, now);
        }
    }
    if (report.pace && isValid(*report.pace, now)) {
        const double age = std::chrono::duration<double>(now - report.pace->measuredAt) / LEARNED_NEWS_AGE;
        result += std::abs(std::log(report.pace->learned)) / (1 + age);
    }
    return result;
}

// A factor of about 0.1 to 1 that differs by target and time. Without it, all daemons send the same few reports in all their greetings, and
// the others would never be sent. The root keeps most factors near 1, so that relevance has more weight than chance.
double selectionFactor(const TargetId &target, MonotonicTime now)
{
    constexpr std::uint64_t STEPS = 1024;
    const std::uint64_t hash = stableHash(target.value(), static_cast<std::uint64_t>(now.time_since_epoch().count()));
    return std::cbrt(static_cast<double>(1 + hash % STEPS) / STEPS);
}

} // namespace

bool TargetReportBoard::merge(const TargetReport &report, MonotonicTime now)
{
    const bool hasLoad = report.load && isValid(*report.load, now);
    const bool hasPace = report.pace && isValid(*report.pace, now);
    const auto found = m_reports.find(report.target);
    const bool isNew = found == m_reports.end();
    if ((!hasLoad && !hasPace) || (isNew && m_reports.size() >= MAX_REPORTS) || (!isNew && found->second.startedAt > report.startedAt)) {
        return false;
    }
    TargetReport &known = m_reports[report.target];
    if (isNew || known.startedAt < report.startedAt) {
        known = { report.target, report.startedAt, std::nullopt, std::nullopt };
    }
    const bool isLoadNewer = hasLoad && (!known.load || known.load->statedAt < report.load->statedAt);
    const bool isPaceNewer = hasPace && (!known.pace || known.pace->measuredAt < report.pace->measuredAt);
    if (isLoadNewer) {
        known.load = report.load;
    }
    if (isPaceNewer) {
        known.pace = report.pace;
    }
    return isLoadNewer || isPaceNewer;
}

const TargetReport *TargetReportBoard::find(const TargetId &target) const
{
    const auto found = m_reports.find(target);
    return found == m_reports.end() ? nullptr : &found->second;
}

std::vector<TargetReport> TargetReportBoard::mostRelevant(std::size_t maxCount, MonotonicTime now) const
{
    std::vector<std::pair<double, const TargetReport *>> ranked;
    ranked.reserve(m_reports.size());
    for (const auto &[id, report] : m_reports) {
        const bool hasLoad = report.load && isValid(*report.load, now);
        const bool hasPace = report.pace && isValid(*report.pace, now);
        if (hasLoad || hasPace) {
            ranked.emplace_back(relevance(report, now) * selectionFactor(id, now), &report);
        }
    }
    const std::size_t count = std::min(maxCount, ranked.size());
    std::partial_sort(
        ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(), [](const auto &left, const auto &right) {
            return left.first != right.first ? left.first > right.first : left.second->target < right.second->target;
        });
    std::vector<TargetReport> selected;
    for (std::size_t index = 0; index < count; ++index) {
        TargetReport report = *ranked[index].second;
        if (report.load && !isValid(*report.load, now)) {
            report.load.reset();
        }
        if (report.pace && !isValid(*report.pace, now)) {
            report.pace.reset();
        }
        selected.push_back(std::move(report));
    }
    return selected;
}

void TargetReportBoard::remove(const TargetId &target)
{
    m_reports.erase(target);
}

void TargetReportBoard::removeExpired(MonotonicTime now)
{
    for (auto entry = m_reports.begin(); entry != m_reports.end();) {
        const TargetReport &report = entry->second;
        const bool isCurrent = (report.load && isValid(*report.load, now)) || (report.pace && isValid(*report.pace, now));
        entry = isCurrent ? std::next(entry) : m_reports.erase(entry);
    }
}

std::size_t TargetReportBoard::size() const
{
    return m_reports.size();
}

} // namespace CassiaRelay::Gateway
