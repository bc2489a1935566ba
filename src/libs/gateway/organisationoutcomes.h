#pragma once

#include "decayingcounter.h"

#include <map>
#include <optional>
#include <string>

namespace CassiaRelay::Gateway {

/** Counts by organisation how many pieces were completed and how many rejected, for metrics. */
class OrganisationOutcomes
{
public:
    /** Returns the metrics label of an organisation: its id for the first 64, then a common label. */
    std::string label(const std::optional<OrganisationId> &organisation);
    /** @param label from label() */
    void record(const std::string &label, std::size_t completed, std::size_t rejected, MonotonicTime now);
    /** Returns the mean share of pieces completed recently in the tenth of organisations where it is lowest; no value without pieces. */
    std::optional<double> worstServedTenth(MonotonicTime now) const;

    static constexpr std::size_t MAX_LABELS = 64; ///< of organisations, as in the other metrics by organisation

private:
    struct Outcomes {
        DecayingCounter completed;
        DecayingCounter rejected;
    };

    std::map<std::string, Outcomes> m_byLabel;
};

} // namespace CassiaRelay::Gateway
