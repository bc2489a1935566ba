#pragma once

#include "configuration.h"
#include "slidingwindowcounter.h"

#include <unordered_map>

namespace CassiaRelay::Gateway {

/** Bounds of what all daemons together may send twice. */
struct RetryLimits {
    double ratio = 0.1;
    double extra = 10;
    Duration window = std::chrono::seconds(10);
};

/**
 * Decides whether a request may be sent a second time.
 *
 * Each daemon takes its share of the allowance without asking the others: ratio of its own requests, and an equal part of the extra.
 */
class RetryBudget
{
public:
    explicit RetryBudget(RetryLimits limits);

    /** Services that are known keep the window that they have. */
    void setLimits(RetryLimits limits);

    void recordRequest(const ServiceName &service, MonotonicTime now);
    /** Takes one repeat out of the budget. @param vms daemons that may share it */
    bool take(const ServiceName &service, int vmCount, MonotonicTime now);

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
