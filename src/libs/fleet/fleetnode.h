#pragma once

#include "cell.h"
#include "documentstore.h"
#include "output.h"

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

    FleetNode(VmId self, Incarnation incarnation, DocumentCheck check);

    /** A document as the platform serves it; an older revision than the one in force is ignored. */
    Outputs onDocument(const Schema::Document &document, MonotonicTime now);
    Outputs onMessage(const VmId &from, const Schema::PeerMessage &message, MonotonicTime now);
    /** Sends heartbeats that are due. Call at least every 100 ms. */
    Outputs tick(MonotonicTime now);

    std::shared_ptr<const Cell> cell() const;
    const DocumentStore &documents() const;
    const std::map<VmId, PeerState> &peers() const;

private:
    Outputs onHeartbeat(const VmId &from, const Schema::Heartbeat &heartbeat, MonotonicTime now);
    Outputs onDocumentRequest(const VmId &from, const Schema::DocumentRequest &request) const;
    void requestNewer(const VmId &from, std::string_view key, std::int64_t offered, Outputs &outputs) const;
    Schema::Heartbeat heartbeat() const;

    VmId m_self;
    Incarnation m_incarnation;
    DocumentCheck m_check;
    DocumentStore m_documents;
    std::shared_ptr<const Cell> m_cell = std::make_shared<const Cell>();
    std::map<VmId, PeerState> m_peers;
    MonotonicTime m_nextHeartbeat;
};

} // namespace CassiaRelay::Fleet
