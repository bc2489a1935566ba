#include "fleetnode.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace CassiaRelay::Fleet {

namespace {

constexpr std::chrono::milliseconds HEARTBEAT_INTERVAL { 1000 };
/** One in this many heartbeats contains the demand. */
constexpr std::uint64_t HEARTBEATS_PER_DEMAND = 2;
/** Time for which a starting daemon waits for members that do not answer. */
constexpr std::chrono::milliseconds PEER_TIMEOUT { 3000 };

} // namespace

FleetNode::FleetNode(VmId self, Incarnation incarnation, DocumentCheck check, GrantRules rules)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_check(std::move(check))
    , m_membership(m_self, incarnation, rules)
    , m_ledger(incarnation, rules)
    , m_claims(m_self, incarnation, rules)
    , m_permits(m_self, incarnation)
{
}

Outputs FleetNode::onDocument(const Schema::Document &document, MonotonicTime now)
{
    setNow(now);
    if (document.revision <= m_documents.revision(document.key) || m_documents.isRefused(document)) {
        return {};
    }
    try {
        m_check(document);
    } catch (const Error &) {
        m_documents.refuse(document);
        throw;
    }
    return adopt(document);
}

Outputs FleetNode::adopt(const Schema::Document &document)
{
    m_documents.adopt(document);
    if (document.key == Schema::VM_LIST_KEY) {
        m_cell = std::make_shared<const Cell>(nlohmann::json::parse(document.text).get<Schema::VmList>(), document.revision);
        Members members;
        for (const Member &member : m_cell->members()) {
            members.insert(member.vm);
        }
        m_membership.addView(document.revision, members);
    }
    // These heartbeats announce the new revision at once, before the next periodic one is due.
    Outputs outputs = heartbeats(false);
    outputs.insert(outputs.begin(), AdoptDocument { document });
    return outputs;
}

Outputs FleetNode::onMessage(const VmId &from, const Schema::PeerMessage &message, MonotonicTime now)
{
    setNow(now);
    return route(dispatch(from, message, now), now);
}

void FleetNode::setNow(MonotonicTime now)
{
    if (m_lastTick != MonotonicTime {}) {
        m_membership.setTime(now, m_lastWall + std::chrono::duration_cast<WallTime::duration>(now - m_lastTick));
    }
}

// A daemon also votes on its own claims. Messages to itself are dispatched here and do not leave the process.
Outputs FleetNode::route(Outputs outputs, MonotonicTime now)
{
    Outputs routed;
    for (std::size_t index = 0; index < outputs.size(); ++index) {
        const SendMessage *send = std::get_if<SendMessage>(&outputs[index]);
        if (send == nullptr || send->to != m_self) {
            routed.push_back(std::move(outputs[index]));
            continue;
        }
        const Schema::PeerMessage message = send->message;
        append(outputs, dispatch(m_self, message, now));
    }
    return routed;
}

Outputs FleetNode::dispatch(const VmId &from, const Schema::PeerMessage &message, MonotonicTime now)
{
    return std::visit(Overloaded {
                          [&](const Schema::Hello &) { return Outputs {}; },
                          [&](const Schema::Heartbeat &heartbeat) { return onHeartbeat(from, heartbeat, now); },
                          [&](const Schema::DocumentRequest &request) { return onDocumentRequest(from, request); },
                          [&](const Schema::DocumentReply &reply) {
                              return onDocument({ reply.key, reply.revision, reply.text }, now);
                          },
                          [&](const Schema::ViewPull &pull) { return m_membership.onPull(from, pull, m_ledger.records(now)); },
                          [&](const Schema::ViewAnswer &answer) { return onViewAnswer(from, answer, now); },
                          [&](const Schema::ViewNews &news) {
                              m_membership.onNews(news);
                              return Outputs {};
                          },
                          [&](const Schema::GrantRequest &request) { return onGrantRequest(from, request, now); },
                          [&](const Schema::GrantReply &reply) { return m_claims.onReply(from, reply, m_membership, now); },
                          [&](const Schema::GrantRelease &release) {
                              m_ledger.onRelease(from, release);
                              return Outputs {};
                          },
                          [&](const Schema::GrantFinish &finish) {
                              m_ledger.onFinish(finish.record, now);
                              return Outputs {};
                          },
                          [&](const Schema::HolderQuery &query) { return m_claims.onQuery(from, query, m_membership); },
                          [&](const Schema::HolderReply &reply) { return m_claims.onHolderReply(from, reply, now); },
                          [&](const Schema::QuarantineReport &report) { return m_quarantine.onReport(report, now); },
                          [&](const Schema::PermitAsk &ask) { return m_permits.onAsk(from, ask, now); },
                          [&](const Schema::PermitAnswer &answer) { return m_permits.onAnswer(answer); },
                          [&](const Schema::PermitReturn &returned) {
                              m_permits.onReturn(from, returned);
                              return Outputs {};
                          },
                      },
                      message);
}

