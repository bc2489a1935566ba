#pragma once

#include "eventlog.h"
#include "piecebroker.h"

#include <gateway/gateway.h>
#include <metrics/metrics.h>
#include <net/net.h>

#include <set>

namespace CassiaRelay::GatewayDaemon {

class RelaySession;

/** A graceful shutdown under way. */
struct Shutdown {
    MonotonicTime startedAt;
    Duration duration {}; ///< until the process ends
};

/** What all requests of a daemon share; lives on its one thread. */
struct GatewayServices {
    boost::asio::io_context &context;
    Net::HttpClient &targetClient;
    const Gateway::PlatformPort &port;
    const Gateway::Catalogue &catalogue;
    Gateway::RelayContext &relay;
    PieceBroker &pieceBroker;
    Metrics::Registry &metrics;
    EventLog &log;
    std::set<RelaySession *> sessions = {}; ///< requests without a final answer
    std::optional<Shutdown> shutdown = std::nullopt;
};

} // namespace CassiaRelay::GatewayDaemon
