#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gateway/gateway.h>
#include <metrics/metrics.h>

namespace CassiaRelay::GatewayDaemon {

/** Measures how late the event loop runs its tasks. */
class LoopMonitor
{
public:
    LoopMonitor(boost::asio::io_context &context, Gateway::KnowledgeAge &knowledge, Metrics::Registry &metrics);

    void start();
    void stop();
    /** Lag of the latest task. */
    Duration lag() const;

private:
    void scheduleNext();

    Gateway::KnowledgeAge &m_knowledge;
    Metrics::Histogram &m_lagTime;
    boost::asio::steady_timer m_timer;
    Duration m_lag {};
};

} // namespace CassiaRelay::GatewayDaemon
