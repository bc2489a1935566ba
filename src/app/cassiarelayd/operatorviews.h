#pragma once

#include "fleetview.h"
#include "requestlog.h"

#include <metrics/metrics.h>
#include <nlohmann/json.hpp>

#include <vector>

namespace CassiaRelay::Daemon {

/** JSON forms of the daemon's state for operators. */
nlohmann::json targetsJson(const FleetView &view);
nlohmann::json domainsJson(const FleetView &view);
nlohmann::json organisationsJson(const FleetView &view);
/** @param peers as in the status: vm and silentMs of each peer */
nlohmann::json vmsJson(const FleetView &view, const nlohmann::json &peers);
nlohmann::json histogramsJson(const std::vector<Metrics::HistogramSample> &samples);
/** Times are milliseconds since the request began. */
nlohmann::json requestJson(const RequestRecord &record);

} // namespace CassiaRelay::Daemon
