#pragma once

#include "registry.h"

#include <common/common.h>

#include <array>
#include <mutex>
#include <set>
#include <tuple>

namespace CassiaRelay::Metrics {

/** Organisation label that stands for all those beyond the limit. */
inline constexpr const char *OTHER_ORGANISATIONS = "other";

/** How a claim for a non-repeatable stage ended. */
enum class GrantResult {
    Held,
    Replayed,
    Refused,
    Unavailable,
};

/** What happened to a lease of this daemon. */
enum class LeaseEvent {
    Acquired,
    Renewed,
    Lost,
    Refused,
};

/** Which histograms a stage belongs to. */
struct StageLabels {
    OrganisationId organisation;
    int priorityClass = 0;
    StageName stage;

    friend bool operator<(const StageLabels &left, const StageLabels &right)
    {
        return std::tie(left.organisation, left.priorityClass, left.stage) < std::tie(right.organisation, right.priorityClass, right.stage);
    }
};

/** Histograms of one stage of one organisation and class. */
struct StageHistograms {
    Histogram &wait;    ///< from submission to a slot on a target
    Histogram &service; ///< from the slot to the end of the attempt
};

/** Every instrument of the request path, looked up once; a request takes no lock of the registry. */
class RequestMetrics
{
public:
    static constexpr std::size_t DEFAULT_MAX_ORGANISATIONS = 64;

    explicit RequestMetrics(Registry &registry, std::size_t maxOrganisations = DEFAULT_MAX_ORGANISATIONS);

    Counter &requests;
    Counter &answers;
    Counter &retries;
    Counter &hedges;
    Counter &quarantines;
    Gauge &activeRequests;

    Counter &refusals(ErrorKind kind) const;
    Counter &grants(GrantResult result) const;
    Counter &leases(LeaseEvent event) const;
    StageHistograms stage(const StageLabels &labels);
    /** Whole requests, from arrival to the end of the answer. */
    Histogram &request(const OrganisationId &organisation, int priorityClass);

private:
    struct Known {
        std::set<OrganisationId> organisations; ///< those with series of their own
        std::map<StageLabels, StageHistograms> stages;
        std::map<std::pair<OrganisationId, int>, Histogram *> requests;
    };

    /** The organisation itself, or the shared one when there are too many. */
    OrganisationId seriesOf(const Known &known, const OrganisationId &organisation) const;
    StageHistograms addStage(const StageLabels &labels);
    Histogram &addRequest(const OrganisationId &organisation, int priorityClass);

    Registry &m_registry;
    std::size_t m_maxOrganisations;
    std::array<Counter *, static_cast<std::size_t>(ErrorKind::Internal) + 1> m_refusals {};
    std::array<Counter *, static_cast<std::size_t>(GrantResult::Unavailable) + 1> m_grants {};
    std::array<Counter *, static_cast<std::size_t>(LeaseEvent::Refused) + 1> m_leases {};
    std::mutex m_writeMutex;
    Snapshot<Known> m_known;
};

} // namespace CassiaRelay::Metrics
