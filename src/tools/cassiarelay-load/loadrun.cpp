#include "loadrun.h"

namespace CassiaRelay::Load {

LoadRun::LoadRun(const LoadPlan &plan, RunOptions options)
    : m_plan(plan)
    , m_options(std::move(options))
    , m_arrivals(plan.arrivals(m_options.length, m_options.scale, m_options.seed))
    , m_client(m_context)
    , m_timer(m_context)
{
}

std::vector<CallRecord> LoadRun::run()
{
    m_startedAt = std::chrono::steady_clock::now();
    m_records.reserve(m_arrivals.size());
    sendDue();
    m_context.run();
    return std::move(m_records);
}

void LoadRun::sendDue()
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    while (m_next < m_arrivals.size() && m_startedAt + m_arrivals[m_next].at <= now) {
        const Arrival &arrival = m_arrivals[m_next];
        const Endpoint &endpoint = m_options.endpoints[m_next % m_options.endpoints.size()];
        std::make_shared<LoadCall>(m_plan.streams[arrival.stream], arrival, m_options.direct, [this](const CallRecord &record) {
            m_records.push_back(record);
        })->start(m_client, endpoint);
        ++m_next;
    }
    if (m_next == m_arrivals.size()) {
        return;
    }
    m_timer.expires_at(m_startedAt + m_arrivals[m_next].at);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            sendDue();
        }
    });
}

} // namespace CassiaRelay::Load
