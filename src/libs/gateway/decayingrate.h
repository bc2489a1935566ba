#pragma once

#include <common/common.h>

#include <algorithm>
#include <cmath>
#include <optional>

namespace CassiaRelay::Gateway {

/** Recent mean rate of an amount; older amounts count exponentially less. */
class DecayingRate
{
public:
    explicit DecayingRate(Duration halfLife)
        : m_halfLife(halfLife)
    {
    }

    void add(double amount, MonotonicTime now)
    {
        if (!m_startedAt) {
            m_startedAt = now;
            m_updatedAt = now;
        }
        m_sum = m_sum * remaining(now - m_updatedAt) + amount;
        m_updatedAt = now;
    }

    /** Returns the amount per second; 0 if nothing was added within the last ten half-lives. */
    double perSecond(MonotonicTime now) const
    {
        if (!m_startedAt || now - m_updatedAt > m_halfLife * 10) {
            return 0;
        }
        // The part of the weight that lies before the first amount is left out; at least a tenth, so that a single amount is no burst.
        const double weight = std::max(0.1, 1 - remaining(now - *m_startedAt));
        return m_sum * remaining(now - m_updatedAt) * std::log(2.0) / std::chrono::duration<double>(m_halfLife).count() / weight;
    }

private:
    double remaining(std::chrono::duration<double> time) const
    {
        return std::exp2(-time / std::chrono::duration<double>(m_halfLife));
    }

    Duration m_halfLife;
    std::optional<MonotonicTime> m_startedAt;
    MonotonicTime m_updatedAt;
    double m_sum = 0;
};

} // namespace CassiaRelay::Gateway
