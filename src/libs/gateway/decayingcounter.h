#pragma once

#include <common/common.h>

#include <algorithm>
#include <cmath>

namespace CassiaRelay::Gateway {

/** A sum of amounts, each of which counts half as much after every half-life. */
class DecayingCounter
{
public:
    explicit DecayingCounter(Duration halfLife)
        : m_halfLife(halfLife)
    {
    }

    /** @param amount may be negative to take back an earlier amount; the sum is never below 0 */
    void add(double amount, MonotonicTime now)
    {
        m_value = std::max(0.0, value(now) + amount);
        m_updatedAt = now;
    }

    void raiseTo(double minimum, MonotonicTime now)
    {
        m_value = std::max(minimum, value(now));
        m_updatedAt = now;
    }

    double value(MonotonicTime now) const
    {
        const std::chrono::duration<double> age = now - m_updatedAt;
        const std::chrono::duration<double> halfLife = m_halfLife;
        return m_value == 0 || age.count() <= 0 ? m_value : m_value * std::exp2(-age.count() / halfLife.count());
    }

    /** Returns the constant rate that would have given the present value. */
    double ratePerSecond(MonotonicTime now) const
    {
        const std::chrono::duration<double> halfLife = m_halfLife;
        return value(now) * std::log(2.0) / halfLife.count();
    }

private:
    Duration m_halfLife;
    double m_value = 0;
    MonotonicTime m_updatedAt;
};

} // namespace CassiaRelay::Gateway
