#pragma once

#include <boost/asio/io_context.hpp>
#include <common/common.h>

#include <functional>

namespace CassiaRelay::Net {

/** Opens a connection and closes it at once; the handler is told whether it could be opened in time. */
void probeConnection(boost::asio::io_context &context,
                     const Endpoint &endpoint,
                     std::chrono::milliseconds timeout,
                     std::function<void(bool isConnected)> handler);

} // namespace CassiaRelay::Net
