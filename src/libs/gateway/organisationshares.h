#pragma once

#include "decayingcounter.h"

#include <set>
#include <unordered_map>

namespace CassiaRelay::Gateway {

/**
 * Weighted fair queueing among organisations, for the work of one rank at one stage service.
 *
 * Answers one large organisation that asks for more than its share while small ones wait. The service received decays, and an organisation
 * that starts to wait is put on a level with those that already do, so that it gains nothing from having been idle. An organisation whose
 * demand is so large that its share would leave it below a quarter of the overall rate gets a larger share.
 */
class OrganisationShares
{
public:
    OrganisationShares();

    /** @param weights of organisations that do not have the weight 1 */
    void setWeights(std::unordered_map<OrganisationId, double> weights);
    /** Records pieces that were requested, whether or not they are admitted. */
    void recordDemand(const OrganisationId &organisation, double pieces, MonotonicTime now);
    /** Records pieces that were sent to a target; a negative number takes back pieces that the target did not run. */
    void recordService(const OrganisationId &organisation, double pieces, MonotonicTime now);
    /** Sets the organisations whose pieces wait now. */
    void setWaiting(const std::set<OrganisationId> &organisations, MonotonicTime now);
    /** Returns the recent service of the organisation divided by its weight; the organisation with the lowest value goes first. */
    double normalizedService(const OrganisationId &organisation, MonotonicTime now) const;
    /** Returns the configured weight, or a larger one if the organisation would otherwise be served too rarely. */
    double weight(const OrganisationId &organisation, MonotonicTime now) const;
    /** Returns the pieces per second that the organisation requests. */
    double demandPerSecond(const OrganisationId &organisation, MonotonicTime now) const;
    /** Forgets organisations that have neither requested nor received anything recently. */
    void removeExpired(MonotonicTime now);
    std::size_t size() const;

private:
    struct Usage {
        DecayingCounter demand;
        DecayingCounter service;
    };

    Usage &usage(const OrganisationId &organisation, MonotonicTime now);
    const Usage *find(const OrganisationId &organisation) const;
    double configuredWeight(const OrganisationId &organisation) const;
    double levelForNewcomers(MonotonicTime now) const;

    std::unordered_map<OrganisationId, double> m_weights;
    std::unordered_map<OrganisationId, Usage> m_usage;
    std::set<OrganisationId> m_waiting;
    double m_waitingWeight = 0; ///< sum of the configured weights of m_waiting
    DecayingCounter m_totalDemand;
    DecayingCounter m_lastLevel; ///< normalized service of the organisation that was served last
};

} // namespace CassiaRelay::Gateway