Outputs FleetNode::onViewAnswer(const VmId &from, const Schema::ViewAnswer &answer, MonotonicTime now)
{
    if (m_membership.onAnswer(from, answer)) {
        m_ledger.merge(answer.records, now);
        m_membership.evaluate();
    }
    return {};
}

Outputs FleetNode::onGrantRequest(const VmId &from, const Schema::GrantRequest &request, MonotonicTime now)
{
    return { SendMessage { from, m_ledger.onRequest(request, m_membership, now) } };
}

Outputs FleetNode::tick(MonotonicTime now, WallTime wall)
{
    m_lastTick = now;
    m_lastWall = wall;
    m_membership.setTime(now, wall);
    m_liveness.start(now);
    m_ledger.expire(now);
    if (m_firstListAt == MonotonicTime {} && !m_cell->members().empty()) {
        m_firstListAt = now;
    }
    m_ready = m_ready || haveDocumentsOfPeers(now);
    Outputs outputs = m_membership.tick(now);
    append(outputs, m_claims.tick(m_membership, now));
    append(outputs, m_permits.tick(*m_cell, now));
    append(outputs, m_quarantine.expire(now));
    if (const auto changes = m_demand.changes(m_self, m_membership.members(), m_liveness, now)) {
        outputs.push_back(*changes);
    }
    if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + HEARTBEAT_INTERVAL;
        append(outputs, heartbeats(m_heartbeatsSent++ % HEARTBEATS_PER_DEMAND == 0));
    }
    return route(std::move(outputs), now);
}

Outputs FleetNode::heartbeats(bool withDemand) const
{
    Outputs outputs;
    for (const Member &member : m_cell->members()) {
        if (member.vm != m_self) {
            outputs.push_back(SendMessage { member.vm, heartbeat(withDemand) });
        }
    }
    return outputs;
}

bool FleetNode::haveDocumentsOfPeers(MonotonicTime now) const
{
    if (m_cell->members().empty()) {
        return false;
    }
    for (const auto &[key, revision] : m_offeredRevisions) {
        if (revision > m_documents.checkedRevision(key)) {
            return false;
        }
    }
    const auto isHeard = [this](const Member &member) { return member.vm == m_self || m_peers.count(member.vm) > 0; };
    const bool allHeard = std::all_of(m_cell->members().begin(), m_cell->members().end(), isHeard);
    return allHeard || now - m_firstListAt >= PEER_TIMEOUT;
}

Outputs FleetNode::onPlatformAnswer(MonotonicTime now)
{
    m_liveness.onPlatformAnswer(now);
    return {};
}

Outputs FleetNode::claimGrant(const GrantClaim &claim, MonotonicTime now)
{
    setNow(now);
    if (m_draining) {
        return { GrantDecided { claim.id, GrantRefused { { ErrorKind::Draining, Outcome::Unknown, "this VM is leaving", {} } } } };
    }
    return route(m_claims.claim(claim, m_membership, now), now);
}

Outputs FleetNode::finishGrant(ClaimId claim, GrantEnd end, const std::string &result, MonotonicTime now)
{
    setNow(now);
    return route(m_claims.finish(claim, end, result, m_membership, now), now);
}

Outputs FleetNode::requestPermit(const PermitRequest &request, MonotonicTime now)
{
    return route(m_permits.request(request, now), now);
}

Outputs FleetNode::returnPermit(WorkId work, const TargetId &target, bool succeeded, MonotonicTime now)
{
    return route(m_permits.returnPermit(work, target, succeeded), now);
}

void FleetNode::setDemand(std::vector<PoolDemand> demand)
{
    m_demand.setOwn(std::move(demand));
}

Outputs FleetNode::reportLoss(Fingerprint fingerprint, const TargetId &target, MonotonicTime now)
{
    return route(m_quarantine.reportLoss(fingerprint, target, m_membership.members(), now), now);
}

Outputs FleetNode::retractLoss(Fingerprint fingerprint, const TargetId &target, MonotonicTime now)
{
    return route(m_quarantine.retractLoss(fingerprint, target, m_membership.members(), now), now);
}

Outputs FleetNode::reportSurvived(Fingerprint fingerprint, MonotonicTime now)
{
    return route(m_quarantine.reportSurvived(fingerprint, m_membership.members(), now), now);
}

