#include "requestmetrics.h"

#include <algorithm>

namespace CassiaRelay::Metrics {

namespace {

constexpr const char *REFUSALS = "cassiarelay_refusals_total";
constexpr const char *GRANTS = "cassiarelay_grants_total";
constexpr const char *LEASES = "cassiarelay_leases_total";
constexpr const char *STAGE_WAIT = "cassiarelay_stage_wait_seconds";
constexpr const char *STAGE_SERVICE = "cassiarelay_stage_service_seconds";
constexpr const char *REQUEST_DURATION = "cassiarelay_request_duration_seconds";

constexpr std::array<const char *, 4> GRANT_RESULTS { "held", "replayed", "refused", "unavailable" };
constexpr std::array<const char *, 4> LEASE_EVENTS { "acquired", "renewed", "lost", "refused" };

Counter &described(Registry &registry, const char *name, const char *help)
{
    registry.describe(name, help);
    return registry.counter(name);
}

template<std::size_t SIZE>
void lookUp(Registry &registry,
            const char *name,
            const char *label,
            const std::array<const char *, SIZE> &values,
            std::array<Counter *, SIZE> &counters)
{
    for (std::size_t index = 0; index < SIZE; ++index) {
        counters[index] = &registry.counter(name, { { label, values[index] } });
    }
}

} // namespace

RequestMetrics::RequestMetrics(Registry &registry, std::size_t maxOrganisations)
    : requests(described(registry, "cassiarelay_requests_total", "Requests received from callers."))
    , answers(described(registry, "cassiarelay_answers_total", "Requests answered in full."))
    , retries(described(registry, "cassiarelay_retries_total", "Attempts after the first one of a stage."))
    , hedges(described(registry, "cassiarelay_hedges_total", "Second attempts started while the first one ran."))
    , quarantines(described(registry, "cassiarelay_quarantines_total", "Requests quarantined because targets died with them."))
    , activeRequests(registry.gauge("cassiarelay_active_requests"))
    , m_registry(registry)
    , m_maxOrganisations(maxOrganisations)
{
    registry.describe("cassiarelay_active_requests", "Requests that are being served.");
    registry.describe(REFUSALS, "Refused requests by error kind.");
    registry.describe(GRANTS, "Claims for non-repeatable stages by result.");
    registry.describe(LEASES, "Target leases by event.");
    registry.describe(STAGE_WAIT, "Time from submission of a stage to a slot on a target.");
    registry.describe(STAGE_SERVICE, "Time of an attempt on a target.");
    registry.describe(REQUEST_DURATION, "Time from arrival of a request to the end of its answer.");
    for (std::size_t index = 0; index < m_refusals.size(); ++index) {
        m_refusals[index] = &registry.counter(REFUSALS, { { "kind", std::string(toString(static_cast<ErrorKind>(index))) } });
    }
    lookUp(registry, GRANTS, "result", GRANT_RESULTS, m_grants);
    lookUp(registry, LEASES, "event", LEASE_EVENTS, m_leases);
}

Counter &RequestMetrics::refusals(ErrorKind kind) const
{
    return *m_refusals[std::min(static_cast<std::size_t>(kind), m_refusals.size() - 1)];
}

Counter &RequestMetrics::grants(GrantResult result) const
{
    return *m_grants[static_cast<std::size_t>(result)];
}

Counter &RequestMetrics::leases(LeaseEvent event) const
{
    return *m_leases[static_cast<std::size_t>(event)];
}

OrganisationId RequestMetrics::seriesOf(const Known &known, const OrganisationId &organisation) const
{
    const bool hasOwn = known.organisations.count(organisation) > 0 || known.organisations.size() < m_maxOrganisations;
    return hasOwn ? organisation : OrganisationId(OTHER_ORGANISATIONS);
}

// Readers take the current map; a new series replaces it as a whole, which ends when every series has been seen.
StageHistograms RequestMetrics::stage(const StageLabels &labels)
{
    const auto known = m_known.load();
    const auto found = known->stages.find({ seriesOf(*known, labels.organisation), labels.priorityClass, labels.stage });
    return found != known->stages.end() ? found->second : addStage(labels);
}

Histogram &RequestMetrics::request(const OrganisationId &organisation, int priorityClass)
{
    const auto known = m_known.load();
    const auto found = known->requests.find({ seriesOf(*known, organisation), priorityClass });
    return found != known->requests.end() ? *found->second : addRequest(organisation, priorityClass);
}

StageHistograms RequestMetrics::addStage(const StageLabels &labels)
{
    const std::lock_guard lock(m_writeMutex);
    auto known = std::make_shared<Known>(*m_known.load());
    const OrganisationId organisation = seriesOf(*known, labels.organisation);
    const Labels series { { "organisation", organisation.value() },
                          { "class", std::to_string(labels.priorityClass) },
                          { "stage", labels.stage.value() } };
    const StageHistograms histograms { m_registry.histogram(STAGE_WAIT, series), m_registry.histogram(STAGE_SERVICE, series) };
    known->stages.emplace(StageLabels { organisation, labels.priorityClass, labels.stage }, histograms);
    if (organisation == labels.organisation) {
        known->organisations.insert(organisation);
    }
    m_known.store(std::move(known));
    return histograms;
}

Histogram &RequestMetrics::addRequest(const OrganisationId &organisation, int priorityClass)
{
    const std::lock_guard lock(m_writeMutex);
    auto known = std::make_shared<Known>(*m_known.load());
    const OrganisationId series = seriesOf(*known, organisation);
    Histogram &histogram =
        m_registry.histogram(REQUEST_DURATION, { { "organisation", series.value() }, { "class", std::to_string(priorityClass) } });
    known->requests.emplace(std::pair(series, priorityClass), &histogram);
    if (series == organisation) {
        known->organisations.insert(series);
    }
    m_known.store(std::move(known));
    return histogram;
}

} // namespace CassiaRelay::Metrics
