#include "gatewaydaemon.h"

#include "relaysession.h"

#include <csignal>

namespace CassiaRelay::GatewayDaemon {

namespace {

constexpr unsigned STATUS_NOT_FOUND = 404;
constexpr unsigned STATUS_UNAVAILABLE = 503;
constexpr std::chrono::milliseconds IDLE_CHECK_INTERVAL { 20 };
constexpr std::chrono::milliseconds HOUSEKEEPING_INTERVAL { 1000 };
constexpr std::chrono::milliseconds MIN_SHUTDOWN_TIME { 2500 }; // the load balancer polls once per second and reacts to the second failure
constexpr std::chrono::milliseconds SHUTDOWN_RESERVE { 400 };   // to send the last response bytes before SIGKILL
constexpr std::chrono::milliseconds RESPONSE_RESERVE { 900 };   // to send final responses to unfinished requests
constexpr std::chrono::milliseconds SILENCE_LIMIT { 2000 };     // latency is a few milliseconds; lost packets are retransmitted within 1 s
constexpr std::chrono::milliseconds MAX_IDLE_TIME { 10000 };
constexpr std::size_t MAX_IDLE_PER_TARGET = 4; // TargetRegistry lowers it where many daemons share the connections of a target
constexpr std::size_t MAX_IDLE_PER_PEER = 16;
constexpr std::size_t MAX_LOGGED_SUSPECTS = 8;   // keeps the line short; all of them are counted
constexpr std::size_t MAX_HANDOVER_BYTES = 4096; // of the field that is added to a request
constexpr int MIN_SHARED_VMS = 12;               // the size of a cell; fewer VMs may grow to it before all of them have noticed

Net::HttpClientLimits clientLimits(std::size_t idlePerServer)
{
    Net::HttpClientLimits limits;
    limits.maxIdlePerServer = idlePerServer;
    limits.maxIdleTime = MAX_IDLE_TIME;
    limits.silenceLimit = SILENCE_LIMIT;
    return limits;
}

std::unordered_map<FailureDomain, Gateway::Region> toRegions(const Settings::GatewaySettings &settings)
{
    std::unordered_map<FailureDomain, Gateway::Region> regions;
    for (const auto &[domain, region] : settings.regions) {
        regions.emplace(domain, Gateway::Region(region));
    }
    return regions;
}

Gateway::RetryLimits toRetryLimits(const Settings::GatewaySettings &settings)
{
    return { settings.retryRatio, settings.retryExtra, settings.retryWindow };
}

Gateway::ColdLimits toColdLimits(const Settings::GatewaySettings &settings)
{
    return { settings.coldFactor, settings.coldSlack };
}

Gateway::SchedulingOptions toSchedulingOptions(const Settings::GatewaySettings &settings)
{
    Gateway::SchedulingOptions options;
    options.usesFleetAdmission = settings.admission == Schema::AdmissionScope::Fleet;
    options.sharesByOrganisation = settings.sharesByOrganisation;
    options.placesByExpectedFinish = settings.placement == Schema::PlacementRule::Finish;
    options.freesFetchedInputs = settings.inputRelease == Schema::InputRelease::Fetched;
    options.placesForFleet = settings.placement == Schema::PlacementRule::Fleet;
    options.organisationWeights = settings.organisationWeights;
    if (settings.spillover) {
        options.spillover =
            Gateway::SpilloverOptions { settings.spillover == Schema::SpilloverMode::Auto, settings.transferDelayPerMegabyte };
    }
    return options;
}

// Returns file_time_type::min() if the file can't be accessed: it may be missing briefly while it is being replaced.
std::filesystem::file_time_type modificationTime(const std::string &fileName)
{
    std::error_code error;
    const auto modifiedAt = std::filesystem::last_write_time(fileName, error);
    return error ? std::filesystem::file_time_type::min() : modifiedAt;
}

Net::HttpLimits toServerLimits(const Gateway::CallerLimits &limits)
{
    Net::HttpLimits server;
    server.maxBodyBytes = limits.maxBodyBytes;
    server.maxHeaderBytes = limits.maxHeaderBytes;
    server.headerTimeout = limits.headerTimeout;
    server.readTimeout = limits.headerTimeout + limits.idleTimeout;
    server.idleTimeout = limits.idleTimeout;
    server.stalledReaderTimeout = limits.idleTimeout;
    return server;
}

// Requests of callers that are handed over must fit.
Net::HttpLimits toPeerLimits(const Gateway::CallerLimits &limits)
{
    Net::HttpLimits peer;
    peer.maxBodyBytes = std::max(peer.maxBodyBytes, limits.maxBodyBytes);
    peer.maxHeaderBytes = std::max(peer.maxHeaderBytes, limits.maxHeaderBytes + MAX_HANDOVER_BYTES);
    return peer;
}

std::string firstOf(const std::set<Fingerprint> &fingerprints)
{
    std::string text;
    std::size_t count = 0;
    for (auto fingerprint = fingerprints.begin(); fingerprint != fingerprints.end() && count < MAX_LOGGED_SUSPECTS;
         ++fingerprint, ++count) {
        text += (count == 0 ? "" : ",") + hexText(fingerprint->value());
    }
    return text;
}

Net::HttpResponse plainResponse(unsigned status, std::string body)
{
    Net::HttpResponse response;
    response.status = status;
    response.contentType = "text/plain; charset=utf-8";
    response.body = std::move(body);
    return response;
}

} // namespace

GatewayDaemon::GatewayDaemon(std::string settingsFile, const Settings::GatewaySettings &settings, const Gateway::PlatformPort &port)
    : m_settingsFile(std::move(settingsFile))
    , m_settingsModifiedAt(modificationTime(m_settingsFile))
    , m_settings(settings)
    , m_port(port)
    , m_log(settings.logLevel)
    , m_targetClient(m_context, clientLimits(MAX_IDLE_PER_TARGET))
    , m_storeClient(m_context, clientLimits(1))
    , m_peerClient(m_context, clientLimits(MAX_IDLE_PER_PEER))
    , m_knowledge(m_catalogue, settings.changeTime)
    , m_loopMonitor(m_context, m_knowledge, m_metrics)
    , m_targets(toColdLimits(settings), toRegions(settings), stableHash(settings.vm.value()))
    , m_retries(toRetryLimits(settings))
    , m_members(settings.vm, settings.peers.value_or(settings.callers), settings.capacity)
    , m_relayContext { m_targets,      m_retries, m_crashes,       m_stageLatencyEstimator,
                       m_reachability, m_members, settings.maxVms, toSchedulingOptions(settings) }
    , m_permitBroker(m_context, m_peerClient, m_targets, m_members, m_metrics, m_log)
    , m_pieceBroker(m_context,
                    m_targetClient,
                    m_peerClient,
                    port,
                    m_targets,
                    m_members,
                    m_reachability,
                    m_permitBroker,
                    m_relayContext.scheduling,
                    m_metrics,
                    m_log)
    , m_placementBroker(
          m_context, m_peerClient, m_targets, m_members, m_relayContext.placementReports, m_relayContext.scheduling, m_metrics, m_log)
    , m_streamBroker(m_context, m_peerClient, m_members, m_catalogue, m_metrics, m_log)
    , m_services { m_context,      m_targetClient, m_peerClient,   settings.vm,       port,           m_catalogue, m_knowledge,
                   m_relayContext, m_pieceBroker,  m_permitBroker, m_placementBroker, m_streamBroker, m_metrics,   m_log }
    , m_prober(m_context, m_reachability, m_targets, [this] { onReachabilityChanged(); })
    , m_requestDispatcher(m_services)
    , m_watcher(m_context,
                m_storeClient,
                port,
                settings.store,
                settings.changeTime,
                m_catalogue,
                m_log,
                [this](const Gateway::CatalogueChanges &changes) { onCatalogueChanges(changes); })
    , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
    , m_shutdownTimer(m_context)
    , m_housekeepingTimer(m_context)
    , m_expiryTimer(m_context)
{
    const auto serve = [this](const Endpoint &endpoint, void (GatewayDaemon::*handler)(const Net::HttpExchangePointer &)) {
        return std::make_unique<Net::HttpServer>(
            m_context, endpoint.address, endpoint.port, Net::HttpLimits {}, [this, handler](const Net::HttpExchangePointer &exchange) {
                (this->*handler)(exchange);
            });
    };
    m_callerServer = std::make_unique<Net::HttpServer>(
        m_context, settings.callers.address, settings.callers.port, Net::HttpLimits {}, [this](const Net::HttpExchangePointer &exchange) {
            m_requestDispatcher.handle(exchange);
        });
    m_readinessServer = serve(settings.readiness, &GatewayDaemon::handleReadiness);
    if (settings.peers) {
        m_peerServer = serve(*settings.peers, &GatewayDaemon::handlePeer);
        m_peerGossip = std::make_unique<PeerGossip>(m_context,
                                                    m_peerClient,
                                                    settings.vm,
                                                    *settings.peers,
                                                    settings.failureDomain,
                                                    settings.capacity,
                                                    m_members,
                                                    m_crashes,
                                                    m_targets,
                                                    m_permitBroker,
                                                    m_pieceBroker,
                                                    m_metrics,
                                                    m_log,
                                                    [this] { onMembersChanged(); });
        m_members.setSeeds(settings.seeds);
        m_crashes.setOwnerFunction([this](Fingerprint fingerprint) { return m_members.owns(fingerprint.value()); });
        m_targets.rateLimits().setShareFunction(
            [this](const Gateway::ServiceName &service) { return m_members.ownedShare(service, m_settings.maxVms); },
            std::chrono::steady_clock::now());
    }
    m_streamBroker.setUpdateFunction([this](auto handler) { m_watcher.bringUpToDate(std::move(handler)); });
    m_targets.setVmCount(settings.maxVms);
    if (m_relayContext.scheduling.usesFleetAdmission) {
        m_pieceBroker.setServiceLoadBoard(m_relayContext.serviceLoads);
    }
    m_targets.setPlacesByExpectedFinish(m_relayContext.scheduling.placesByExpectedFinish);
}

GatewayDaemon::~GatewayDaemon() = default;

void GatewayDaemon::run()
{
    m_log.write("started",
                { { "vm", m_settings.vm.value() },
                  { "domain", m_settings.failureDomain.value() },
                  { "callers", m_settings.callers.text() },
                  { "store", m_settings.store.text() } },
                std::chrono::steady_clock::now());
    m_watcher.start();
    if (m_peerGossip) {
        m_peerServer->start();
        m_peerGossip->start();
        m_placementBroker.start();
    }
    m_readinessServer->start();
    openMetricsPort();
    m_callerServer->start();
    waitForSignal();
    runHousekeeping();
    m_loopMonitor.start();
    runEventLoop();
    m_log.write("stopped", { { "vm", m_settings.vm.value() } }, std::chrono::steady_clock::now());
}

// Callers are served while another process holds the port of the metrics.
void GatewayDaemon::openMetricsPort()
{
    try {
        m_metricsServer = std::make_unique<Net::HttpServer>(m_context,
                                                            m_settings.metrics.address,
                                                            m_settings.metrics.port,
                                                            Net::HttpLimits {},
                                                            [this](const Net::HttpExchangePointer &exchange) { handleMetrics(exchange); });
        m_metricsServer->start();
    } catch (const Net::AddressInUse &error) {
        m_log.write("metrics not served", { { "reason", error.what() }, { "remedy", error.remedy() } }, std::chrono::steady_clock::now());
    }
}

// An exception that leaves a handler ends what the handler was about; all other requests go on.
void GatewayDaemon::runEventLoop()
{
    Metrics::Counter &failures = m_metrics.counter("cassiarelay_handler_failures_total");
    while (!m_context.stopped()) {
        try {
            m_context.run();
        } catch (const std::exception &error) {
            failures.add();
            m_log.write("handler failed", { { "reason", error.what() } }, std::chrono::steady_clock::now());
        }
    }
}

void GatewayDaemon::onCatalogueChanges(const Gateway::CatalogueChanges &changes)
{
    for (const Gateway::CatalogueChange &change : changes) {
        std::visit([this](const auto &alternative) { apply(alternative); }, change);
    }
    m_pieceBroker.dispatchAll();
    scheduleExpiry();
}

// Sets a timer so that entries are removed as soon as their grace period ends, not at the next housekeeping run.
void GatewayDaemon::scheduleExpiry()
{
    const std::optional<MonotonicTime> next = m_catalogue.nextExpiry();
    if (!next) {
        return;
    }
    m_expiryTimer.expires_at(*next);
    m_expiryTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            onCatalogueChanges(m_catalogue.expire(std::chrono::steady_clock::now()));
        }
    });
}

