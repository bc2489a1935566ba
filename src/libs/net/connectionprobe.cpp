#include "connectionprobe.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>

namespace CassiaRelay::Net {

using boost::asio::ip::tcp;

void probeConnection(boost::asio::io_context &context,
                     const Endpoint &endpoint,
                     std::chrono::milliseconds timeout,
                     std::function<void(bool isConnected)> handler)
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(endpoint.address, error);
    if (error) {
        boost::asio::post(context, [handler = std::move(handler)] { handler(false); });
        return;
    }
    auto stream = std::make_shared<boost::beast::tcp_stream>(context);
    stream->expires_after(timeout);
    stream->async_connect(tcp::endpoint(address, endpoint.port),
                          [stream, handler = std::move(handler)](const boost::system::error_code &result) {
                              stream->close();
                              handler(!result);
                          });
}

} // namespace CassiaRelay::Net
