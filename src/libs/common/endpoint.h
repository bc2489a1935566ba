#pragma once

#include <cstdint>
#include <string>

namespace CassiaRelay {

/** IP number and port. */
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    /**
     * Reads IP:PORT.
     * @throws Error (SettingsInvalid)
     */
    static Endpoint parse(const std::string &text);
    std::string text() const;
};

} // namespace CassiaRelay
