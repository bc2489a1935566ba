#include "endpoint.h"

#include "error.h"

#include <charconv>

namespace CassiaRelay {

Endpoint Endpoint::parse(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos && colon > 0) {
        const char *end = text.data() + text.size();
        const auto result = std::from_chars(text.data() + colon + 1, end, port);
        port = result.ptr == end ? port : 0;
    }
    if (port == 0) {
        throw Error(ErrorKind::SettingsInvalid, "'" + text + "' is not IP:PORT", "give an IP number, a colon and a port from 1 to 65535");
    }
    return { text.substr(0, colon), port };
}

std::string Endpoint::text() const
{
    return address + ":" + std::to_string(port);
}

} // namespace CassiaRelay
