#pragma once

#include "loopmonitor.h"
#include "peergossip.h"
#include "requestdispatcher.h"
#include "storewatcher.h"
#include "targetprober.h"

#include <boost/asio/signal_set.hpp>
#include <settings/settings.h>

#include <filesystem>
#include <memory>
#include <string>

namespace CassiaRelay::GatewayDaemon {

/**
 * Gateway daemon, which relays requests to services by host and path prefix.
 *
 * Relaying and control run on one thread: a VM has only a quarter of a CPU core, so more threads would not run in parallel.
 */
class GatewayDaemon
{
public:
    GatewayDaemon(std::string settingsFile, const Settings::GatewaySettings &settings, const Gateway::PlatformPort &port);
    ~GatewayDaemon();

    /** Runs until SIGTERM or SIGINT, then lets running requests finish. A second signal stops the daemon at once. */
    void run();

private:
    void onCatalogueChanges(const Gateway::CatalogueChanges &changes);
    void apply(const Gateway::TargetAdopted &change);
    void apply(const Gateway::TargetDropped &change);
    void apply(const Gateway::DomainChanged &change);
    void apply(const Gateway::TableAdopted &change);
    void apply(const Gateway::EntryRejected &change);
    void scheduleExpiry();
    void onMembersChanged();
    void onReachabilityChanged();
    void logCrashEvents();
    void handlePeer(const Net::HttpExchangePointer &exchange);
    void handleReadiness(const Net::HttpExchangePointer &exchange);
    void handleMetrics(const Net::HttpExchangePointer &exchange);
    bool isReady() const;
    void waitForSignal();
    void reload();
    void reloadIfChanged();
    void beginShutdown();
    void finishShutdownWhenIdle();
    void endRemainingSessions();
    void stopNow();
    void runHousekeeping();
    void openMetricsPort();
    void runEventLoop();

    std::string m_settingsFile;
    std::filesystem::file_time_type m_settingsModifiedAt; ///< modification time of the settings file when it was last read
    Settings::GatewaySettings m_settings;
    const Gateway::PlatformPort &m_port;
    boost::asio::io_context m_context { 1 };
    EventLog m_log;
    Metrics::Registry m_metrics;
    Net::HttpClient m_targetClient;
    Net::HttpClient m_storeClient;
    Net::HttpClient m_peerClient;
    Gateway::Catalogue m_catalogue;
    Gateway::KnowledgeAge m_knowledge;
    LoopMonitor m_loopMonitor;
    Gateway::TargetRegistry m_targets;
    Gateway::RetryBudget m_retries;
    Gateway::CrashTracker m_crashes;
    Gateway::StageLatencyEstimator m_stageLatencyEstimator;
    Gateway::ReachabilityTracker m_reachability;
    Gateway::Members m_members;
    Gateway::RelayContext m_relayContext;
    PermitBroker m_permitBroker;
    PieceBroker m_pieceBroker;
    PlacementBroker m_placementBroker;
    StreamBroker m_streamBroker;
    GatewayServices m_services;
    TargetProber m_prober;
    RequestDispatcher m_requestDispatcher;
    StoreWatcher m_watcher;
    std::unique_ptr<PeerGossip> m_peerGossip;
    std::unique_ptr<Net::HttpServer> m_callerServer;
    std::unique_ptr<Net::HttpServer> m_readinessServer;
    std::unique_ptr<Net::HttpServer> m_peerServer;
    std::unique_ptr<Net::HttpServer> m_metricsServer;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_shutdownTimer;
    boost::asio::steady_timer m_housekeepingTimer;
    boost::asio::steady_timer m_expiryTimer;
    MonotonicTime m_shutdownStartedAt;
    bool m_isDraining = false;
};

} // namespace CassiaRelay::GatewayDaemon
