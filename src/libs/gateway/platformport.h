#pragma once

#include "relayaction.h"
#include "stagescheduler.h"
#include "storeentry.h"
#include "targetstatements.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace CassiaRelay::Gateway {

/** Contents of the header of a caller's request. */
struct CallerRequestHead {
    RequestId id;
    std::string host;
    std::optional<std::chrono::milliseconds> requestTimeout; ///< how long the caller waits for the response
    std::optional<std::string> key;
    PromptMetadata prompt;
    std::vector<int> pieceCounts; ///< by stage
    std::string inputKey;
    std::optional<std::string> resumeAfter; ///< id of the last event that the caller received
    std::optional<RequestId> resumedStream; ///< request that brought the first event of the stream
    std::string invalidField;               ///< name of a field that is too long or not printable ASCII; empty if there is none
};

/** Header values that the daemon itself sets on a request to a target. */
struct TargetRequestHead {
    std::chrono::milliseconds timeLeft { 0 };
    TargetId expectedTarget; ///< any other target refuses the request
    std::optional<OrganisationId> organisation;
    std::optional<std::vector<std::string>> inputs; ///< result handles; absent for routes without stages
    std::optional<int> enginePriority;              ///< 0 first, 9 last; engines only
    std::optional<std::string> resumeAfter;
};

/** Contents of the header of a target's response. */
struct TargetResponse {
    ResponseHead head;
    std::optional<ReportedLoad> load;
    std::optional<Duration> coldFor;
    std::optional<TargetStatement> statement;    ///< no value if the response is not that of the target
    std::optional<RateLimitStatement> rateLimit; ///< no value if the response says nothing that can be read
};

/** An HTTP request in the format of the platform. */
struct PlatformRequest {
    std::string method;
    std::string path;
    std::vector<HttpField> fields;
    std::string body;
};

/** Port to the platform: translates between the daemon's types and the protocols of its store, callers and targets. Decides nothing. */
class PlatformPort
{
public:
    virtual ~PlatformPort() = default;

    /** Path of the readiness check, which tells whether this daemon accepts connections. */
    virtual std::string readinessPath() const = 0;
    /** Name of the header field that carries the request id, in requests from callers and to targets. */
    virtual std::string requestIdField() const = 0;

    /** @param after key after which the page starts; empty for the first page */
    virtual PlatformRequest listRequest(const std::string &after) const = 0;
    /** @throws Error (BadRequest) when the body can't be read */
    virtual StorePage readPage(std::string_view body) const = 0;
    virtual PlatformRequest watchRequest(std::int64_t revision, std::chrono::milliseconds wait) const = 0;
    /** @throws Error (BadRequest) when the body can't be read */
    virtual StoreChanges readChanges(std::string_view body) const = 0;
    /** Number that the store raises when it was restored from a copy; no value when the response does not tell it. */
    virtual std::optional<std::int64_t> storeEra(const std::vector<HttpField> &fields) const = 0;
    /** Whether the status means that changes since the revision are no longer available. */
    virtual bool isRevisionExpired(unsigned status) const = 0;

    /** Malformed fields count as absent. */
    virtual CallerRequestHead readCallerHead(const std::vector<HttpField> &fields) const = 0;
    /** Fields of the caller's request that are forwarded, and those that the daemon sets. */
    virtual std::vector<HttpField> targetFields(const std::vector<HttpField> &callerFields, const TargetRequestHead &head) const = 0;
    /**
     * Fields of the caller's request that another daemon needs to run it in place of this one.
     * @param receiver that daemon; a target at its address refuses the request
     */
    virtual std::vector<HttpField> peerFields(const std::vector<HttpField> &callerFields, const VmId &receiver) const = 0;
    virtual TargetResponse readTargetResponse(unsigned status, const std::vector<HttpField> &fields) const = 0;

    virtual PlatformRequest stageRequest(const StageCall &call, MonotonicTime now) const = 0;
    /** @throws Error (BadRequest) when the body can't be read */
    virtual std::vector<PieceOutcome> readStageResults(const StageCall &call, std::string_view body) const = 0;
    /** @param target that made the results; any other refuses the request */
    virtual PlatformRequest freeRequest(const TargetId &target, const std::vector<std::string> &handles) const = 0;
};

} // namespace CassiaRelay::Gateway
