#pragma once

#include "routetable.h"
#include "streamdirectory.h"

#include <algorithm>
#include <optional>
#include <set>

namespace CassiaRelay::Gateway {

/** One part of a prompt; several requests may share the same part. */
struct PromptPart {
    std::string id;
    std::int64_t tokens = 0;
};

/** What the caller states about the prompt and the output of an engine request. */
struct PromptMetadata {
    std::int64_t promptTokens = 0;
    std::int64_t maxOutputTokens = 0;
    std::optional<std::int64_t> expectedOutputTokens; ///< the caller's estimate
    std::vector<PromptPart> parts;                    ///< in prompt order; the last one is specific to the request
};

/** What the daemon that handed a request over has done for it. */
struct Handover {
    int attempts = 0; ///< targets to which it may have been sent
    std::set<TargetId> triedTargets;
    std::optional<StreamOrigin> origin; ///< of a stream that is bound to one
    bool takesOrigin = false;           ///< that daemon reads the origin of the stream from the response
};

/** A request accepted from a caller, or from the daemon that accepted it. */
struct RelayRequest {
    RequestId id;
    RouteTablePointer table; ///< keeps route and organisation alive
    const Route *route = nullptr;
    const Organisation *organisation = nullptr; ///< nullptr on public routes
    ServiceName service;
    MonotonicTime arrivedAt;
    MonotonicTime deadline;  ///< when the caller stops waiting
    MonotonicTime timeoutAt; ///< when the timeout of the route expires
    PromptMetadata prompt;
    std::vector<int> pieceCounts;
    std::string inputKey;                   ///< identifies the input of the stages that depend on no other stage
    std::optional<std::string> resumeAfter; ///< id of the last event that the caller received
    std::optional<RequestId> resumedStream; ///< request that brought the first event of the stream
    Fingerprint fingerprint;
    std::optional<Handover> handover; ///< set if another daemon has handed the request over; it is not handed over again

    /** Whether the caller resumes a stream of which it has events. */
    bool isResumption() const
    {
        return route->kind == RouteKind::Stream && route->isResumable && resumeAfter && !resumeAfter->empty() && *resumeAfter != "0";
    }
    /** How long ago the resumed stream began at the most. How long its caller has waited before is not known, only how long it still will.
     */
    Duration maxStreamAge() const
    {
        constexpr std::chrono::seconds LONGEST_PATIENCE { 15 }; // of callers whose route states no longer timeout
        return std::max<Duration>({ route->timeout, LONGEST_PATIENCE, deadline - arrivedAt });
    }
    int rank() const
    {
        return organisation && organisation->rank ? *organisation->rank : route->rank;
    }
    /** Responses after this time count as late. */
    MonotonicTime softDeadline() const
    {
        return arrivedAt + route->objective;
    }
    /** Latest time at which the request ends. */
    MonotonicTime endsAt() const
    {
        return std::min(deadline, timeoutAt);
    }
};

} // namespace CassiaRelay::Gateway
