#include "organisationoutcomes.h"

#include <numeric>
#include <vector>

namespace CassiaRelay::Gateway {

namespace {

constexpr std::chrono::seconds HALF_LIFE { 5 }; // about the length of a burst, and of the interval at which metrics are read
constexpr double MIN_PIECES = 1;                // fewer say nothing about how an organisation is served
constexpr const char *NO_ORGANISATION = "none";
constexpr const char *OTHER_ORGANISATIONS = "other";

} // namespace

std::string OrganisationOutcomes::label(const std::optional<OrganisationId> &organisation)
{
    const std::string name = organisation ? organisation->value() : NO_ORGANISATION;
    const bool isListed = m_byLabel.count(name) > 0 || m_byLabel.size() < MAX_LABELS;
    std::string label = isListed ? name : OTHER_ORGANISATIONS;
    m_byLabel.try_emplace(label, Outcomes { DecayingCounter(HALF_LIFE), DecayingCounter(HALF_LIFE) });
    return label;
}

void OrganisationOutcomes::record(const std::string &label, std::size_t completed, std::size_t rejected, MonotonicTime now)
{
    const auto outcomes = m_byLabel.find(label);
    if (outcomes != m_byLabel.end()) {
        outcomes->second.completed.add(static_cast<double>(completed), now);
        outcomes->second.rejected.add(static_cast<double>(rejected), now);
    }
}

std::optional<double> OrganisationOutcomes::worstServedTenth(MonotonicTime now) const
{
    std::vector<double> shares;
    for (const auto &[label, outcomes] : m_byLabel) {
        const double completed = outcomes.completed.value(now);
        const double pieces = completed + outcomes.rejected.value(now);
        if (pieces >= MIN_PIECES) {
            shares.push_back(completed / pieces);
        }
    }
    if (shares.empty()) {
        return std::nullopt;
    }
    std::sort(shares.begin(), shares.end());
    const std::size_t count = (shares.size() + 9) / 10;
    return std::accumulate(shares.begin(), shares.begin() + static_cast<std::ptrdiff_t>(count), 0.0) / static_cast<double>(count);
}

} // namespace CassiaRelay::Gateway
