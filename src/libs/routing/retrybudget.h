#pragma once

#include "workitem.h"

namespace CassiaRelay::Routing {

/** Limits the retries of one pool to a ratio of its first attempts, and allows none while its targets refuse most attempts. */
class RetryBudget
{
public:
    void onFirstAttempt(double ratio);
    void onFinished(AttemptOutcome outcome);
    /** @return true if a retry may start, which is then counted */
    bool tryConsume();

private:
    double m_tokens = 10;
    double m_refusalRate = 0; ///< exponential moving average
};

} // namespace CassiaRelay::Routing
