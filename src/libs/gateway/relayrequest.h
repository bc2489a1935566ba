#pragma once

#include "routetable.h"

#include <optional>

namespace CassiaRelay::Gateway {

/** One part of a prompt, which other requests may share. */
struct PromptPart {
    std::string id;
    std::int64_t tokens = 0;
};

/** What a caller says about the work of an engine. */
struct PromptMetadata {
    std::int64_t promptTokens = 0;
    std::int64_t maxOutputTokens = 0;
    std::optional<std::int64_t> expectedOutputTokens; ///< estimate of the caller
    std::vector<PromptPart> parts;                    ///< in order; the last one belongs to the request
};

/** A request as it was taken from a caller. */
struct RelayRequest {
    RequestId id;
    RouteTablePointer table; ///< keeps route and organisation alive
    const Route *route = nullptr;
    const Organisation *organisation = nullptr; ///< nullptr on public routes
    ServiceName service;
    MonotonicTime arrivedAt;
    MonotonicTime deadline;  ///< when the caller stops waiting
    MonotonicTime timeoutAt; ///< when operators want a final answer
    PromptMetadata prompt;
    std::vector<int> pieceCounts;
    std::string inputKey;                   ///< names the input of the stages
    std::optional<std::string> resumeAfter; ///< id of the last event that the caller has
    Fingerprint fingerprint;

    int rank() const
    {
        return organisation && organisation->rank ? *organisation->rank : route->rank;
    }
    MonotonicTime softDeadline() const
    {
        return arrivedAt + route->objective;
    }
    /** When the request ends at the latest. */
    MonotonicTime endsAt() const
    {
        return std::min(deadline, timeoutAt);
    }
};

} // namespace CassiaRelay::Gateway
