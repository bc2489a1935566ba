#include "fleetnode.h"

#include <nlohmann/json.hpp>

namespace CassiaRelay::Fleet {

namespace {

constexpr std::chrono::milliseconds HEARTBEAT_INTERVAL { 500 };

} // namespace

FleetNode::FleetNode(VmId self, Incarnation incarnation, DocumentCheck check)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_check(std::move(check))
{
}

Outputs FleetNode::onDocument(const Schema::Document &document, MonotonicTime /*now*/)
{
    if (document.revision <= m_documents.revision(document.key)) {
        return {};
    }
    m_check(document);
    m_documents.adopt(document);
    if (document.key == Schema::VM_LIST_KEY) {
        m_cell = std::make_shared<const Cell>(nlohmann::json::parse(document.text).get<Schema::VmList>(), document.revision);
    }
    return { AdoptDocument { document } };
}

Outputs FleetNode::onMessage(const VmId &from, const Schema::PeerMessage &message, MonotonicTime now)
{
    return std::visit(Overloaded {
                          [&](const Schema::Hello &) { return Outputs {}; },
                          [&](const Schema::Heartbeat &heartbeat) { return onHeartbeat(from, heartbeat, now); },
                          [&](const Schema::DocumentRequest &request) { return onDocumentRequest(from, request); },
                          [&](const Schema::DocumentReply &reply) {
                              return onDocument({ reply.key, reply.revision, reply.text }, now);
                          },
                          [&](const auto &) { return Outputs {}; },
                      },
                      message);
}

Outputs FleetNode::tick(MonotonicTime now, WallTime /*wall*/)
{
    if (now < m_nextHeartbeat) {
        return {};
    }
    m_nextHeartbeat = now + HEARTBEAT_INTERVAL;
    Outputs outputs;
    for (const Member &member : m_cell->members()) {
        if (member.vm == m_self) {
            continue;
        }
        outputs.push_back(SendMessage { member.vm, heartbeat() });
    }
    return outputs;
}

Outputs FleetNode::onPlatformAnswer(MonotonicTime /*now*/)
{
    return {};
}

Outputs FleetNode::claimGrant(const GrantClaim &claim, MonotonicTime /*now*/)
{
    return { GrantDecided { claim.id, GrantRefused { { ErrorKind::GrantUnavailable, Outcome::Unknown, "no grants yet", {} } } } };
}

Outputs FleetNode::finishGrant(ClaimId /*claim*/, GrantEnd /*end*/, const std::string & /*result*/, MonotonicTime /*now*/)
{
    return {};
}

Outputs FleetNode::requestPermit(const PermitRequest &request, MonotonicTime /*now*/)
{
    return { PermitDecided { request.work, request.target, false } };
}

Outputs FleetNode::returnPermit(WorkId /*work*/, const TargetId & /*target*/, bool /*succeeded*/, MonotonicTime /*now*/)
{
    return {};
}

void FleetNode::setDemand(std::vector<PoolDemand> /*demand*/)
{
}

Outputs FleetNode::reportDeath(Fingerprint /*fingerprint*/, const TargetId & /*target*/, MonotonicTime /*now*/)
{
    return {};
}

Outputs FleetNode::reportSurvived(Fingerprint /*fingerprint*/, MonotonicTime /*now*/)
{
    return {};
}

Outputs FleetNode::beginDrain(MonotonicTime /*now*/)
{
    return {};
}

bool FleetNode::isDrained() const
{
    return true;
}

bool FleetNode::isReady(MonotonicTime /*now*/) const
{
    return true;
}

bool FleetNode::isIsolated(MonotonicTime /*now*/) const
{
    return false;
}

void FleetNode::setIsolationLimit(std::chrono::milliseconds /*limit*/)
{
}

void FleetNode::setResendWindow(std::chrono::milliseconds /*window*/)
{
}

void FleetNode::setGrantRetention(std::chrono::milliseconds /*retention*/)
{
}

std::shared_ptr<const Cell> FleetNode::cell() const
{
    return m_cell;
}

const DocumentStore &FleetNode::documents() const
{
    return m_documents;
}

const std::map<VmId, PeerState> &FleetNode::peers() const
{
    return m_peers;
}

Outputs FleetNode::onHeartbeat(const VmId &from, const Schema::Heartbeat &heartbeat, MonotonicTime now)
{
    m_peers[from] = PeerState { Incarnation(static_cast<std::uint64_t>(heartbeat.incarnation)), now };
    Outputs outputs;
    requestNewer(from, Schema::CONFIGURATION_KEY, heartbeat.config, outputs);
    requestNewer(from, Schema::VM_LIST_KEY, heartbeat.vms, outputs);
    requestNewer(from, Schema::TARGET_LIST_KEY, heartbeat.targets, outputs);
    return outputs;
}

Outputs FleetNode::onDocumentRequest(const VmId &from, const Schema::DocumentRequest &request) const
{
    const Schema::Document *document = m_documents.find(request.key);
    if (document == nullptr || document->revision <= request.newerThan) {
        return {};
    }
    return { SendMessage { from, Schema::DocumentReply { document->key, document->revision, document->text } } };
}

void FleetNode::requestNewer(const VmId &from, std::string_view key, std::int64_t offered, Outputs &outputs) const
{
    const std::int64_t held = m_documents.revision(std::string(key));
    if (offered <= held) {
        return;
    }
    outputs.push_back(SendMessage { from, Schema::DocumentRequest { std::string(key), held } });
}

Schema::Heartbeat FleetNode::heartbeat() const
{
    Schema::Heartbeat heartbeat;
    heartbeat.incarnation = static_cast<std::int64_t>(m_incarnation.value());
    heartbeat.config = m_documents.revision(std::string(Schema::CONFIGURATION_KEY));
    heartbeat.vms = m_documents.revision(std::string(Schema::VM_LIST_KEY));
    heartbeat.targets = m_documents.revision(std::string(Schema::TARGET_LIST_KEY));
    return heartbeat;
}

} // namespace CassiaRelay::Fleet
