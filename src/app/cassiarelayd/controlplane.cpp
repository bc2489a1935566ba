#include "controlplane.h"

#include <boost/asio/post.hpp>
#include <spdlog/spdlog.h>

namespace CassiaRelay::Daemon {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds TICK_INTERVAL { 50 };

RandomSource::result_type randomSeed()
{
    std::random_device device;
    return device();
}

} // namespace

ControlPlane::ControlPlane(boost::asio::io_context &context,
                           const Settings::ProcessSettings &settings,
                           Incarnation incarnation,
                           ControlHandlers handlers)
    : m_context(context)
    , m_settings(settings)
    , m_node(settings.vm, incarnation, &ControlPlane::check)
    , m_client(context)
    , m_mesh(context,
             { settings.vm, incarnation, settings.cellSecret },
             settings.peers,
             [this](const VmId &from, const Schema::PeerMessage &message) {
                 try {
                     perform(m_node.onMessage(from, message, std::chrono::steady_clock::now()));
                 } catch (const Error &error) {
                     m_lastRefusal = error.what();
                     spdlog::warn("document from peer {} refused: {}", from.value(), error.what());
                 }
             })
    , m_timer(context)
    , m_handlers(std::move(handlers))
{
    for (const std::string_view key : { Schema::CONFIGURATION_KEY, Schema::VM_LIST_KEY, Schema::TARGET_LIST_KEY }) {
        m_watches.push_back(std::make_unique<Net::PlatformWatch>(
            context,
            m_client,
            settings.platform,
            std::string(key),
            randomSeed(),
            [this](const Schema::Document &document) { onDocument(document); },
            [this] { perform(m_node.onPlatformAnswer(std::chrono::steady_clock::now())); }));
    }
}

void ControlPlane::start()
{
    m_mesh.start();
    for (const auto &watch : m_watches) {
        watch->start();
    }
    tick();
}

void ControlPlane::stop()
{
    m_timer.cancel();
    for (const auto &watch : m_watches) {
        watch->stop();
    }
    m_mesh.stop();
}

std::shared_ptr<const FleetView> ControlPlane::view() const
{
    return m_view.load();
}

json ControlPlane::status() const
{
    json peers = json::array();
    const MonotonicTime now = std::chrono::steady_clock::now();
    for (const auto &[vm, peer] : m_node.peers()) {
        const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(now - peer.lastHeard);
        peers.push_back({ { "vm", vm.value() }, { "silentMs", silence.count() } });
    }
    json revisions = json::object();
    for (const std::string_view key : { Schema::CONFIGURATION_KEY, Schema::VM_LIST_KEY, Schema::TARGET_LIST_KEY }) {
        revisions[std::string(key)] = m_node.documents().revision(std::string(key));
    }
    return {
        { "vm", m_settings.vm.value() },
        { "failureDomain", m_settings.failureDomain.value() },
        { "revisions", revisions },
        { "members", m_node.cell()->members().size() },
        { "peers", peers },
        { "lastRefusal", m_lastRefusal },
    };
}

Fleet::ClaimId ControlPlane::claimGrant(const Fleet::GrantKey &key, Fingerprint fingerprint, MonotonicTime deadline, GrantHandler handler)
{
    const Fleet::ClaimId id(m_nextClaim.fetch_add(1, std::memory_order_relaxed));
    boost::asio::post(m_context, [this, claim = Fleet::GrantClaim { id, key, fingerprint, deadline }, handler = std::move(handler)] {
        m_claims[claim.id] = handler;
        perform(m_node.claimGrant(claim, std::chrono::steady_clock::now()));
    });
    return id;
}

void ControlPlane::finishGrant(Fleet::ClaimId claim, Fleet::GrantEnd end, const std::string &result)
{
    post([claim, end, result](Fleet::FleetNode &node, MonotonicTime now) { return node.finishGrant(claim, end, result, now); });
}

void ControlPlane::requestPermit(const Fleet::PermitRequest &request)
{
    post([request](Fleet::FleetNode &node, MonotonicTime now) { return node.requestPermit(request, now); });
}

void ControlPlane::returnPermit(WorkId work, const TargetId &target, bool succeeded)
{
    post([work, target, succeeded](Fleet::FleetNode &node, MonotonicTime now) { return node.returnPermit(work, target, succeeded, now); });
}

void ControlPlane::reportLoss(Fingerprint fingerprint, const TargetId &target)
{
    post([fingerprint, target](Fleet::FleetNode &node, MonotonicTime now) { return node.reportLoss(fingerprint, target, now); });
}