void GatewayDaemon::apply(const Gateway::TargetAdopted &change)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    const std::optional<Gateway::TargetRecord> known = m_targets.find(change.record.id);
    if (!known || known->isLeaving != change.record.isLeaving) {
        m_log.write("target listed",
                    { { "target", change.record.id.value() },
                      { "service", change.record.service.value() },
                      { "address", change.record.endpoint.text() },
                      { "domain", change.record.failureDomain.value() },
                      { "version", change.record.softwareVersion },
                      { "leaving", change.record.isLeaving ? "yes" : "no" },
                      { "cold_ms", std::to_string(change.record.coldFor.count()) },
                      { "revision", std::to_string(m_catalogue.revision()) } },
                    now);
    }
    m_targets.put(change.record, now);
}

void GatewayDaemon::apply(const Gateway::TargetDropped &change)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    m_log.write("target gone",
                { { "target", change.id.value() },
                  { "restarted", change.hasRestarted ? "yes" : "no" },
                  { "revision", std::to_string(m_catalogue.revision()) } },
                now);
    if (change.hasRestarted) {
        m_crashes.recordTargetRestarted(change.id, now);
    } else {
        m_crashes.recordTargetGone(change.id, now);
    }
    m_targets.remove(change.id);
}

void GatewayDaemon::apply(const Gateway::DomainChanged &change)
{
    m_log.write("domain changed",
                { { "domain", change.domain.value() },
                  { "out", change.isDisabled ? "yes" : "no" },
                  { "revision", std::to_string(m_catalogue.revision()) } },
                std::chrono::steady_clock::now());
    m_targets.setDomainDisabled(change.domain, change.isDisabled);
}

