#pragma once

#include <common/common.h>

#include <optional>
#include <vector>

namespace CassiaRelay::Routing {

/** A stage that follows the current one of a request. */
struct LaterStage {
    PoolName pool;
    int priorityClass = 0;
};

/** One stage of one request, which needs a slot on a target. */
struct WorkItem {
    WorkId id;
    OrganisationId organisation;
    PoolName pool;
    int priorityClass = 0; ///< classes with lower numbers are served first
    MonotonicTime deadline;
    /** Equal for requests that share a prompt prefix; 0 for no affinity. */
    std::uint64_t affinityKey = 0;
    Fingerprint fingerprint;
    bool repeatable = true;
    /** True for the first stage of a request, the only one that the organisation's limits can refuse. */
    bool isFirstStage = false;
    /** 0 for the first attempt of the stage. */
    int attempt = 0;
    /** The target that failed the last attempt; selected again only if no other is available. */
    std::optional<TargetId> avoidedTarget;
    /** Stages after this one; the deadline must leave time for them. */
    std::vector<LaterStage> laterStages;
    /** Set by the dispatcher: runs although its deadline seems unreachable, to renew the service time measurements. */
    bool isProbe = false;
};

/** How an attempt on a target ended. */
enum class AttemptOutcome {
    Succeeded,
    Failed,         ///< the target answered with an error
    Refused,        ///< the target rejected the work before running it
    Unreachable,    ///< no connection to the target: nothing was sent
    ConnectionLost, ///< the connection was lost while the target ran the work
    TimedOut,
    Cancelled,
};

} // namespace CassiaRelay::Routing
