#pragma once

#include "relayaction.h"
#include "stagescheduler.h"
#include "storeentry.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace CassiaRelay::Gateway {

/** What the header of a caller's request says. */
struct CallerRequestHead {
    RequestId id;
    std::string host;
    std::optional<std::chrono::milliseconds> requestTimeout; ///< how long the caller waits
    std::optional<std::string> key;
    PromptMetadata prompt;
    std::vector<int> pieceCounts; ///< of each stage
    std::string inputKey;
    std::optional<std::string> resumeAfter; ///< id of the last event that the caller has
};

/** What the daemon itself tells the target that runs a request. */
struct TargetRequestHead {
    std::chrono::milliseconds timeLeft { 0 };
    TargetId expectedTarget; ///< any other target turns the request away
    std::optional<OrganisationId> organisation;
    std::optional<std::vector<std::string>> inputs; ///< handles; absent for routes without stages
    std::optional<int> enginePriority;              ///< 0 first, 9 last; engines only
    std::optional<std::string> resumeAfter;
};

/** What the header of a target's answer says. */
struct TargetResponse {
    ResponseHead head;
    std::optional<ReportedLoad> load;
    std::optional<Duration> coldFor;
};

/** A call in the form of the platform. */
struct PlatformRequest {
    std::string method;
    std::string path;
    std::vector<HttpField> fields;
    std::string body;
};

/** Translates between the types of the daemon and what the platform's store, callers and targets speak. Decides nothing. */
class PlatformPort
{
public:
    virtual ~PlatformPort() = default;

    /** Path that answers whether this daemon takes connections. */
    virtual std::string readinessPath() const = 0;
    /** Field that names a request, at callers and targets. */
    virtual std::string requestIdField() const = 0;

    /** @param after where the page starts; empty: at the first item */
    virtual PlatformRequest listRequest(const std::string &after) const = 0;
    /** @throws Error (BadRequest) when the body can't be read */
    virtual StorePage readPage(std::string_view body) const = 0;
    virtual PlatformRequest watchRequest(std::int64_t revision, std::chrono::milliseconds wait) const = 0;
    /** @throws Error (BadRequest) when the body can't be read */
    virtual StoreChanges readChanges(std::string_view body) const = 0;
    /** Whether the status says that changes since the revision are no longer known. */
    virtual bool isRevisionExpired(unsigned status) const = 0;

    /** Fields that can't be read count as absent. */
    virtual CallerRequestHead readCallerHead(const std::vector<HttpField> &fields) const = 0;
    /** Fields of a caller that are passed on, with those that the daemon sets. */
    virtual std::vector<HttpField> targetFields(const std::vector<HttpField> &callerFields, const TargetRequestHead &head) const = 0;
    virtual TargetResponse readTargetResponse(unsigned status, const std::vector<HttpField> &fields) const = 0;

    virtual PlatformRequest stageRequest(const StageCall &call, MonotonicTime now) const = 0;
    /** @throws Error (BadRequest) when the body can't be read */
    virtual std::vector<PieceOutcome> readStageResults(const StageCall &call, std::string_view body) const = 0;
    virtual PlatformRequest freeRequest(const std::vector<std::string> &handles) const = 0;
};

} // namespace CassiaRelay::Gateway
