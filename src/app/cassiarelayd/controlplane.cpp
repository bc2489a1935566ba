#include "controlplane.h"

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
                           ViewHandler handler)
    : m_settings(settings)
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
    , m_handler(std::move(handler))
{
    for (const std::string_view key : { Schema::CONFIGURATION_KEY, Schema::VM_LIST_KEY, Schema::TARGET_LIST_KEY }) {
        m_watches.push_back(std::make_unique<Net::PlatformWatch>(
            context, m_client, settings.platform, std::string(key), randomSeed(), [this](const Schema::Document &document) {
                onDocument(document);
            }));
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
                   },
                   output);
    }
}

void ControlPlane::publish(const Schema::Document &document)
{
    auto view = std::make_shared<FleetView>(*m_view.load());
    if (document.key == Schema::CONFIGURATION_KEY) {
        view->settings = Settings::FleetSettings::parse(document.text, document.revision);
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
    m_handler(view);
}

void ControlPlane::tick()
{
    perform(m_node.tick(std::chrono::steady_clock::now()));
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
