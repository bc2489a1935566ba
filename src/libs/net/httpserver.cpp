#include "httpserver.h"

#include "httpsession.h"

#include <boost/asio/strand.hpp>

namespace CassiaRelay::Net {

using boost::asio::ip::tcp;

HttpServer::HttpServer(
    boost::asio::io_context &context, const std::string &address, std::uint16_t port, HttpLimits limits, HttpHandler handler)
    : m_context(context)
    , m_acceptor(context)
    , m_limits(std::make_shared<const HttpLimits>(limits))
    , m_handler(std::make_shared<const HttpHandler>(std::move(handler)))
    , m_connections(std::make_shared<std::atomic<std::size_t>>(0))
{
    try {
        const tcp::endpoint endpoint(boost::asio::ip::make_address(address), port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
    } catch (const boost::system::system_error &failure) {
        throw Error(ErrorKind::SettingsInvalid,
                    "cannot listen on " + address + ":" + std::to_string(port) + ": " + failure.what(),
                    "choose an address of this machine and a free port");
    }
}

void HttpServer::start()
{
    accept();
}

void HttpServer::stop()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

std::uint16_t HttpServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

std::size_t HttpServer::connections() const
{
    return m_connections->load();
}

void HttpServer::accept()
{
    m_acceptor.async_accept(boost::asio::make_strand(m_context), [this](const boost::system::error_code &error, tcp::socket socket) {
        if (!m_acceptor.is_open()) {
            return;
        }
        if (!error && m_connections->load() < m_limits->maxConnections) {
            std::make_shared<HttpSession>(std::move(socket), m_limits, m_handler, m_connections)->start();
        }
        accept();
    });
}

} // namespace CassiaRelay::Net
