#include "admission.h"

namespace CassiaRelay::Routing {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds CONCURRENCY_RETRY_AFTER { 500 };

} // namespace

std::optional<Refusal> Admission::admit(const WorkItem &item, const Settings::OrganisationSettings &limits, MonotonicTime now)
{
    Usage &usage = m_usage[item.organisation];
    if (item.isFirstStage && item.attempt == 0) {
        if (usage.activeWork >= limits.concurrency) {
            return Refusal { ErrorKind::RateLimited,
                             Outcome::NotRun,
                             "organisation " + item.organisation.value() + " is at its concurrency limit",
                             CONCURRENCY_RETRY_AFTER };
        }
        if (!usage.bucket.tryConsume(limits.requestsPerSecond, now)) {
            return Refusal { ErrorKind::RateLimited,
                             Outcome::NotRun,
                             "organisation " + item.organisation.value() + " is at its rate limit",
                             std::chrono::ceil<milliseconds>(usage.bucket.timeUntilAvailable(limits.requestsPerSecond)) };
        }
    }
    ++usage.activeWork;
    return std::nullopt;
}

void Admission::release(const OrganisationId &organisation)
{
    const auto found = m_usage.find(organisation);
    if (found != m_usage.end() && found->second.activeWork > 0) {
        --found->second.activeWork;
    }
}

} // namespace CassiaRelay::Routing
