#include "messagechecks.h"

#include <boost/algorithm/string.hpp>

#include <algorithm>

namespace CassiaRelay::Net {

namespace http = boost::beast::http;

namespace {

constexpr unsigned VERSION_1_1 = 11;
constexpr unsigned MIN_STATUS = 100;
constexpr unsigned MAX_STATUS = 599;
constexpr unsigned STATUS_SWITCHING_PROTOCOLS = 101;

} // namespace

// Any other coding than a single "chunked" would have to be decoded before the body is passed on, and HTTP/1.0 knows none (RFC 9112 6.1).
std::optional<std::string> framingFlaw(const http::fields &fields, unsigned version)
{
    const std::size_t count = fields.count(http::field::transfer_encoding);
    if (count == 0) {
        return std::nullopt;
    }
    if (count > 1 || !boost::iequals(boost::trim_copy(std::string(fields[http::field::transfer_encoding])), "chunked")) {
        return "the transfer coding is not chunked";
    }
    if (version < VERSION_1_1) {
        return "HTTP/1.0 has no transfer codings";
    }
    if (fields.count(http::field::content_length) > 0) {
        return "there are a length and a transfer coding";
    }
    return std::nullopt;
}

std::optional<std::string> responseFlaw(unsigned status, const http::fields &fields, unsigned version)
{
    if (status < MIN_STATUS || status > MAX_STATUS) {
        return "there is no status " + std::to_string(status);
    }
    if (status == STATUS_SWITCHING_PROTOCOLS) {
        return "another protocol was not asked for";
    }
    return framingFlaw(fields, version);
}

} // namespace CassiaRelay::Net
