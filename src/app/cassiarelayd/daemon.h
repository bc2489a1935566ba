#pragma once

#include "callerapi.h"
#include "celladapter.h"
#include "controlplane.h"
#include "operatorapi.h"
#include "requestdriver.h"
#include "workrouter.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <thread>
#include <vector>

namespace CassiaRelay::Daemon {

/** One daemon process: a control thread and the threads that serve requests. */
class Daemon
{
public:
    explicit Daemon(const Settings::ProcessSettings &settings);

    /** Serves until SIGTERM or SIGINT; a graceful shutdown lets every running request finish. */
    void run();
    std::uint16_t callerPort() const;
    std::uint16_t operatorPort() const;

private:
    ControlHandlers controlHandlers();
    void waitForSignal();
    void beginShutdown();
    void finishShutdownWhenIdle();
    void stopNow();
    void tickRouter();

    VmId m_vm;
    Incarnation m_incarnation;
    boost::asio::io_context m_requestContext;
    boost::asio::io_context m_controlContext;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_requestWork;
    ControlPlane m_control;
    Net::HttpClient m_controlHttp;
    std::shared_ptr<Net::LoadPoller> m_loadPoller;
    std::shared_ptr<RequestServices> m_services;
    CallerApi m_callerApi;
    OperatorApi m_operatorApi;
    Net::HttpServer m_callerServer;
    Net::HttpServer m_operatorServer;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_shutdownTimer;
    boost::asio::steady_timer m_routerTimer;
    int m_threads;
    bool m_callersStopped = false;
};

} // namespace CassiaRelay::Daemon
