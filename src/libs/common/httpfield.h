#pragma once

#include <string>

namespace CassiaRelay {

/** Name and value of an HTTP header field. */
struct HttpField {
    std::string name;
    std::string value;
};

} // namespace CassiaRelay
