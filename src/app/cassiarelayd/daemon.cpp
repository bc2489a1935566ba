#include "daemon.h"

#include <spdlog/spdlog.h>

#include <csignal>

namespace CassiaRelay::Daemon {

namespace {

constexpr std::chrono::milliseconds ROUTER_TICK { 10 };
constexpr std::chrono::milliseconds IDLE_CHECK { 20 };

std::string requestIdPrefix(const VmId &vm, Incarnation incarnation)
{
    return vm.value() + "-" + std::to_string(incarnation.value()) + "-";
}

Net::HttpLimits toLimits(const Schema::CallerListener &listener)
{
    Net::HttpLimits limits;
    limits.maxBodyBytes = static_cast<std::size_t>(listener.maxBodyBytes.value_or(static_cast<std::int64_t>(limits.maxBodyBytes)));
    limits.maxHeaderBytes = static_cast<std::size_t>(listener.maxHeaderBytes.value_or(static_cast<std::int64_t>(limits.maxHeaderBytes)));
    limits.maxConnections = static_cast<std::size_t>(listener.maxConnections.value_or(static_cast<std::int64_t>(limits.maxConnections)));
    limits.readTimeout = std::chrono::milliseconds(listener.readTimeoutMs.value_or(limits.readTimeout.count()));
    limits.stalledReaderTimeout = std::chrono::milliseconds(listener.stalledReaderTimeoutMs.value_or(limits.stalledReaderTimeout.count()));
    limits.idleTimeout = std::chrono::milliseconds(listener.idleTimeoutMs.value_or(limits.idleTimeout.count()));
    return limits;
}

} // namespace

Daemon::Daemon(const Settings::ProcessSettings &settings)
    : m_vm(settings.vm)
    , m_incarnation(newIncarnation())
    , m_requestWork(boost::asio::make_work_guard(m_requestContext))
    , m_control(m_controlContext, settings, m_incarnation, controlHandlers())
    , m_controlHttp(m_controlContext)
    , m_loadPoller(std::make_shared<Net::LoadPoller>(
          m_controlContext,
          m_controlHttp,
          m_incarnation.value(),
          [this](const TargetId &target, const Routing::LoadReport &report) { m_services->router.onLoadReport(target, report); }))
    , m_services(std::make_shared<RequestServices>(m_requestContext, settings, m_incarnation.value(), m_control))
    , m_callerApi(*m_services, requestIdPrefix(settings.vm, m_incarnation))
    , m_operatorApi(*m_services, m_control, settings.operators.token)
    , m_callerServer(m_requestContext,
                     settings.callers.address,
                     static_cast<std::uint16_t>(settings.callers.port),
                     toLimits(settings.callers),
                     [this](const Net::HttpExchangePointer &exchange) { m_callerApi.handle(exchange); })
    , m_operatorServer(m_controlContext,
                       settings.operators.address,
                       static_cast<std::uint16_t>(settings.operators.port),
                       {},
                       [this](const Net::HttpExchangePointer &exchange) { m_operatorApi.handle(exchange); })
    , m_signals(m_controlContext, SIGTERM, SIGINT)
    , m_shutdownTimer(m_controlContext)
    , m_routerTimer(m_requestContext)
    , m_threads(settings.threads)
{
}

void Daemon::run()
{
    m_callerServer.start();
    m_operatorServer.start();
    m_control.start();
    m_loadPoller->start();
    waitForSignal();
    tickRouter();
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(m_threads));
    for (int index = 0; index < m_threads; ++index) {
        threads.emplace_back([this] { m_requestContext.run(); });
    }
    m_controlContext.run();
    for (std::thread &thread : threads) {
        thread.join();
    }
    spdlog::info("stopped");
}

ControlHandlers Daemon::controlHandlers()
{
    ControlHandlers handlers;
    handlers.view = [this](const std::shared_ptr<const FleetView> &view) {
        m_services->router.adopt(view->targets, view->settings);
        m_loadPoller->adopt(view->targets);
    };
    handlers.permit = [this](const Fleet::PermitDecided &decided) {
        m_services->router.onPermit(decided.work, decided.target, decided.granted);
    };
    handlers.quarantine = [this](const Fleet::QuarantineChanged &changed) {
        m_services->router.onQuarantine(changed.fingerprint, toRouting(changed.state));
    };
    handlers.demand = [this](const Fleet::DemandChanged &changed) { m_services->router.adoptShares(toRouting(m_vm, changed)); };
    handlers.ownDemand = [this] { return toFleet(m_services->router.demand()); };
    return handlers;
}

std::uint16_t Daemon::callerPort() const
{
    return m_callerServer.port();
}

std::uint16_t Daemon::operatorPort() const
{
    return m_operatorServer.port();
}

void Daemon::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &error, int) {
        if (error) {
            return;
        }
        if (m_services->draining) {
            stopNow();
            return;
        }
        beginShutdown();
        waitForSignal();
    });
}

void Daemon::beginShutdown()
{
    spdlog::info("shutting down, {} requests are running", m_services->activeRequests.load());
    m_services->draining = true;
    m_callerServer.drain();
    finishShutdownWhenIdle();
}

// New requests are refused until the running ones have finished; then every connection must have its whole response.
void Daemon::finishShutdownWhenIdle()
{
    if (m_services->activeRequests == 0 && !std::exchange(m_callersStopped, true)) {
        m_control.beginDrain();
        m_callerServer.stop();
    } else if (m_callersStopped && m_callerServer.connections() == 0 && m_control.isDrained()) {
        stopNow();
        return;
    }
    m_shutdownTimer.expires_after(IDLE_CHECK);
    m_shutdownTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            finishShutdownWhenIdle();
        }
    });
}

void Daemon::stopNow()
{
    m_loadPoller->stop();
    m_control.stop();
    m_requestContext.stop();
    m_controlContext.stop();
}

void Daemon::tickRouter()
{
    m_services->router.tick();
    m_routerTimer.expires_after(ROUTER_TICK);
    m_routerTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tickRouter();
        }
    });
}

} // namespace CassiaRelay::Daemon
