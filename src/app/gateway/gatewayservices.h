#pragma once

#include "eventlog.h"
#include "permitbroker.h"
#include "piecebroker.h"
#include "placementbroker.h"
#include "streambroker.h"

#include <gateway/gateway.h>
#include <metrics/metrics.h>
#include <net/net.h>

#include <set>

namespace CassiaRelay::GatewayDaemon {

class RelaySession;

/** A graceful shutdown in progress. */
struct Shutdown {
    MonotonicTime startedAt;
    Duration duration {}; ///< time from startedAt until unfinished requests get a final response
};

/** Objects shared by all requests of a daemon; used only on its single thread. */
struct GatewayServices {
    boost::asio::io_context &context;
    Net::HttpClient &targetClient;
    Net::HttpClient &peerClient;
    VmId vm;
    const Gateway::PlatformPort &port;
    const Gateway::Catalogue &catalogue;
    const Gateway::KnowledgeAge &knowledge;
    Gateway::RelayContext &relayContext;
    PieceBroker &pieceBroker;
    PermitBroker &permitBroker;
    PlacementBroker &placementBroker;
    StreamBroker &streamBroker;
    Metrics::Registry &metrics;
    EventLog &log;
    std::set<RelaySession *> sessions = {}; ///< requests without a final response
    std::optional<Shutdown> shutdown = std::nullopt;
};

} // namespace CassiaRelay::GatewayDaemon
