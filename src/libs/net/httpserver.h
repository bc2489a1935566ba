#pragma once

#include "httpexchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>

namespace CassiaRelay::Net {

/** What a server takes from one sender. */
struct HttpLimits {
    std::size_t maxBodyBytes = 1024 * 1024;
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxConnections = 20000;
    std::chrono::milliseconds readTimeout { 10000 };
    std::chrono::milliseconds idleTimeout { 60000 };
};

/** Accepts HTTP connections and hands each request to a handler. */
class HttpServer
{
public:
    /** @throws Error when the address cannot be listened on */
    HttpServer(boost::asio::io_context &context, const std::string &address, std::uint16_t port, HttpLimits limits, HttpHandler handler);

    void start();
    /** Stops accepting; open connections finish their request. */
    void stop();
    std::uint16_t port() const;
    std::size_t connections() const;

private:
    void accept();

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<const HttpLimits> m_limits;
    std::shared_ptr<const HttpHandler> m_handler;
    std::shared_ptr<std::atomic<std::size_t>> m_connections;
};

} // namespace CassiaRelay::Net
