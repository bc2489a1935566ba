#pragma once

#include "tokenbucket.h"
#include "workitem.h"

#include <settings/settings.h>

#include <unordered_map>

namespace CassiaRelay::Routing {

/** Holds each organisation to its rate and concurrency; organisations that never called cost nothing. */
class Admission
{
public:
    /** Counts the work; a refusal counts nothing. Only the first attempt of a first stage can be refused. */
    std::optional<Refusal> admit(const WorkItem &item, const Settings::OrganisationSettings &limits, MonotonicTime now);
    /** The work of the organisation has ended or was refused later. */
    void release(const OrganisationId &organisation);

private:
    struct Usage {
        TokenBucket bucket;
        int activeWork = 0;
    };

    std::unordered_map<OrganisationId, Usage> m_usage;
};

} // namespace CassiaRelay::Routing
