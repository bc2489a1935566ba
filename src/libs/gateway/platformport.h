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
struct CallerHead {
    RequestId id;
    std::string host;
    std::optional<std::chrono::milliseconds> patience; ///< how long the caller waits
    std::optional<std::string> key;
    PromptShape prompt;
    std::vector<int> pieceCounts; ///< of each stage
    std::string inputKey;
    std::optional<std::string> resumeAfter; ///< id of the last event that the caller has
};

/** What the daemon itself tells the target that runs a request. */
struct TargetHead {
    std::chrono::milliseconds timeLeft { 0 };
    TargetId expected; ///< any other target turns the request away
    std::optional<OrganisationId> organisation;
    std::optional<std::vector<std::string>> inputs; ///< handles; absent for routes without stages
    std::optional<int> urgency;                     ///< 0 first, 9 last; engines only
    std::optional<std::string> resumeAfter;
};

/** What the header of a target's answer says. */
struct TargetAnswer {
    AnswerHead head;
    std::optional<ReportedLoad> load;
    std::optional<Duration> coldFor;
};

/** A call in the form of the platform. */
struct WireCall {
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
    virtual WireCall listCall(const std::string &after) const = 0;
    /** @throws Error (BadRequest) when the body can't be read */
    virtual StorePage readPage(std::string_view body) const = 0;
    virtual WireCall watchCall(std::int64_t revision, std::chrono::milliseconds wait) const = 0;
    /** @throws Error (BadRequest) when the body can't be read */
    virtual StoreChanges readChanges(std::string_view body) const = 0;
    /** Whether the status says that changes since the revision are no longer known. */
    virtual bool isHistoryGone(unsigned status) const = 0;

    /** Fields that can't be read count as absent. */
    virtual CallerHead readCaller(const std::vector<HttpField> &fields) const = 0;
    /** Fields of a caller that are passed on, with those that the daemon sets. */
    virtual std::vector<HttpField> targetFields(const std::vector<HttpField> &callerFields, const TargetHead &head) const = 0;
    virtual TargetAnswer readAnswer(unsigned status, const std::vector<HttpField> &fields) const = 0;

    virtual WireCall stageCall(const StageCall &call, MonotonicTime now) const = 0;
    /** @throws Error (BadRequest) when the body can't be read */
    virtual std::vector<PieceOutcome> readStageResults(const StageCall &call, std::string_view body) const = 0;
    virtual WireCall freeCall(const std::vector<std::string> &handles) const = 0;
};

} // namespace CassiaRelay::Gateway
