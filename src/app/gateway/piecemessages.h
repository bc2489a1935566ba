#pragma once

#include <gateway/gateway.h>
#include <schema/schema.h>

namespace CassiaRelay::GatewayDaemon {

/** Deadlines are sent as remaining time, because the clocks of two machines differ. */
Schema::PieceOrder toMessage(const Gateway::PieceOrder &pieceOrder, MonotonicTime now);
Gateway::PieceOrder fromMessage(const Schema::PieceOrder &message, MonotonicTime now);

Schema::PieceResults toMessage(const std::vector<Gateway::PieceCompletion> &completions);
std::vector<Gateway::PieceCompletion> fromMessage(const Schema::PieceResults &message);

Schema::ServiceLoad toMessage(const Gateway::ServiceLoadReport &report);
Gateway::ServiceLoadReport fromMessage(const Schema::ServiceLoad &message);

} // namespace CassiaRelay::GatewayDaemon
