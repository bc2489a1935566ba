#pragma once

#include <boost/beast/http/fields.hpp>
#include <common/common.h>

#include <vector>

namespace CassiaRelay::GatewayDaemon {

/** Returns the header fields of an HTTP message in their original order. */
inline std::vector<HttpField> toFieldList(const boost::beast::http::fields &fields)
{
    std::vector<HttpField> list;
    for (const auto &field : fields) {
        list.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
    return list;
}

} // namespace CassiaRelay::GatewayDaemon
