#pragma once

#include "cell.h"
#include "demandtable.h"
#include "documentstore.h"
#include "grantclaims.h"
#include "grantledger.h"
#include "livenesstracker.h"
#include "membership.h"
#include "output.h"
#include "permit.h"
#include "permits.h"
#include "quarantine.h"

#include <functional>
#include <map>
#include <memory>

namespace CassiaRelay::Fleet {

/** What a daemon knows of another one. */
struct PeerState {
    Incarnation incarnation;
    MonotonicTime lastHeard;
};

/** The part of one daemon in the decisions of its cell. Not thread safe: one strand calls it. */
class FleetNode
{
public:
    /** Throws Error for a document that must not come into force. */
    using DocumentCheck = std::function<void(const Schema::Document &)>;

    FleetNode(VmId self, Incarnation incarnation, DocumentCheck check, GrantRules rules = {});

    /** A document as the platform serves it; an older revision than the one in force is ignored. */
    Outputs onDocument(const Schema::Document &document, MonotonicTime now);
    /** The platform answered a read or a watch, with or without news. */
    Outputs onPlatformAnswer(MonotonicTime now);
    Outputs onMessage(const VmId &from, const Schema::PeerMessage &message, MonotonicTime now);
    /** Sends what is due. Call at least every 100 ms; a longer gap counts as a pause of the process. */
    Outputs tick(MonotonicTime now, WallTime wall);

    /** Asks for the right to run a non-repeatable stage. */
    Outputs claimGrant(const GrantClaim &claim, MonotonicTime now);
    /** Ends a claim that was held; a result is kept for re-sends when it is small. */
    Outputs finishGrant(ClaimId claim, GrantEnd end, const std::string &result, MonotonicTime now);

    Outputs requestPermit(const PermitRequest &request, MonotonicTime now);
    Outputs returnPermit(WorkId work, const TargetId &target, bool succeeded, MonotonicTime now);

    void setDemand(std::vector<PoolDemand> demand);

    /** The target was lost while it ran a request with this fingerprint. */
    Outputs reportLoss(Fingerprint fingerprint, const TargetId &target, MonotonicTime now);
    /** The target of a reported loss lives. */
    Outputs retractLoss(Fingerprint fingerprint, const TargetId &target, MonotonicTime now);
    /** A request with this fingerprint ran to its end. */
    Outputs reportSurvived(Fingerprint fingerprint, MonotonicTime now);

    /** Hands over what this daemon holds for others. */
    Outputs beginDrain(MonotonicTime now);
    /** True when nothing is left to hand over. */
    bool isDrained() const;

    /** False until the documents of the peers have been asked for. */
    bool isReady(MonotonicTime now) const;
    /** True without contact to the platform and to half of the cell for longer than the limit: start nothing new. */
    bool isIsolated(MonotonicTime now) const;
    void setIsolationLimit(std::chrono::milliseconds limit);
    /** How long a caller may send a key again that carries no time of issue. */
    void setResendWindow(std::chrono::milliseconds window);
    /** How long the outcome of a grant is kept. */
    void setGrantRetention(std::chrono::milliseconds retention);

    /** Whether this daemon remembers every grant of the earlier views. */
    bool isCaughtUp() const;
    /** Whether this process has been seasoned in any view. */
    bool wasCaughtUp() const;
    /** Grants that this daemon remembers as a granter. */
    std::size_t grantRecords() const;

    std::shared_ptr<const Cell> cell() const;
    const DocumentStore &documents() const;
    const std::map<VmId, PeerState> &peers() const;

private:
    void setNow(MonotonicTime now);
    Outputs route(Outputs outputs, MonotonicTime now);
    Outputs dispatch(const VmId &from, const Schema::PeerMessage &message, MonotonicTime now);
    Outputs onViewAnswer(const VmId &from, const Schema::ViewAnswer &answer, MonotonicTime now);
    Outputs onGrantRequest(const VmId &from, const Schema::GrantRequest &request, MonotonicTime now);
    Outputs onHeartbeat(const VmId &from, const Schema::Heartbeat &heartbeat, MonotonicTime now);
    Outputs onDocumentRequest(const VmId &from, const Schema::DocumentRequest &request) const;
    void requestNewer(const VmId &from, std::string_view key, std::int64_t offered, Outputs &outputs);
    bool isBehind(const Schema::Heartbeat &other) const;
    Schema::Heartbeat heartbeat(bool withDemand) const;
    Outputs heartbeats(bool withDemand) const;
    Outputs adopt(const Schema::Document &document);
    Outputs handOverRecords(MonotonicTime now) const;
    bool haveDocumentsOfPeers(MonotonicTime now) const;

    VmId m_self;
    Incarnation m_incarnation;
    DocumentCheck m_check;
    DocumentStore m_documents;
    std::shared_ptr<const Cell> m_cell = std::make_shared<const Cell>();
    std::map<VmId, PeerState> m_peers;
    MonotonicTime m_nextHeartbeat;
    std::uint64_t m_heartbeatsSent = 0;
    MonotonicTime m_lastTick;
    WallTime m_lastWall;
    Membership m_membership;
    GrantLedger m_ledger;
    GrantClaims m_claims;
    LivenessTracker m_liveness;
    DemandTable m_demand;
    Permits m_permits;
    Quarantine m_quarantine;
    std::map<std::string, std::int64_t> m_offeredRevisions; ///< highest revision of each document at any peer
    MonotonicTime m_firstListAt;
    bool m_ready = false;
    bool m_draining = false;
};

} // namespace CassiaRelay::Fleet
