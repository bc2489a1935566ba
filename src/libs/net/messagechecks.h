#pragma once

#include "httpclient.h"

#include <boost/beast/http/fields.hpp>

#include <optional>
#include <string>

namespace CassiaRelay::Net {

/**
 * Returns why the end of the message can't be told from its header; no value if it can.
 * @param version of HTTP: 10 or 11
 */
std::optional<std::string> framingFlaw(const boost::beast::http::fields &fields, unsigned version);

/** Returns why a response with this head is none that a client may get; no value if there is no reason. */
std::optional<std::string> responseFlaw(unsigned status, const boost::beast::http::fields &fields, unsigned version);

/** Returns which text of the request would break its request line or header; no value if there is none. */
std::optional<std::string> requestFlaw(const HttpCallRequest &request);

} // namespace CassiaRelay::Net
