#pragma once

#include "workitem.h"

namespace CassiaRelay::Routing {

/** Adapts the concurrent work on one target: additive increase while it keeps its pace, multiplicative decrease otherwise. */
class ConcurrencyLimit
{
public:
    /**
     * @param slowdown service time relative to the target's own baseline
     * @param bound the limit never exceeds it
     */
    void onFinished(AttemptOutcome outcome, double slowdown, int maxLimit, MonotonicTime now);
    /** At least one when the bound is. */
    int value(int maxLimit) const;

private:
    std::optional<double> m_limit; ///< empty until the first decrease
    MonotonicTime m_decreasedAt;
};

} // namespace CassiaRelay::Routing
