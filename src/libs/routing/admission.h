#pragma once

#include "tokenbucket.h"
#include "workitem.h"

#include <settings/settings.h>

#include <unordered_map>

namespace CassiaRelay::Routing {

/** Enforces the rate and concurrency limits of each organisation; an organisation takes no memory until its first request. */
class Admission
{
public:
    /** Counts the work item as active unless it is refused. Only the first attempt of the first stage of a request can be refused. */
    std::optional<Refusal> admit(const WorkItem &item, const Settings::OrganisationSettings &limits, MonotonicTime now);
    /** Call when a counted work item of the organisation has ended or was refused later on. */
    void release(const OrganisationId &organisation);

private:
    struct Usage {
        TokenBucket bucket;
        int activeWork = 0;
    };

    std::unordered_map<OrganisationId, Usage> m_usage;
};

} // namespace CassiaRelay::Routing
