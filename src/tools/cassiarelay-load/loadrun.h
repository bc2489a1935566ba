#pragma once

#include "loadcall.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <vector>

namespace CassiaRelay::Load {

/** What a run is told beside its plan. */
struct RunOptions {
    std::vector<Endpoint> endpoints;
    std::chrono::milliseconds length { 10000 };
    double scale = 1;
    std::uint64_t seed = 1;
    bool direct = false;
};

/** Sends every arrival at its time, whatever became of the ones before. */
class LoadRun
{
public:
    LoadRun(const LoadPlan &plan, RunOptions options);

    /** Returns when every request has ended. */
    std::vector<CallRecord> run();

private:
    void sendDue();

    const LoadPlan &m_plan;
    RunOptions m_options;
    std::vector<Arrival> m_arrivals;
    boost::asio::io_context m_context;
    Net::HttpClient m_client;
    boost::asio::steady_timer m_timer;
    MonotonicTime m_startedAt;
    std::size_t m_next = 0;
    std::vector<CallRecord> m_records;
};

} // namespace CassiaRelay::Load
