#pragma once

#include <common/common.h>
#include <schema/schema.h>

#include <variant>
#include <vector>

namespace CassiaRelay::Fleet {

/** Sends a message to a member of the cell; it may be lost. */
struct SendMessage {
    VmId to;
    Schema::PeerMessage message;
};

/** A newer published document is in force from now on. */
struct AdoptDocument {
    Schema::Document document;
};

using Output = std::variant<SendMessage, AdoptDocument>;
using Outputs = std::vector<Output>;

} // namespace CassiaRelay::Fleet
