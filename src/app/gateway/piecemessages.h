#pragma once

#include <gateway/gateway.h>
#include <schema/schema.h>

namespace CassiaRelay::GatewayDaemon {

/** Times go over the wire as what is left of them, because the clocks of two machines differ. */
Schema::PieceOrder toMessage(const Gateway::PieceOrder &pieceOrder, MonotonicTime now);
Gateway::PieceOrder fromMessage(const Schema::PieceOrder &message, MonotonicTime now);

Schema::PieceResults toMessage(const std::vector<Gateway::PieceCompletion> &ends);
std::vector<Gateway::PieceCompletion> fromMessage(const Schema::PieceResults &message);

} // namespace CassiaRelay::GatewayDaemon
