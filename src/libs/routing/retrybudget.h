#pragma once

#include "workitem.h"

namespace CassiaRelay::Routing {

/** Retries of one pool: a part of its first attempts, and none while it refuses most of its work. */
class RetryBudget
{
public:
    void onFirstAttempt(double ratio);
    void onFinished(AttemptOutcome outcome);
    /** @return true when a retry may start, and counts it */
    bool tryConsume();

private:
    double m_tokens = 10;
    double m_refusalRate = 0; ///< moving average
};

} // namespace CassiaRelay::Routing
