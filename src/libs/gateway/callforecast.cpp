#include "callforecast.h"

#include <algorithm>

namespace CassiaRelay::Gateway {

CallForecast::CallForecast(const std::vector<CallSlot> &slots, CallTimes times)
    : m_times(times)
{
    m_times.batch = std::max<std::size_t>(1, m_times.batch);
    const Duration fullCall = m_times.of(m_times.batch);
    for (const CallSlot &slot : slots) {
        // When the target frees memory is not known; results are usually fetched within about one call.
        const bool hasMemory = slot.places > 0;
        m_slots.push(
            { hasMemory ? slot.freeIn : slot.freeIn + fullCall, hasMemory ? std::min(slot.places, m_times.batch) : m_times.batch });
    }
}

std::optional<Duration> CallForecast::finish(std::size_t position, std::size_t total)
{
    if (m_slots.empty()) {
        return std::nullopt;
    }
    while (m_callOfPosition.size() <= position) {
        const Slot slot = m_slots.top();
        m_slots.pop();
        m_slots.push({ slot.start + m_times.of(slot.places), m_times.batch });
        m_calls.push_back({ slot.start, m_callOfPosition.size(), slot.places });
        m_callOfPosition.resize(m_callOfPosition.size() + slot.places, m_calls.size() - 1);
    }
    const Call &call = m_calls[m_callOfPosition[position]];
    return call.start + m_times.of(std::min(call.places, std::max(total, position + 1) - call.first));
}

} // namespace CassiaRelay::Gateway