void GatewayDaemon::apply(const Gateway::TableAdopted &change)
{
    m_log.write(
        "configuration adopted",
        { { "version", std::to_string(change.table->version()) },
          { "revision", std::to_string(m_catalogue.revision()) },
          { "lag_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(m_loopMonitor.lag()).count()) },
          { "call_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(m_watcher.lastCallDuration()).count()) } },
        std::chrono::steady_clock::now());
    m_targets.setServices(change.table->services());
    m_pieceBroker.apply(*change.table);
    m_callerServer->setLimits(toServerLimits(change.table->limits()));
    if (m_peerServer) {
        m_peerServer->setLimits(toPeerLimits(change.table->limits()));
    }
}

void GatewayDaemon::apply(const Gateway::EntryRejected &change)
{
    m_log.write("entry left out", { { "key", change.key }, { "reason", change.reason } }, std::chrono::steady_clock::now());
}

void GatewayDaemon::onMembersChanged()
{
    // Until another daemon was heard, there may be as many as the settings allow.
    const std::optional<int> known = m_members.maxKnownCount();
    const int vms = known ? std::max(MIN_SHARED_VMS, *known) : m_settings.maxVms;
    m_targets.setVmCount(vms);
    m_relayContext.vmCount = vms;
    m_permitBroker.onMembersChanged();
    m_pieceBroker.onMembersChanged();
}

void GatewayDaemon::onReachabilityChanged()
{
    const std::vector<Gateway::ReachabilityChange> changes = m_reachability.takeChanges();
    if (changes.empty()) {
        return;
    }
    const MonotonicTime now = std::chrono::steady_clock::now();
    for (const Gateway::ReachabilityChange &change : changes) {
        m_log.write(change.isBlocked ? "service out of reach" : "service in reach",
                    { { "service", change.service.value() },
                      { "probes", std::to_string(change.probes) },
                      { "blocked_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(change.blockedFor).count()) } },
                    now);
    }
    m_members.setBlockedServices(m_reachability.blockedServices());
    m_permitBroker.onMembersChanged();
    m_pieceBroker.returnBlockedOrders();
}

void GatewayDaemon::logCrashEvents()
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    const auto log = Overloaded {
        [this, now](const Gateway::CrashCounted &crash) {
            m_log.write("crash counted",
                        { { "target", crash.target.value() },
                          { "evidence", std::string(toString(crash.evidence)) },
                          { "age_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - crash.at).count()) },
                          { "requests", std::to_string(crash.requests.size()) },
                          { "fingerprints", firstOf(crash.requests) },
                          { "parts", firstOf(crash.parts) } },
                        now);
        },
        [this, now](const Gateway::CrashBan &ban) {
            m_log.write(ban.isPart ? "prompt part banned" : "request banned",
                        { { "fingerprint", hexText(ban.fingerprint.value()) }, { "crashes", std::to_string(ban.crashes) } },
                        now);
        },
        [this, now](const Gateway::BanLifted &ban) {
            m_log.write("ban lifted",
                        { { "of", ban.isPart ? "prompt part" : "request" }, { "fingerprint", hexText(ban.fingerprint.value()) } },
                        now);
        },
    };
    for (const Gateway::CrashEvent &event : m_crashes.takeEvents()) {
        std::visit(log, event);
    }
}

void GatewayDaemon::handlePeer(const Net::HttpExchangePointer &exchange)
{
    const std::string target(exchange->request().target());
    if (RequestDispatcher::isHandedOver(exchange->request())) {
        m_requestDispatcher.handleHandedOver(exchange);
    } else if (target == PeerGossip::PATH) {
        m_peerGossip->handleGreeting(exchange);
    } else if (target == PermitBroker::PATH) {
        m_permitBroker.handleRequest(exchange);
    } else if (target == StreamBroker::RECORDS_PATH) {
        m_streamBroker.handleRecord(exchange);
    } else if (target == StreamBroker::QUERIES_PATH) {
        m_streamBroker.handleQuery(exchange);
    } else if (target == PlacementBroker::PATH) {
        m_placementBroker.handleOrder(exchange);
    } else if (target == PieceBroker::ORDERS_PATH) {
        m_pieceBroker.handleOrder(exchange);
    } else if (target == PieceBroker::FETCHED_INPUTS_PATH) {
        m_pieceBroker.handleFetchedInputs(exchange);
    } else if (target == PieceBroker::FREED_RESULTS_PATH) {
        m_pieceBroker.handleFreedResults(exchange);
    } else {
        exchange->respond(plainResponse(STATUS_NOT_FOUND, "unknown path\n"));
    }
}

void GatewayDaemon::handleReadiness(const Net::HttpExchangePointer &exchange)
{
    const bool isKnownPath = exchange->request().target() == m_port.readinessPath();
    if (!isKnownPath) {
        exchange->respond(plainResponse(STATUS_NOT_FOUND, "unknown path\n"));
        return;
    }
    exchange->respond(isReady() ? plainResponse(200, "ready\n") : plainResponse(STATUS_UNAVAILABLE, "not ready\n"));
}

void GatewayDaemon::handleMetrics(const Net::HttpExchangePointer &exchange)
{
    m_metrics.gauge("cassiarelay_requests_active").set(static_cast<std::int64_t>(m_services.sessions.size()));
    m_metrics.gauge("cassiarelay_peers").set(m_members.count() - 1);
    m_metrics.gauge("cassiarelay_targets").set(static_cast<std::int64_t>(m_targets.size()));
    if (m_relayContext.scheduling.placesByExpectedFinish) {
        const Gateway::PlacementStatistics statistics = m_targets.placementStatistics(std::chrono::steady_clock::now());
        m_metrics.gauge("cassiarelay_placements").set(static_cast<std::int64_t>(statistics.placements));
        m_metrics.gauge("cassiarelay_targets_passed_over").set(static_cast<std::int64_t>(statistics.passedOver));
        m_metrics.gauge("cassiarelay_targets_with_told_pace").set(static_cast<std::int64_t>(statistics.toldTargets));
        m_metrics.gauge("cassiarelay_targets_with_learned_pace").set(static_cast<std::int64_t>(statistics.learnedTargets));
        m_metrics.gauge("cassiarelay_targets_slow").set(static_cast<std::int64_t>(statistics.slowTargets));
    }
    m_placementBroker.updateGauges();
    const MonotonicTime now = std::chrono::steady_clock::now();
    const Duration age = m_knowledge.age(now).value_or(Duration::zero());
    m_metrics.gauge("cassiarelay_store_knowledge_age_ms").set(std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
    m_metrics.gauge("cassiarelay_store_calls").set(static_cast<std::int64_t>(m_watcher.calls()));
    m_metrics.gauge("cassiarelay_target_connections_opened").set(static_cast<std::int64_t>(m_targetClient.connectionsOpened()));
    m_metrics.gauge("cassiarelay_log_lines_dropped").set(static_cast<std::int64_t>(m_log.droppedLines()));
    exchange->respond(plainResponse(200, m_metrics.text()));
}

bool GatewayDaemon::isReady() const
{
    return !m_isDraining && m_catalogue.table() && m_catalogue.hasTargets();
}

void GatewayDaemon::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            reload();
        } else if (m_isDraining) {
            stopNow();
            return;
        } else {
            beginShutdown();
        }
        waitForSignal();
    });
}

// Keeps the listen addresses, because the platform assigns new ones only to a new process.
void GatewayDaemon::reload()
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    m_settingsModifiedAt = modificationTime(m_settingsFile);
    try {
        const Settings::GatewaySettings reloaded = Settings::loadGatewaySettings(m_settingsFile);
        m_settings.seeds = reloaded.seeds;
        m_settings.shutdownTime = reloaded.shutdownTime;
        m_settings.maxVms = reloaded.maxVms;
        m_members.setSeeds(reloaded.seeds);
        m_retries.setLimits(toRetryLimits(reloaded));
        m_targets.setColdLimits(toColdLimits(reloaded));
        onMembersChanged();
        m_log.write("settings reloaded", { { "file", m_settingsFile }, { "seeds", std::to_string(reloaded.seeds.size()) } }, now);
    } catch (const Error &error) {
        m_log.write("settings kept", { { "file", m_settingsFile }, { "reason", error.what() }, { "remedy", error.remedy() } }, now);
    }
}

void GatewayDaemon::reloadIfChanged()
{
    const auto modifiedAt = modificationTime(m_settingsFile);
    if (modifiedAt != m_settingsModifiedAt && modifiedAt != std::filesystem::file_time_type::min()) {
        reload();
    }
}

void GatewayDaemon::beginShutdown()
{
    m_isDraining = true;
    m_shutdownStartedAt = std::chrono::steady_clock::now();
    m_services.shutdown = Shutdown { m_shutdownStartedAt, m_settings.shutdownTime - RESPONSE_RESERVE };
    m_log.write("stopping", { { "active", std::to_string(m_services.sessions.size()) } }, m_shutdownStartedAt);
    if (m_peerGossip) {
        m_peerGossip->announceLeaving();
    }
    m_callerServer->drain();
    finishShutdownWhenIdle();
}

void GatewayDaemon::finishShutdownWhenIdle()
{
    const Duration elapsed = std::chrono::steady_clock::now() - m_shutdownStartedAt;
    const bool isIdle = m_services.sessions.empty() && m_callerServer->connections() == 0;
    if ((isIdle && elapsed >= MIN_SHUTDOWN_TIME) || elapsed >= m_settings.shutdownTime - SHUTDOWN_RESERVE) {
        stopNow();
        return;
    }
    if (elapsed >= m_settings.shutdownTime - RESPONSE_RESERVE) {
        endRemainingSessions();
    }
    m_shutdownTimer.expires_after(IDLE_CHECK_INTERVAL);
    m_shutdownTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            finishShutdownWhenIdle();
        }
    });
}

