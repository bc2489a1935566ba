#pragma once

#include <common/common.h>

#include <optional>
#include <vector>

namespace CassiaRelay::Routing {

/** A stage that a request still has before it. */
struct LaterStage {
    PoolName pool;
    int priorityClass = 0;
};

/** One stage of one request that wants a slot on a target. */
struct WorkItem {
    WorkId id;
    OrganisationId organisation;
    PoolName pool;
    int priorityClass = 0;
    MonotonicTime deadline;
    /** Requests that share a prompt prefix have the same value; 0 for none. */
    std::uint64_t affinityKey = 0;
    Fingerprint fingerprint;
    bool repeatable = true;
    /** True for the first stage of a request: only there its organisation's limits apply. */
    bool isFirstStage = false;
    /** 0 for the first attempt of the stage. */
    int attempt = 0;
    /** The target that failed the last attempt; chosen again only when there is no other. */
    std::optional<TargetId> avoidedTarget;
    /** Stages after this one, whose time the deadline must leave. */
    std::vector<LaterStage> laterStages;
    /** Set by the dispatcher: runs although it seems too late, to renew the measurements. */
    bool isProbe = false;
};

/** How an attempt on a target ended. */
enum class AttemptOutcome {
    Succeeded,
    Failed,         ///< the target answered with an error
    Refused,        ///< the target turned the work away before it ran
    Unreachable,    ///< no connection to the target: nothing was sent
    ConnectionLost, ///< the target went while it ran the work
    TimedOut,
    Cancelled,
};

} // namespace CassiaRelay::Routing
