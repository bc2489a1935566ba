#pragma once

#include "fleetview.h"

#include <net/net.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace CassiaRelay::Daemon {

/** Runs the fleet decisions of this daemon on one thread and publishes what is in force. */
class ControlPlane
{
public:
    using ViewHandler = std::function<void(std::shared_ptr<const FleetView>)>;

    ControlPlane(boost::asio::io_context &context, const Settings::ProcessSettings &settings, Incarnation incarnation, ViewHandler handler);

    void start();
    void stop();
    /** What is in force; from any thread. */
    std::shared_ptr<const FleetView> view() const;
    /** State for operators. Call on the control thread. */
    nlohmann::json status() const;
    /** The published document in force; nullptr when there is none yet. Call on the control thread. */
    const Schema::Document *document(std::string_view key) const;

private:
    void onDocument(const Schema::Document &document);
    void perform(const Fleet::Outputs &outputs);
    void publish(const Schema::Document &document);
    void tick();
    static void check(const Schema::Document &document);

    Settings::ProcessSettings m_settings;
    Fleet::FleetNode m_node;
    Net::HttpClient m_client;
    Net::PeerMesh m_mesh;
    std::vector<std::unique_ptr<Net::PlatformWatch>> m_watches;
    boost::asio::steady_timer m_timer;
    ViewHandler m_handler;
    Snapshot<FleetView> m_view;
    std::string m_lastRefusal; ///< why the newest refused document was refused
};

} // namespace CassiaRelay::Daemon
