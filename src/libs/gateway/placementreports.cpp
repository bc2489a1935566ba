#include "placementreports.h"

namespace CassiaRelay::Gateway {

namespace {

constexpr std::size_t MAX_REPORTS = 512; // for each owner; a daemon has a few per second, and the owner forgets requests by itself

} // namespace

void PlacementReports::add(const PlacedTarget &placed, PlacementEvent event, std::optional<Duration> time)
{
    std::vector<PlacementReport> &reports = m_reports[{ placed.owner, placed.service }];
    if (reports.size() < MAX_REPORTS) {
        reports.push_back({ placed.id, event, time });
    }
}

std::vector<PlacementReport> PlacementReports::take(const Owner &owner)
{
    const auto found = m_reports.find(owner);
    if (found == m_reports.end()) {
        return {};
    }
    std::vector<PlacementReport> reports = std::move(found->second);
    m_reports.erase(found);
    return reports;
}

std::vector<PlacementReports::Owner> PlacementReports::owners() const
{
    std::vector<Owner> owners;
    owners.reserve(m_reports.size());
    for (const auto &[owner, reports] : m_reports) {
        owners.push_back(owner);
    }
    return owners;
}

void PlacementReports::recordUnusable()
{
    ++m_unusableTargets;
}

std::uint64_t PlacementReports::unusableTargets() const
{
    return m_unusableTargets;
}

} // namespace CassiaRelay::Gateway
