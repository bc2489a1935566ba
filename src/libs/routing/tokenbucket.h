#pragma once

#include <common/common.h>

namespace CassiaRelay::Routing {

/** Limits the rate of events, with bursts of up to one second's worth of tokens. */
class TokenBucket
{
public:
    /** @return true if a token was available, which is then consumed */
    bool tryConsume(double perSecond, MonotonicTime now);
    /** Time until the next token is available. */
    Duration timeUntilAvailable(double perSecond) const;

private:
    double m_usedTokens = 0; ///< tokens missing from a full bucket, so that a new bucket is full
    MonotonicTime m_refilledAt;
};

} // namespace CassiaRelay::Routing
