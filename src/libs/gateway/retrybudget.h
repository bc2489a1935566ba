#pragma once

#include "configuration.h"
#include "slidingwindowcounter.h"

#include <unordered_map>

namespace CassiaRelay::Gateway {

/** Limits on the retries of all daemons together. */
struct RetryLimits {
    double ratio = 0.1; ///< retries per request
    double extra = 10;  ///< additional retries per window
    Duration window = std::chrono::seconds(10);
};

/**
 * Decides whether a request may be retried.
 *
 * Daemons do not coordinate their retries: each may retry the given ratio of its own requests, plus an equal share of the extra retries.
 */
class RetryBudget
{
public:
    explicit RetryBudget(RetryLimits limits);

    /** A new window applies only to services without earlier requests; the others keep theirs. */
    void setLimits(RetryLimits limits);

    void recordRequest(const ServiceName &service, MonotonicTime now);
    /** Consumes one retry if the budget allows it. @param vmCount daemons among which the budget is divided */
    bool tryConsume(const ServiceName &service, int vmCount, MonotonicTime now);

private:
    struct Usage {
        explicit Usage(Duration window)
            : requests(window)
            , retries(window)
        {
        }
        SlidingWindowCounter requests;
        SlidingWindowCounter retries;
    };

    Usage &usage(const ServiceName &service);

    RetryLimits m_limits;
    std::unordered_map<ServiceName, Usage> m_usage;
};

} // namespace CassiaRelay::Gateway
