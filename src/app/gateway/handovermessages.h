#pragma once

#include <gateway/gateway.h>
#include <net/net.h>
#include <schema/schema.h>

#include <optional>

namespace CassiaRelay::GatewayDaemon {

/**
 * A request that is handed over keeps its method, path, fields and body. This field holds Schema::HandedOverRequest as JSON and is the
 * only one that is added to it.
 */
inline constexpr const char *HANDOVER_FIELD = "Cell-Handover";

/** In the response to a request that was handed over, names the target if it has said that it is leaving. */
inline constexpr const char *LEAVING_TARGET_FIELD = "Cell-Leaving-Target";

/** In the response to a stream that was handed over, holds Schema::RelayedStream as JSON. */
inline constexpr const char *ORIGIN_FIELD = "Cell-Stream-Origin";

/** Removes the fields that daemons send each other; others may have sent them as well. */
void removeCellFields(std::vector<HttpField> &fields);
/** Returns the value of HANDOVER_FIELD. */
std::string handoverText(const Gateway::HandOverRequest &action,
                         const Gateway::RelayRequest &request,
                         const VmId &sender,
                         MonotonicTime now);
/** @throws std::exception if the text can't be read */
Schema::HandedOverRequest parseHandover(const std::string &text);
Gateway::Handover toHandover(const Schema::HandedOverRequest &message);

/** Returns the value of ORIGIN_FIELD. */
std::string originText(const Gateway::StreamOrigin &origin);
/**
 * Returns no value if the other daemon names no origin.
 * @throws std::exception if the field can't be read
 */
std::optional<Gateway::StreamOrigin> readOrigin(const Net::HttpCallHead &head);

Net::HttpResponse declineResponse(Gateway::DeclineReason reason);
/** Returns why the other daemon has declined the request; no value if it has not. */
std::optional<Gateway::DeclineReason> declineReason(const Net::HttpCallHead &head);

} // namespace CassiaRelay::GatewayDaemon
