#pragma once

#include <common/common.h>

namespace CassiaRelay::Routing {

/** Allows a rate with bursts of up to one second's worth. */
class TokenBucket
{
public:
    /** @return true when the event is within the rate, and counts it */
    bool tryConsume(double perSecond, MonotonicTime now);
    /** Time until the next event is within the rate. */
    Duration timeUntilAvailable(double perSecond) const;

private:
    double m_usedTokens = 0; ///< tokens missing from a full bucket, so that a new bucket is full
    MonotonicTime m_refilledAt;
};

} // namespace CassiaRelay::Routing
