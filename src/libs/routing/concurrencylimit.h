#pragma once

#include "workitem.h"

namespace CassiaRelay::Routing {

/** Adaptive concurrency limit of one target: additive increase on success, multiplicative decrease on failures and slow responses. */
class ConcurrencyLimit
{
public:
    /**
     * @param slowdown service time relative to the target's own baseline
     * @param maxLimit upper bound of the limit
     */
    void onFinished(AttemptOutcome outcome, double slowdown, int maxLimit, MonotonicTime now);
    /** The current limit; at least 1 if maxLimit is at least 1. */
    int value(int maxLimit) const;

private:
    std::optional<double> m_limit; ///< empty until the first decrease
    MonotonicTime m_decreasedAt;
};

} // namespace CassiaRelay::Routing
