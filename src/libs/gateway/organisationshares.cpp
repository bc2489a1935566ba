#include "organisationshares.h"

#include <algorithm>

namespace CassiaRelay::Gateway {

namespace {

constexpr std::chrono::seconds USAGE_HALF_LIFE { 2 }; // bursts last 5 to 7 s; a longer memory would outlast them (docs/SCHEDULING.md)
// Share of its demand's proportion that an organisation gets at least. Enlarged weights add at most a third to the sum of all weights, so a
// third leaves at least a quarter of the overall rate, which requirement R8 demands.
constexpr double MIN_PROPORTION = 1.0 / 3;
constexpr double MIN_WEIGHT = 0.001;            // avoids a division by zero; configured weights are positive
constexpr std::size_t MAX_ORGANISATIONS = 1024; // bounds the memory; names come from other daemons
constexpr double NEGLIGIBLE_PIECES = 0.01;      // ten half-lives after ten pieces

} // namespace

OrganisationShares::OrganisationShares()
    : m_totalDemand(USAGE_HALF_LIFE)
    , m_lastLevel(USAGE_HALF_LIFE)
{
}

void OrganisationShares::setWeights(std::unordered_map<OrganisationId, double> weights)
{
    m_weights = std::move(weights);
}

void OrganisationShares::recordDemand(const OrganisationId &organisation, double pieces, MonotonicTime now)
{
    usage(organisation, now).demand.add(pieces, now);
    m_totalDemand.add(pieces, now);
}

void OrganisationShares::recordService(const OrganisationId &organisation, double pieces, MonotonicTime now)
{
    if (pieces > 0) {
        m_lastLevel.raiseTo(normalizedService(organisation, now), now);
    }
    usage(organisation, now).service.add(pieces, now);
}

// The service of an organisation that did not wait has decayed, so it would go before all others until it had caught up.
void OrganisationShares::setWaiting(const std::set<OrganisationId> &organisations, MonotonicTime now)
{
    const double level = levelForNewcomers(now);
    double waitingWeight = 0;
    for (const OrganisationId &organisation : organisations) {
        waitingWeight += configuredWeight(organisation);
        if (m_waiting.count(organisation) == 0) {
            usage(organisation, now).service.raiseTo(level * weight(organisation, now), now);
        }
    }
    m_waiting = organisations;
    m_waitingWeight = waitingWeight;
}

double OrganisationShares::normalizedService(const OrganisationId &organisation, MonotonicTime now) const
{
    const Usage *known = find(organisation);
    const double service = known ? known->service.value(now) / weight(organisation, now) : 0;
    return m_waiting.count(organisation) > 0 ? service : std::max(service, levelForNewcomers(now));
}

double OrganisationShares::weight(const OrganisationId &organisation, MonotonicTime now) const
{
    const double configured = configuredWeight(organisation);
    const Usage *known = find(organisation);
    const double totalDemand = m_totalDemand.value(now);
    if (!known || totalDemand <= 0) {
        return configured;
    }
    return std::max(configured, MIN_PROPORTION * m_waitingWeight * known->demand.value(now) / totalDemand);
}

double OrganisationShares::demandPerSecond(const OrganisationId &organisation, MonotonicTime now) const
{
    const Usage *known = find(organisation);
    return known ? known->demand.ratePerSecond(now) : 0;
}

void OrganisationShares::removeExpired(MonotonicTime now)
{
    for (auto entry = m_usage.begin(); entry != m_usage.end();) {
        const Usage &known = entry->second;
        const bool isInUse = m_waiting.count(entry->first) > 0 || known.demand.value(now) > NEGLIGIBLE_PIECES
            || known.service.value(now) > NEGLIGIBLE_PIECES;
        entry = isInUse ? std::next(entry) : m_usage.erase(entry);
    }
}

std::size_t OrganisationShares::size() const
{
    return m_usage.size();
}

// Organisations beyond the limit share the entry of those without an id.
OrganisationShares::Usage &OrganisationShares::usage(const OrganisationId &organisation, MonotonicTime now)
{
    const auto known = m_usage.find(organisation);
    if (known != m_usage.end()) {
        return known->second;
    }
    if (m_usage.size() >= MAX_ORGANISATIONS) {
        removeExpired(now);
    }
    const Usage unused { DecayingCounter(USAGE_HALF_LIFE), DecayingCounter(USAGE_HALF_LIFE) };
    return m_usage.emplace(m_usage.size() < MAX_ORGANISATIONS ? organisation : OrganisationId(), unused).first->second;
}

const OrganisationShares::Usage *OrganisationShares::find(const OrganisationId &organisation) const
{
    auto known = m_usage.find(organisation);
    if (known == m_usage.end() && m_usage.size() >= MAX_ORGANISATIONS) {
        known = m_usage.find(OrganisationId());
    }
    return known == m_usage.end() ? nullptr : &known->second;
}

double OrganisationShares::configuredWeight(const OrganisationId &organisation) const
{
    const auto configured = m_weights.find(organisation);
    return configured == m_weights.end() ? 1 : std::max(MIN_WEIGHT, configured->second);
}

// Where nothing waits, the level of the organisation that was served last takes the place of those that wait.
double OrganisationShares::levelForNewcomers(MonotonicTime now) const
{
    std::optional<double> lowest;
    for (const OrganisationId &organisation : m_waiting) {
        const Usage *known = find(organisation);
        const double level = known ? known->service.value(now) / weight(organisation, now) : 0;
        lowest = std::min(level, lowest.value_or(level));
    }
    return lowest.value_or(m_lastLevel.value(now));
}

} // namespace CassiaRelay::Gateway
