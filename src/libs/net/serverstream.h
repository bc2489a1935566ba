#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl.hpp>
#include <common/common.h>

#include <memory>
#include <utility>
#include <variant>

namespace CassiaRelay::Net {

/** Accepted connection, plain or with TLS. */
class ServerStream
{
public:
    /** @param tls nullptr for a plain connection */
    ServerStream(boost::asio::ip::tcp::socket socket, const std::shared_ptr<boost::asio::ssl::context> &tls)
        : m_stream(tls ? Stream(std::make_unique<TlsStream>(std::move(socket), *tls)) : Stream(std::move(socket)))
    {
    }

    boost::asio::ip::tcp::socket &socket()
    {
        return std::visit(Overloaded {
                              [](boost::asio::ip::tcp::socket &plain) -> boost::asio::ip::tcp::socket & { return plain; },
                              [](TlsPointer &tls) -> boost::asio::ip::tcp::socket & { return tls->next_layer(); },
                          },
                          m_stream);
    }

    template<typename Handler>
    void handshake(Handler handler)
    {
        std::visit(Overloaded {
                       [&handler](boost::asio::ip::tcp::socket &plain) {
                           boost::asio::post(plain.get_executor(),
                                             [handler = std::move(handler)]() mutable { handler(boost::system::error_code()); });
                       },
                       [&handler](TlsPointer &tls) { tls->async_handshake(boost::asio::ssl::stream_base::server, std::move(handler)); },
                   },
                   m_stream);
    }

    template<typename Handler>
    void readSome(boost::asio::mutable_buffer buffer, Handler handler)
    {
        std::visit(Overloaded {
                       [&](boost::asio::ip::tcp::socket &plain) { plain.async_read_some(buffer, std::move(handler)); },
                       [&](TlsPointer &tls) { tls->async_read_some(buffer, std::move(handler)); },
                   },
                   m_stream);
    }

    template<typename Handler>
    void writeSome(boost::asio::const_buffer buffer, Handler handler)
    {
        std::visit(Overloaded {
                       [&](boost::asio::ip::tcp::socket &plain) { plain.async_write_some(buffer, std::move(handler)); },
                       [&](TlsPointer &tls) { tls->async_write_some(buffer, std::move(handler)); },
                   },
                   m_stream);
    }

    /** Tells the other side that nothing more will be written. */
    template<typename Handler>
    void finishWriting(Handler handler)
    {
        std::visit(Overloaded {
                       [](boost::asio::ip::tcp::socket &plain) {
                           boost::system::error_code ignored;
                           plain.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
                       },
                       [&handler](TlsPointer &tls) { tls->async_shutdown(std::move(handler)); },
                   },
                   m_stream);
    }

private:
    using TlsStream = boost::asio::ssl::stream<boost::asio::ip::tcp::socket>;
    using TlsPointer = std::unique_ptr<TlsStream>;
    using Stream = std::variant<boost::asio::ip::tcp::socket, TlsPointer>;

    Stream m_stream;
};

} // namespace CassiaRelay::Net
