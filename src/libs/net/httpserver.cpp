#include "httpserver.h"

#include "addressinuse.h"
#include "httpserverstate.h"
#include "httpsession.h"

#include <boost/asio/dispatch.hpp>

#include <vector>

namespace CassiaRelay::Net {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t MAX_REFUSED_CONNECTIONS = 256;
constexpr std::chrono::milliseconds ACCEPT_RETRY_DELAY { 100 };

} // namespace

HttpServer::HttpServer(boost::asio::io_context &context,
                       const std::string &address,
                       std::uint16_t port,
                       HttpLimits limits,
                       HttpHandler handler,
                       std::shared_ptr<boost::asio::ssl::context> tls)
    : m_context(context)
    , m_strand(boost::asio::make_strand(context))
    , m_acceptor(m_strand)
    , m_acceptTimer(m_strand)
    , m_state(std::make_shared<HttpServerState>())
{
    m_state->limits.store(std::make_shared<const HttpLimits>(limits));
    m_state->handler = std::move(handler);
    m_state->tls = std::move(tls);
    try {
        const tcp::endpoint endpoint(boost::asio::ip::make_address(address), port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
        m_port = m_acceptor.local_endpoint().port();
    } catch (const boost::system::system_error &failure) {
        if (failure.code() == boost::asio::error::address_in_use) {
            throw AddressInUse(ErrorKind::SettingsInvalid,
                               "cannot listen on " + address + ":" + std::to_string(port) + ": " + failure.what(),
                               "end the process that holds the port, or choose another one");
        }
        throw Error(ErrorKind::SettingsInvalid,
                    "cannot listen on " + address + ":" + std::to_string(port) + ": " + failure.what(),
                    "choose an address of this machine and a free port");
    }
}

HttpServer::~HttpServer() = default;

void HttpServer::start()
{
    boost::asio::dispatch(m_strand, [this] { accept(); });
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    m_state->limits.store(std::make_shared<const HttpLimits>(limits));
}

void HttpServer::drain()
{
    m_state->draining = true;
    std::vector<std::shared_ptr<HttpSession>> sessions;
    {
        const std::lock_guard lock(m_state->mutex);
        for (const auto &[key, weak] : m_state->sessions) {
            sessions.push_back(weak.lock());
        }
    }
    for (const std::shared_ptr<HttpSession> &session : sessions) {
        if (session) {
            session->drain();
        }
    }
}

void HttpServer::stop()
{
    boost::asio::dispatch(m_strand, [this] {
        error_code error;
        m_acceptTimer.cancel();
        m_acceptor.non_blocking(true, error);
        while (!error) {
            tcp::socket socket(boost::asio::make_strand(m_context));
            m_acceptor.accept(socket, error);
            if (!error) {
                serve(std::move(socket));
            }
        }
        m_acceptor.close(error);
    });
}

std::uint16_t HttpServer::port() const
{
    return m_port;
}

std::size_t HttpServer::connections() const
{
    return m_state->connections.load();
}

void HttpServer::accept()
{
    m_acceptor.async_accept(boost::asio::make_strand(m_context), [this](const error_code &error, tcp::socket socket) {
        if (!error) {
            serve(std::move(socket));
        }
        if (!m_acceptor.is_open()) {
            return;
        }
        // Out of file descriptors: the connection stays in the queue of the system, and accepting at once would spin.
        if (error) {
            acceptAfterPause();
            return;
        }
        accept();
    });
}

void HttpServer::acceptAfterPause()
{
    m_acceptTimer.expires_after(ACCEPT_RETRY_DELAY);
    m_acceptTimer.async_wait([this](const error_code &error) {
        if (!error && m_acceptor.is_open()) {
            accept();
        }
    });
}

void HttpServer::serve(tcp::socket socket)
{
    const std::size_t open = m_state->connections.load();
    const std::size_t limit = m_state->limits.load()->maxConnections;
    if (open >= limit + MAX_REFUSED_CONNECTIONS) {
        return;
    }
    auto session = std::make_shared<HttpSession>(ServerStream(std::move(socket), m_state->tls), m_state);
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->sessions.emplace(session.get(), session);
    }
    if (open >= limit) {
        session->startRefusing();
        return;
    }
    session->start();
}

} // namespace CassiaRelay::Net
