#include "httpsession.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <sstream>

namespace CassiaRelay::Net {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

std::string chunkOf(const std::string &part)
{
    std::ostringstream text;
    text << std::hex << part.size() << "\r\n" << part << "\r\n";
    return text.str();
}

} // namespace

HttpSession::HttpSession(boost::asio::ip::tcp::socket socket,
                         std::shared_ptr<const HttpLimits> limits,
                         std::shared_ptr<const HttpHandler> handler,
                         std::shared_ptr<std::atomic<std::size_t>> connections)
    : m_stream(std::move(socket))
    , m_limits(std::move(limits))
    , m_handler(std::move(handler))
    , m_connections(std::move(connections))
{
    ++*m_connections;
    error_code ignored;
    m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

HttpSession::~HttpSession()
{
    --*m_connections;
}

void HttpSession::start()
{
    boost::asio::dispatch(m_stream.get_executor(), [self = shared_from_this()] { self->waitForRequest(); });
}

const HttpRequest &HttpSession::request() const
{
    return m_request;
}

void HttpSession::respond(HttpResponse response)
{
    boost::asio::dispatch(m_stream.get_executor(), [self = shared_from_this(), response = std::move(response)] {
        self->enqueue(self->headText(response, false) + response.body, true);
    });
}

void HttpSession::startStream(HttpResponse head)
{
    boost::asio::dispatch(m_stream.get_executor(),
                          [self = shared_from_this(), head = std::move(head)] { self->enqueue(self->headText(head, true), false); });
}

void HttpSession::writeStream(std::string part)
{
    m_queuedBytes += part.size();
    boost::asio::dispatch(m_stream.get_executor(), [self = shared_from_this(), part = std::move(part)] {
        self->m_queuedBytes -= part.size();
        self->enqueue(chunkOf(part), false);
    });
}

void HttpSession::finishStream()
{
    boost::asio::dispatch(m_stream.get_executor(), [self = shared_from_this()] { self->enqueue("0\r\n\r\n", true); });
}

void HttpSession::abortAfterQueued()
{
    boost::asio::dispatch(m_stream.get_executor(), [self = shared_from_this()] {
        self->m_abortWhenDrained = true;
        if (!self->m_writing) {
            self->close();
        }
    });
}

std::size_t HttpSession::queuedBytes() const
{
    return m_queuedBytes.load();
}

void HttpSession::onDrained(std::function<void()> handler)
{
    m_drainedHandler = std::move(handler);
}

void HttpSession::onClosed(std::function<void()> handler)
{
    m_closedHandler = std::move(handler);
}

// The buffers of an idle connection are only allocated when its next request arrives.
void HttpSession::waitForRequest()
{
    if (m_buffer.size() > 0) {
        readRequest();
        return;
    }
    m_buffer = {};
    m_stream.expires_after(m_limits->idleTimeout);
    m_stream.async_read_some(boost::asio::mutable_buffer(nullptr, 0), [self = shared_from_this()](const error_code &error, std::size_t) {
        if (error) {
            self->close();
            return;
        }
        self->readRequest();
    });
}

void HttpSession::readRequest()
{
    m_parser.emplace();
    m_parser->body_limit(m_limits->maxBodyBytes);
    m_parser->header_limit(static_cast<std::uint32_t>(m_limits->maxHeaderBytes));
    m_stream.expires_after(m_limits->readTimeout);
    http::async_read(
        m_stream, m_buffer, *m_parser, [self = shared_from_this()](const error_code &error, std::size_t) { self->onRequest(error); });
}

void HttpSession::onRequest(const error_code &error)
{
    if (error) {
        refuseRequest(error);
        return;
    }
    m_stream.expires_never();
    m_request = m_parser->release();
    m_parser.reset();
    m_busy = true;
    m_lastQueued = false;
    m_keepAlive = m_request.keep_alive();
    watchForClose();
    (*m_handler)(shared_from_this());
}

void HttpSession::refuseRequest(const error_code &error)
{
    if (error == http::error::end_of_stream || error == boost::asio::error::eof || error == boost::asio::error::connection_reset) {
        close();
        return;
    }
    HttpResponse response;
    response.status = 400;
    ErrorKind kind = ErrorKind::BadRequest;
    if (error == http::error::body_limit) {
        response.status = 413;
        kind = ErrorKind::PayloadTooLarge;
    } else if (error == http::error::header_limit) {
        response.status = 431;
        kind = ErrorKind::PayloadTooLarge;
    } else if (error == boost::beast::error::timeout) {
        response.status = 408;
    }
    response.contentType = "application/problem+json";
    response.body = R"({"kind":")" + std::string(toString(kind)) + R"(","outcome":"not_run","detail":")" + error.message()
        + R"(","remedy":")" + std::string(remedyFor(kind)) + "\"}";
    m_busy = true;
    m_keepAlive = false;
    m_stream.expires_after(m_limits->readTimeout);
    enqueue(headText(response, false) + response.body, true);
}