void ControlPlane::retractLoss(Fingerprint fingerprint, const TargetId &target)
{
    post([fingerprint, target](Fleet::FleetNode &node, MonotonicTime now) { return node.retractLoss(fingerprint, target, now); });
}

void ControlPlane::reportSurvived(Fingerprint fingerprint)
{
    post([fingerprint](Fleet::FleetNode &node, MonotonicTime now) { return node.reportSurvived(fingerprint, now); });
}

void ControlPlane::beginDrain()
{
    perform(m_node.beginDrain(std::chrono::steady_clock::now()));
}

bool ControlPlane::isDrained() const
{
    return m_node.isDrained();
}

bool ControlPlane::isReady() const
{
    return m_isReady && view()->isComplete() && !m_isIsolated;
}

bool ControlPlane::isIsolated() const
{
    return m_isIsolated;
}

template<typename Event>
void ControlPlane::post(Event event)
{
    boost::asio::post(m_context, [this, event = std::move(event)] { perform(event(m_node, std::chrono::steady_clock::now())); });
}

void ControlPlane::perform(const Fleet::GrantDecided &decided)
{
    const auto claim = m_claims.find(decided.claim);
    if (claim == m_claims.end()) {
        return;
    }
    const GrantHandler handler = std::move(claim->second);
    m_claims.erase(claim);
    handler(decided.decision);
}

const Schema::Document *ControlPlane::document(std::string_view key) const
{
    return m_node.documents().find(std::string(key));
}

void ControlPlane::onDocument(const Schema::Document &document)
{
    try {
        perform(m_node.onDocument(document, std::chrono::steady_clock::now()));
    } catch (const Error &error) {
        m_lastRefusal = error.what();
        spdlog::warn("published document refused, the last good one stays in force: {}", error.what());
    }
}

void ControlPlane::perform(const Fleet::Outputs &outputs)
{
    for (const Fleet::Output &output : outputs) {
        std::visit(Overloaded {
                       [this](const Fleet::SendMessage &send) { m_mesh.send(send.to, send.message); },
                       [this](const Fleet::AdoptDocument &adopt) { publish(adopt.document); },
                       [this](const Fleet::GrantDecided &decided) { perform(decided); },
                       [this](const Fleet::PermitDecided &decided) { m_handlers.permit(decided); },
                       [this](const Fleet::DemandChanged &changed) { m_handlers.demand(changed); },
                       [this](const Fleet::QuarantineChanged &changed) { m_handlers.quarantine(changed); },
                   },
                   output);
    }
}

void ControlPlane::publish(const Schema::Document &document)
{
    auto view = std::make_shared<FleetView>(*m_view.load());
    if (document.key == Schema::CONFIGURATION_KEY) {
        view->settings = Settings::FleetSettings::parse(document.text, document.revision);
        applyFleetDefaults(view->settings->defaults());
    }
    if (document.key == Schema::VM_LIST_KEY) {
        view->cell = m_node.cell();
        m_mesh.adopt(*view->cell);
    }
    const Schema::Document *targets = m_node.documents().find(std::string(Schema::TARGET_LIST_KEY));
    if (targets != nullptr && view->settings) {
        view->targets = std::make_shared<const Routing::TargetTable>(json::parse(targets->text).get<Schema::TargetList>(), *view->settings);
    }
    spdlog::info("{} revision {} in force", document.key, document.revision);
    m_view.store(view);
    m_handlers.view(view);
}

void ControlPlane::applyFleetDefaults(const Settings::FleetDefaults &defaults)
{
    m_node.setIsolationLimit(defaults.isolationLimit);
    m_node.setResendWindow(defaults.resendWindow);
    m_node.setGrantRetention(defaults.grantRetention);
}

void ControlPlane::tick()
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    m_node.setDemand(m_handlers.ownDemand());
    perform(m_node.tick(now, std::chrono::system_clock::now()));
    m_isReady = m_node.isReady(now);
    const bool isolated = m_node.isIsolated(now);
    if (m_isIsolated.exchange(isolated) != isolated) {
        spdlog::warn(isolated ? "isolated: no platform and less than half of the cell" : "no longer isolated");
    }
    m_timer.expires_after(TICK_INTERVAL);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void ControlPlane::check(const Schema::Document &document)
{
    Settings::checkPublished(document);
}

} // namespace CassiaRelay::Daemon
