#include "loopmonitor.h"

namespace CassiaRelay::GatewayDaemon {

namespace {

constexpr std::chrono::milliseconds INTERVAL { 250 };

} // namespace

LoopMonitor::LoopMonitor(boost::asio::io_context &context, Gateway::KnowledgeAge &knowledge, Metrics::Registry &metrics)
    : m_knowledge(knowledge)
    , m_lagTime(metrics.histogram("cassiarelay_event_loop_lag_seconds"))
    , m_timer(context)
{
}

void LoopMonitor::start()
{
    scheduleNext();
}

void LoopMonitor::stop()
{
    m_timer.cancel();
}

Duration LoopMonitor::lag() const
{
    return m_lag;
}

void LoopMonitor::scheduleNext()
{
    m_timer.expires_after(INTERVAL);
    m_knowledge.setNextTask(m_timer.expiry());
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        const MonotonicTime now = std::chrono::steady_clock::now();
        m_lag = now - m_timer.expiry();
        m_lagTime.record(m_lag);
        m_knowledge.recordLag(m_lag, now);
        scheduleNext();
    });
}

} // namespace CassiaRelay::GatewayDaemon