Outputs FleetNode::beginDrain(MonotonicTime now)
{
    m_draining = true;
    Outputs outputs = handOverRecords(now);
    append(outputs, m_claims.announceOutcomes(m_membership));
    return route(std::move(outputs), now);
}

Outputs FleetNode::handOverRecords(MonotonicTime now) const
{
    Outputs outputs;
    for (const Schema::GrantRecord &record : m_ledger.records(now)) {
        for (const VmId &vm : m_membership.members()) {
            if (vm != m_self) {
                outputs.push_back(SendMessage { vm, Schema::GrantFinish { record } });
            }
        }
    }
    return outputs;
}

bool FleetNode::isDrained() const
{
    return m_draining && m_claims.isIdle();
}

bool FleetNode::isReady(MonotonicTime now) const
{
    return m_ready && !m_draining && !isIsolated(now);
}

bool FleetNode::isIsolated(MonotonicTime now) const
{
    return m_liveness.isIsolated(m_self, m_membership.members(), now);
}

void FleetNode::setIsolationLimit(std::chrono::milliseconds limit)
{
    m_liveness.setLimit(limit);
}

void FleetNode::setResendWindow(std::chrono::milliseconds window)
{
    m_membership.setResendWindow(window);
}

void FleetNode::setGrantRetention(std::chrono::milliseconds retention)
{
    m_ledger.setRetention(retention);
    m_claims.setRetention(retention);
}

bool FleetNode::isCaughtUp() const
{
    return m_membership.isCaughtUp();
}

bool FleetNode::wasCaughtUp() const
{
    return m_membership.wasCaughtUp();
}

std::size_t FleetNode::grantRecords() const
{
    return m_ledger.size();
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
    const Incarnation incarnation(static_cast<std::uint64_t>(heartbeat.incarnation));
    const auto known = m_peers.find(from);
    Outputs outputs;
    if (known == m_peers.end() || known->second.incarnation != incarnation) {
        outputs = m_quarantine.reportsFor(from, now);
    }
    m_peers[from] = PeerState { incarnation, now };
    m_liveness.onHeartbeat(from, now);
    if (heartbeat.demand) {
        m_demand.setPeerDemand(from, *heartbeat.demand);
    }
    // A VM that is not on the list of this daemon gets no periodic heartbeats from it, but must still learn of newer documents.
    if (m_cell->find(from) == nullptr && isBehind(heartbeat)) {
        outputs.push_back(SendMessage { from, this->heartbeat(false) });
    }
    requestNewer(from, Schema::CONFIGURATION_KEY, heartbeat.config, outputs);
    requestNewer(from, Schema::VM_LIST_KEY, heartbeat.vms, outputs);
    requestNewer(from, Schema::TARGET_LIST_KEY, heartbeat.targets, outputs);
    return outputs;
}

bool FleetNode::isBehind(const Schema::Heartbeat &other) const
{
    const Schema::Heartbeat own = heartbeat(false);
    return other.config < own.config || other.vms < own.vms || other.targets < own.targets;
}

Outputs FleetNode::onDocumentRequest(const VmId &from, const Schema::DocumentRequest &request) const
{
    const Schema::Document *document = m_documents.find(request.key);
    if (document == nullptr || document->revision <= request.newerThan) {
        return {};
    }
    return { SendMessage { from, Schema::DocumentReply { document->key, document->revision, document->text } } };
}

void FleetNode::requestNewer(const VmId &from, std::string_view key, std::int64_t offered, Outputs &outputs)
{
    std::int64_t &highest = m_offeredRevisions[std::string(key)];
    highest = std::max(highest, offered);
    const std::int64_t checked = m_documents.checkedRevision(std::string(key));
    if (offered > checked) {
        outputs.push_back(SendMessage { from, Schema::DocumentRequest { std::string(key), checked } });
    }
}

Schema::Heartbeat FleetNode::heartbeat(bool withDemand) const
{
    Schema::Heartbeat heartbeat;
    heartbeat.incarnation = static_cast<std::int64_t>(m_incarnation.value());
    heartbeat.config = m_documents.revision(std::string(Schema::CONFIGURATION_KEY));
    heartbeat.vms = m_documents.revision(std::string(Schema::VM_LIST_KEY));
    heartbeat.targets = m_documents.revision(std::string(Schema::TARGET_LIST_KEY));
    if (withDemand) {
        heartbeat.demand = m_demand.own();
    }
    return heartbeat;
}

} // namespace CassiaRelay::Fleet
