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

/** Last known state of another daemon. */
struct PeerState {
    Incarnation incarnation;
    MonotonicTime lastHeard;
};

/** Takes part in the decisions of a cell on behalf of one daemon. Not thread safe: all calls come from one strand. */
class FleetNode
{
public:
    /** Validates a document. Throws Error if the document must not be adopted. */
    using DocumentCheck = std::function<void(const Schema::Document &)>;

    FleetNode(VmId self, Incarnation incarnation, DocumentCheck check, GrantRules rules = {});

    /** Handles a document as served by the platform. A revision that is not newer than the one in force is ignored. */
    Outputs onDocument(const Schema::Document &document, MonotonicTime now);
    /** Records that the platform answered a read or a watch, with or without a new revision. */
    Outputs onPlatformAnswer(MonotonicTime now);
    Outputs onMessage(const VmId &from, const Schema::PeerMessage &message, MonotonicTime now);
    /**
     * Performs periodic work and returns the messages that are due.
     * Must be called at least every 100 ms; a longer gap is treated as a suspension of the process.
     */
    Outputs tick(MonotonicTime now, WallTime wall);

    /** Claims a grant, which is the right to run a non-repeatable stage. */
    Outputs claimGrant(const GrantClaim &claim, MonotonicTime now);
    /** Ends a claim that holds the grant or is still pending. A small result is kept to answer re-sent requests. */
    Outputs finishGrant(ClaimId claim, GrantEnd end, const std::string &result, MonotonicTime now);

    Outputs requestPermit(const PermitRequest &request, MonotonicTime now);
    Outputs returnPermit(WorkId work, const TargetId &target, bool succeeded, MonotonicTime now);

    void setDemand(std::vector<PoolDemand> demand);

    /** Reports that a target was lost while it ran a request with this fingerprint. */
    Outputs reportLoss(Fingerprint fingerprint, const TargetId &target, MonotonicTime now);
    /** Retracts a reported loss because the target is alive. */
    Outputs retractLoss(Fingerprint fingerprint, const TargetId &target, MonotonicTime now);
    /** Reports that a request with this fingerprint ran to completion. */
    Outputs reportSurvived(Fingerprint fingerprint, MonotonicTime now);

    /** Sends the grant records and outcomes of this daemon to the other members. New claims are refused from then on. */
    Outputs beginDrain(MonotonicTime now);
    /** Returns true if a drain has begun and no claim is pending or holds a grant. */
    bool isDrained() const;

    /** Returns true once the newest documents offered by the peers have arrived, unless the daemon is draining or isolated. */
    bool isReady(MonotonicTime now) const;
    /** Returns true if neither the platform nor at least half of the cell was heard within the limit. No new work may start then. */
    bool isIsolated(MonotonicTime now) const;
    void setIsolationLimit(std::chrono::milliseconds limit);
    /** Sets for how long a caller may re-send a key that contains no time of issue. */
    void setResendWindow(std::chrono::milliseconds window);
    /** Sets how long the outcome of a grant is kept. */
    void setGrantRetention(std::chrono::milliseconds retention);

    /** Returns whether this daemon has every grant record of the views before the current one. */
    bool isCaughtUp() const;
    /** Returns whether this process has been caught up in any view. */
    bool wasCaughtUp() const;
    /** Number of grant records that this daemon keeps as a granter. */
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
    std::map<std::string, std::int64_t> m_offeredRevisions; ///< highest revision of each document that any peer has offered
    MonotonicTime m_firstListAt;
    bool m_ready = false;
    bool m_draining = false;
};

} // namespace CassiaRelay::Fleet