void HttpSession::watchForClose()
{
    if (m_buffer.size() > 0) {
        return;
    }
    m_stream.socket().async_wait(boost::asio::ip::tcp::socket::wait_read,
                                 [self = shared_from_this()](const error_code &error) { self->onReadable(error); });
}

void HttpSession::onReadable(const error_code &error)
{
    if (error || !m_busy || m_closed) {
        return;
    }
    std::array<char, 1> byte {};
    error_code readError;
    m_stream.socket().non_blocking(true);
    const std::size_t received = m_stream.socket().receive(boost::asio::buffer(byte), boost::asio::socket_base::message_peek, readError);
    if (received == 0 && readError != boost::asio::error::would_block) {
        close();
    }
}

void HttpSession::enqueue(std::string bytes, bool last)
{
    if (m_closed) {
        return;
    }
    m_queuedBytes += bytes.size();
    m_outgoing.push_back(std::move(bytes));
    m_lastQueued = last;
    if (!m_writing) {
        writeNext();
    }
}

void HttpSession::writeNext()
{
    m_writing = true;
    boost::asio::async_write(m_stream,
                             boost::asio::buffer(m_outgoing.front()),
                             [self = shared_from_this()](const error_code &error, std::size_t bytes) { self->onWritten(error, bytes); });
}

void HttpSession::onWritten(const error_code &error, std::size_t bytes)
{
    m_writing = false;
    if (error || m_closed) {
        close();
        return;
    }
    m_queuedBytes -= bytes;
    m_outgoing.pop_front();
    if (!m_outgoing.empty()) {
        writeNext();
        return;
    }
    if (m_abortWhenDrained) {
        close();
        return;
    }
    if (m_lastQueued) {
        finishExchange();
        return;
    }
    if (m_drainedHandler) {
        m_drainedHandler();
    }
}

void HttpSession::finishExchange()
{
    m_busy = false;
    m_lastQueued = false;
    m_drainedHandler = nullptr;
    m_closedHandler = nullptr;
    if (!m_keepAlive) {
        close();
        return;
    }
    m_stream.socket().cancel();
    waitForRequest();
}

void HttpSession::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    error_code ignored;
    m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    m_stream.socket().close(ignored);
    m_drainedHandler = nullptr;
    const std::function<void()> handler = std::exchange(m_closedHandler, nullptr);
    if (m_busy && handler) {
        handler();
    }
}

std::string HttpSession::headText(const HttpResponse &response, bool chunked) const
{
    http::response<http::empty_body> head(static_cast<http::status>(response.status), 11);
    head.set(http::field::content_type, response.contentType);
    for (const HttpField &field : response.fields) {
        head.set(field.name, field.value);
    }
    head.keep_alive(m_keepAlive);
    if (chunked) {
        head.chunked(true);
    } else {
        head.content_length(response.body.size());
    }
    std::ostringstream text;
    text << head.base();
    return text.str();
}

} // namespace CassiaRelay::Net