void GatewayDaemon::endRemainingSessions()
{
    const std::set<RelaySession *> sessions = m_services.sessions;
    for (RelaySession *session : sessions) {
        if (m_services.sessions.count(session) > 0) {
            session->shutDown();
        }
    }
}

void GatewayDaemon::stopNow()
{
    m_watcher.stop();
    m_loopMonitor.stop();
    m_pieceBroker.stop();
    m_placementBroker.stop();
    m_prober.stop();
    if (m_peerGossip) {
        m_peerGossip->stop();
    }
    m_context.stop();
}

void GatewayDaemon::runHousekeeping()
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    onCatalogueChanges(m_catalogue.expire(now));
    m_targets.rateLimits().removeExpired(now);
    m_targets.removeExpiredStatements(now);
    m_targets.removeExpiredReports(now);
    m_crashes.expire(now);
    logCrashEvents();
    m_streamBroker.removeExpired();
    m_targetClient.closeExpired();
    m_peerClient.closeExpired();
    m_placementBroker.removeExpired();
    m_pieceBroker.sendDeferredFrees();
    m_pieceBroker.logBacklog();
    reloadIfChanged();
    if (!m_metricsServer) {
        openMetricsPort();
    }
    m_log.flush(now);
    m_housekeepingTimer.expires_after(HOUSEKEEPING_INTERVAL);
    m_housekeepingTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            runHousekeeping();
        }
    });
}

} // namespace CassiaRelay::GatewayDaemon
