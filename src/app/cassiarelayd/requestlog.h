#pragma once

#include <common/common.h>
#include <routing/routing.h>

#include <array>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace CassiaRelay::Daemon {

/** One attempt of a stage. */
struct AttemptRecord {
    TargetId target;
    MonotonicTime startedAt;
    std::optional<MonotonicTime> endedAt;
    Routing::AttemptOutcome outcome = Routing::AttemptOutcome::Cancelled; ///< valid once ended
};

/** One stage with its attempts. */
struct StageRecord {
    StageName stage;
    MonotonicTime submittedAt;
    std::vector<AttemptRecord> attempts;
};

/** Who called what. */
struct RequestHead {
    RequestId id;
    OrganisationId organisation;
    PipelineName pipeline;
    int priorityClass = 0;
};

/** What is known of a recent request. */
struct RequestRecord {
    RequestHead head;
    MonotonicTime startedAt;
    std::vector<StageRecord> stages;
    std::optional<MonotonicTime> endedAt;
    std::optional<ErrorKind> refusal; ///< set when the request ended without an answer
};

/** The most recent requests of this daemon; the oldest go first. Calls for a request that has gone do nothing. Safe from any thread. */
class RequestLog
{
public:
    static constexpr std::size_t DEFAULT_CAPACITY = 4096;

    explicit RequestLog(std::size_t capacity = DEFAULT_CAPACITY);

    void begin(const RequestHead &head, MonotonicTime now);
    /** A stage asks for a slot. */
    void stage(const RequestId &id, const StageName &stage, MonotonicTime now);
    /** The current stage has a slot on the target. */
    void attempt(const RequestId &id, const TargetId &target, MonotonicTime now);
    void attemptEnd(const RequestId &id, const TargetId &target, Routing::AttemptOutcome outcome, MonotonicTime now);
    /** @param refusal empty when the request was answered */
    void end(const RequestId &id, std::optional<ErrorKind> refusal, MonotonicTime now);

    std::optional<RequestRecord> find(const RequestId &id) const;

private:
    // Requests spread over parts, so that threads seldom wait for each other.
    struct Part {
        mutable std::mutex mutex;
        std::unordered_map<RequestId, RequestRecord> records;
        std::deque<RequestId> order;
    };
    static constexpr std::size_t PARTS = 16;
    static constexpr std::size_t MAX_STAGES = 16;
    static constexpr std::size_t MAX_ATTEMPTS = 16;

    Part &partOf(const RequestId &id);
    template<typename Change>
    void change(const RequestId &id, Change change);

    std::size_t m_partCapacity;
    std::array<Part, PARTS> m_parts;
};

} // namespace CassiaRelay::Daemon
