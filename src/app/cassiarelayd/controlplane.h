#pragma once

#include "fleetview.h"

#include <net/net.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace CassiaRelay::Daemon {

/** What the decisions of the cell change in this daemon; called on the control thread. */
struct ControlHandlers {
    std::function<void(const std::shared_ptr<const FleetView> &)> view;
    std::function<void(const Fleet::PermitDecided &)> permit;
    std::function<void(const Fleet::QuarantineChanged &)> quarantine;
    std::function<void(const Fleet::DemandChanged &)> demand;
    /** Demand of this daemon, asked for before each heartbeat. */
    std::function<std::vector<Fleet::PoolDemand>()> ownDemand;
};

/** Runs the fleet decisions of this daemon on one thread and publishes what is in force. */
class ControlPlane
{
public:
    using GrantHandler = std::function<void(const Fleet::GrantDecision &)>;

    ControlPlane(boost::asio::io_context &context,
                 const Settings::ProcessSettings &settings,
                 Incarnation incarnation,
                 ControlHandlers handlers);

    void start();
    void stop();

    /** Asks for a grant; from any thread. The handler is called once, on the control thread. */
    Fleet::ClaimId claimGrant(const Fleet::GrantKey &key, Fingerprint fingerprint, MonotonicTime deadline, GrantHandler handler);
    /** From any thread. */
    void finishGrant(Fleet::ClaimId claim, Fleet::GrantEnd end, const std::string &result);
    /** From any thread. */
    void requestPermit(const Fleet::PermitRequest &request);
    /** From any thread. */
    void returnPermit(WorkId work, const TargetId &target, bool succeeded);
    /** From any thread. */
    void reportLoss(Fingerprint fingerprint, const TargetId &target);
    void retractLoss(Fingerprint fingerprint, const TargetId &target);
    /** From any thread. */
    void reportSurvived(Fingerprint fingerprint);

    /** Hands over what this daemon holds for others. Call on the control thread. */
    void beginDrain();
    bool isDrained() const;
    /** False until this daemon knows what is in force in its cell; from any thread. */
    bool isReady() const;
    /** True while this daemon cannot know what was taken out; from any thread. */
    bool isIsolated() const;
    /** What is in force; from any thread. */
    std::shared_ptr<const FleetView> view() const;
    /** State for operators. Call on the control thread. */
    nlohmann::json status() const;
    /** The published document in force; nullptr when there is none yet. Call on the control thread. */
    const Schema::Document *document(std::string_view key) const;

private:
    void onDocument(const Schema::Document &document);
    void perform(const Fleet::Outputs &outputs);
    void perform(const Fleet::GrantDecided &decided);
    /** Runs an event of the node on the control thread and carries out what follows. */
    template<typename Event>
    void post(Event event);
    void publish(const Schema::Document &document);
    void applyFleetDefaults(const Settings::FleetDefaults &defaults);
    void tick();
    static void check(const Schema::Document &document);

    boost::asio::io_context &m_context;
    Settings::ProcessSettings m_settings;
    Fleet::FleetNode m_node;
    Net::HttpClient m_client;
    Net::PeerMesh m_mesh;
    std::vector<std::unique_ptr<Net::PlatformWatch>> m_watches;
    boost::asio::steady_timer m_timer;
    ControlHandlers m_handlers;
    std::map<Fleet::ClaimId, GrantHandler> m_claims; ///< not decided yet
    std::atomic<std::uint64_t> m_nextClaim { 1 };
    std::atomic<bool> m_isReady { false };
    std::atomic<bool> m_isIsolated { false };
    Snapshot<FleetView> m_view;
    std::string m_lastRefusal; ///< why the newest refused document was refused
};

} // namespace CassiaRelay::Daemon
