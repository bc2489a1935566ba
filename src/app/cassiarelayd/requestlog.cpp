#include "requestlog.h"

#include <algorithm>

namespace CassiaRelay::Daemon {

RequestLog::RequestLog(std::size_t capacity)
    : m_partCapacity(std::max<std::size_t>(1, capacity / PARTS))
{
}

RequestLog::Part &RequestLog::partOf(const RequestId &id)
{
    return m_parts[std::hash<RequestId>()(id) % PARTS];
}

template<typename Change>
void RequestLog::change(const RequestId &id, Change change)
{
    Part &part = partOf(id);
    const std::lock_guard lock(part.mutex);
    const auto found = part.records.find(id);
    if (found != part.records.end()) {
        change(found->second);
    }
}

void RequestLog::begin(const RequestHead &head, MonotonicTime now)
{
    Part &part = partOf(head.id);
    const std::lock_guard lock(part.mutex);
    if (!part.records.try_emplace(head.id, RequestRecord { head, now, {}, std::nullopt, std::nullopt }).second) {
        return;
    }
    part.order.push_back(head.id);
    if (part.order.size() > m_partCapacity) {
        part.records.erase(part.order.front());
        part.order.pop_front();
    }
}

void RequestLog::stage(const RequestId &id, const StageName &stage, MonotonicTime now)
{
    change(id, [&](RequestRecord &record) {
        // A retry submits the same stage again.
        const bool isRetry = !record.stages.empty() && record.stages.back().stage == stage;
        if (!isRetry && record.stages.size() < MAX_STAGES) {
            record.stages.push_back({ stage, now, {} });
        }
    });
}

void RequestLog::attempt(const RequestId &id, const TargetId &target, MonotonicTime now)
{
    change(id, [&](RequestRecord &record) {
        if (!record.stages.empty() && record.stages.back().attempts.size() < MAX_ATTEMPTS) {
            record.stages.back().attempts.push_back({ target, now, std::nullopt, Routing::AttemptOutcome::Cancelled });
        }
    });
}

void RequestLog::attemptEnd(const RequestId &id, const TargetId &target, Routing::AttemptOutcome outcome, MonotonicTime now)
{
    change(id, [&](RequestRecord &record) {
        if (record.stages.empty()) {
            return;
        }
        for (AttemptRecord &attempt : record.stages.back().attempts) {
            if (attempt.target != target || attempt.endedAt) {
                continue;
            }
            attempt.endedAt = now;
            attempt.outcome = outcome;
            return;
        }
    });
}

void RequestLog::end(const RequestId &id, std::optional<ErrorKind> refusal, MonotonicTime now)
{
    change(id, [&](RequestRecord &record) {
        record.endedAt = now;
        record.refusal = refusal;
    });
}

std::optional<RequestRecord> RequestLog::find(const RequestId &id) const
{
    const Part &part = m_parts[std::hash<RequestId>()(id) % PARTS];
    const std::lock_guard lock(part.mutex);
    const auto found = part.records.find(id);
    return found == part.records.end() ? std::nullopt : std::optional(found->second);
}

} // namespace CassiaRelay::Daemon
