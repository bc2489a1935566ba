#pragma once

#include "generated/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace CassiaRelay::Schema {

/** Every message between daemons; each alternative is a field of PeerMessages in the schema. */
using PeerMessage = std::variant<Hello,
                                 Heartbeat,
                                 DocumentRequest,
                                 DocumentReply,
                                 ViewPull,
                                 ViewAnswer,
                                 ViewNews,
                                 GrantRequest,
                                 GrantReply,
                                 GrantRelease,
                                 GrantFinish,
                                 HolderQuery,
                                 HolderReply,
                                 PermitAsk,
                                 PermitAnswer,
                                 PermitReturn,
                                 QuarantineReport>;

/** CBOR form of a message. */
std::string encode(const PeerMessage &message);

/**
 * Reads the CBOR form; unknown fields are ignored.
 * @return nothing for a kind that this version does not know
 * @throws Error (BadRequest) for bytes that are not a message
 */
std::optional<PeerMessage> decode(std::string_view bytes);

} // namespace CassiaRelay::Schema
