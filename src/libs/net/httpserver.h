#pragma once

#include "httpexchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>

namespace CassiaRelay::Net {

struct HttpServerState;

/** What a server takes from one sender. */
struct HttpLimits {
    std::size_t maxBodyBytes = 1024 * 1024;
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxConnections = 20000;
    /** Time for the header of a request. */
    std::chrono::milliseconds headerTimeout { 10000 };
    /** Time for one whole request. */
    std::chrono::milliseconds readTimeout { 10000 };
    /** Time that a connection may still wait for a request while the server drains. */
    std::chrono::milliseconds drainIdleTimeout { 250 };
    /** Time between two requests of a connection. */
    std::chrono::milliseconds idleTimeout { 60000 };
    /** Time after which a reader that takes nothing of its response is cut off. */
    std::chrono::milliseconds stalledReaderTimeout { 10000 };
};

/** Accepts HTTP connections and hands each request to a handler. */
class HttpServer
{
public:
    /**
     * @param tls nullptr serves plain connections
     * @throws Error when the address cannot be listened on
     */
    HttpServer(boost::asio::io_context &context,
               const std::string &address,
               std::uint16_t port,
               HttpLimits limits,
               HttpHandler handler,
               std::shared_ptr<boost::asio::ssl::context> tls = nullptr);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    void start();
    /** For requests that begin after this. From any thread. */
    void setLimits(const HttpLimits &limits);
    /** Goes on accepting, but each connection is closed after its current request or a short idle time. From any thread. */
    void drain();
    /** Serves what the system has accepted so far and accepts no more; connections() falls to 0 when all is answered. */
    void stop();
    std::uint16_t port() const;
    /** Open connections, including those that are answered and not yet closed. */
    std::size_t connections() const;

private:
    void accept();
    void acceptAfterPause();
    void serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context &m_context;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptTimer;
    std::shared_ptr<HttpServerState> m_state;
    std::uint16_t m_port = 0;
};

} // namespace CassiaRelay::Net
