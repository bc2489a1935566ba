#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <net/net.h>

#include <future>
#include <thread>

namespace Loopback {

namespace http = boost::beast::http;
using CassiaRelay::Net::HttpExchangePointer;
using Response = http::response<http::string_body>;

/** An io_context that a thread of its own runs. */
class Context
{
public:
    Context()
        : m_work(boost::asio::make_work_guard(m_context))
        , m_thread([this] { m_context.run(); })
    {
    }
    ~Context()
    {
        join();
    }
    Context(const Context &) = delete;
    Context &operator=(const Context &) = delete;

    boost::asio::io_context &get()
    {
        return m_context;
    }

    /** Ends the thread; a derived class calls it before its members go. */
    void join()
    {
        m_context.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

/** An HTTP server on a free port. */
class Server : public Context
{
public:
    explicit Server(CassiaRelay::Net::HttpHandler handler, CassiaRelay::Net::HttpLimits limits = {})
        : m_server(get(), "127.0.0.1", 0, limits, std::move(handler))
    {
        m_server.start();
    }
    ~Server()
    {
        join();
    }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    CassiaRelay::Net::HttpServer &http()
    {
        return m_server;
    }

private:
    CassiaRelay::Net::HttpServer m_server;
};

/** A blocking connection that sends exactly the bytes that a test wants. */
class Client
{
public:
    explicit Client(std::uint16_t port)
        : m_socket(m_context)
    {
        m_socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    }

    /** False when the server has closed the connection. */
    bool send(const std::string &bytes)
    {
        boost::system::error_code error;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), error);
        return !error;
    }

    Response read()
    {
        Response response;
        http::read(m_socket, m_buffer, response);
        return response;
    }

    /** Bytes up to the end of the connection, however it ends. */
    std::string readAll()
    {
        std::string bytes;
        boost::system::error_code error;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(bytes), error);
        return bytes;
    }

    boost::asio::ip::tcp::socket &socket()
    {
        return m_socket;
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
};

inline std::string post(const std::string &path, const std::string &body, const std::string &fields = {})
{
    return "POST " + path + " HTTP/1.1\r\nHost: test\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline void echo(const HttpExchangePointer &exchange)
{
    exchange->respond({ 200, "application/json", exchange->request().body(), {} });
}

} // namespace Loopback
