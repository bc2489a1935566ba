#pragma once

#include "demand.h"
#include "grant.h"
#include "quarantinestate.h"

#include <common/common.h>
#include <schema/schema.h>

#include <iterator>
#include <map>
#include <variant>
#include <vector>

namespace CassiaRelay::Fleet {

/** Sends a message to a member of the cell. The message may be lost. */
struct SendMessage {
    VmId to;
    Schema::PeerMessage message;
};

/** A newer published document has come into force. */
struct AdoptDocument {
    Schema::Document document;
};

/** Answers a claim; each claim gets exactly one decision. */
struct GrantDecided {
    ClaimId claim;
    GrantDecision decision;
};

/** Answers a permit request; each request gets exactly one decision. */
struct PermitDecided {
    WorkId work;
    TargetId target;
    bool granted = false;
};

/** Demand of all members by pool; replaces the previous demand. */
struct DemandChanged {
    std::map<PoolName, std::vector<MemberLoad>> demand;
};

/** The quarantine state of a request body has changed. */
struct QuarantineChanged {
    Fingerprint fingerprint;
    QuarantineState state = QuarantineState::Clear;
};

using Output = std::variant<SendMessage, AdoptDocument, GrantDecided, PermitDecided, DemandChanged, QuarantineChanged>;
using Outputs = std::vector<Output>;

/** Moves the elements of added to the end of outputs. */
inline void append(Outputs &outputs, Outputs added)
{
    outputs.insert(outputs.end(), std::make_move_iterator(added.begin()), std::make_move_iterator(added.end()));
}

} // namespace CassiaRelay::Fleet
