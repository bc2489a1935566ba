#include "httpsession.h"

#include "httpserverstate.h"
#include "messagechecks.h"
#include "problemdocument.h"
#include "sessionexchange.h"

#include <boost/asio/dispatch.hpp>

#include <sstream>

namespace CassiaRelay::Net {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t READ_CHUNK_BYTES = 8192;
constexpr std::size_t MAX_READ_AHEAD_BYTES = 16 * 1024;
constexpr std::size_t MAX_QUEUED_BYTES = 64 * 1024 * 1024;
constexpr std::chrono::milliseconds LINGER_TIMEOUT { 1000 };
constexpr unsigned STATUS_REQUEST_TIMEOUT = 408;
constexpr unsigned STATUS_HEADER_TOO_LARGE = 431;

} // namespace

HttpSession::HttpSession(ServerStream stream, std::shared_ptr<HttpServerState> state)
    : m_stream(std::move(stream))
    , m_state(std::move(state))
    , m_timer(m_stream.socket().get_executor())
{
    ++m_state->connections;
    error_code ignored;
    m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

HttpSession::~HttpSession()
{
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->sessions.erase(this);
    }
    --m_state->connections;
}

template<typename Task>
void HttpSession::run(Task task)
{
    boost::asio::dispatch(m_stream.socket().get_executor(), [self = shared_from_this(), task = std::move(task)] { task(*self); });
}

void HttpSession::start()
{
    run([](HttpSession &session) {
        session.expireAfter(session.m_state->limits.load()->readTimeout);
        session.m_stream.handshake([self = session.shared_from_this()](const error_code &error) {
            if (error || self->m_phase == Phase::Closed) {
                self->close();
                return;
            }
            self->waitForRequest();
        });
    });
}

void HttpSession::startRefusing()
{
    m_refusing = true;
    start();
}

void HttpSession::drain()
{
    run([](HttpSession &session) {
        if (session.m_phase == Phase::Idle) {
            session.expireAfter(session.m_state->limits.load()->drainIdleTimeout);
        }
    });
}

void HttpSession::waitForRequest()
{
    m_phase = Phase::Idle;
    if (m_refusing) {
        refuse(ErrorKind::Overloaded, httpStatus(ErrorKind::Overloaded), "this VM has too many connections");
        return;
    }
    if (m_buffer.size() > 0) {
        beginReading();
        parse();
        return;
    }
    m_buffer = {};
    if (!m_reading) {
        m_chunk = {};
    }
    const auto limits = m_state->limits.load();
    expireAfter(m_state->draining ? limits->drainIdleTimeout : limits->idleTimeout);
    readMore();
}

// One read is always outstanding, also while a request is answered, so that a disconnect is seen at once.
void HttpSession::readMore()
{
    if (m_reading || m_phase == Phase::Closed) {
        return;
    }
    if (m_phase == Phase::Answering && m_buffer.size() >= MAX_READ_AHEAD_BYTES) {
        return;
    }
    m_reading = true;
    const auto handler = [self = shared_from_this()](const error_code &error, std::size_t bytes) { self->onRead(error, bytes); };
    if (m_buffer.size() == 0 && (m_phase == Phase::Idle || m_phase == Phase::Answering)) {
        m_chunk = {};
        m_stream.readSome(boost::asio::buffer(m_firstByte), handler);
        return;
    }
    m_chunk.resize(READ_CHUNK_BYTES);
    m_stream.readSome(boost::asio::buffer(m_chunk), handler);
}

void HttpSession::onRead(const error_code &error, std::size_t bytes)
{
    m_reading = false;
    if (m_phase == Phase::Closed) {
        return;
    }
    if (error) {
        onReadFailed(error);
        return;
    }
    if (m_phase != Phase::Lingering) {
        const char *data = m_chunk.empty() ? m_firstByte.data() : m_chunk.data();
        boost::asio::buffer_copy(m_buffer.prepare(bytes), boost::asio::buffer(data, bytes));
        m_buffer.commit(bytes);
    }
    if (m_phase == Phase::Idle) {
        beginReading();
    }
    if (m_phase == Phase::Reading) {
        parse();
        return;
    }
    readMore();
}

// A caller that closes its sending side has hung up: an open half cannot be told from a vanished caller.
void HttpSession::onReadFailed(const error_code &error)
{
    if (m_phase == Phase::Reading && error == boost::asio::error::eof) {
        refuse(ErrorKind::BadRequest, httpStatus(ErrorKind::BadRequest), "the request ended before it was whole");
        return;
    }
    close();
}

void HttpSession::beginReading()
{
    m_phase = Phase::Reading;
    m_requestBegan = std::chrono::steady_clock::now();
    const auto limits = m_state->limits.load();
    expireAfter(std::min(limits->headerTimeout, limits->readTimeout));
}

void HttpSession::parse()
{
    if (!m_parser) {
        m_parser.emplace();
        m_parser->eager(true);
        m_parser->body_limit(m_state->limits.load()->maxBodyBytes);
        m_parser->header_limit(static_cast<std::uint32_t>(m_state->limits.load()->maxHeaderBytes));
    }
    const bool hadHeader = m_parser->is_header_done();
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        error_code error;
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
        if (error == http::error::need_more) {
            break;
        }
        if (error) {
            refuseUnreadable(error);
            return;
        }
    }
    if (m_parser->is_header_done() && !hadHeader) {
        // What follows could be read as the body by one and as another request by the next.
        if (const std::optional<std::string> flaw = framingFlaw(m_parser->get().base(), m_parser->get().version())) {
            refuse(ErrorKind::BadRequest, httpStatus(ErrorKind::BadRequest), *flaw);
            return;
        }
    }
    if (m_parser->is_done()) {
        handleRequest();
    } else if (!hadHeader && m_parser->is_header_done()) {
        const Duration elapsed = std::chrono::steady_clock::now() - m_requestBegan;
        expireAfter(m_state->limits.load()->readTimeout - elapsed);
    }
    readMore();
}

void HttpSession::handleRequest()
{
    neverExpire();
    m_phase = Phase::Answering;
    m_lastQueued = false;
    m_exchange = std::make_shared<SessionExchange>(shared_from_this(), m_parser->release(), m_requestBegan);
    m_parser.reset();
    m_keepAlive = m_exchange->request().keep_alive();
    const std::shared_ptr<SessionExchange> exchange = m_exchange;
    try {
        m_state->handler(exchange);
    } catch (const std::exception &) {
        exchange->respond(problemResponse({ ErrorKind::Internal, Outcome::Unknown, "the request could not be handled", std::nullopt }, {}));
    }
}

void HttpSession::refuseUnreadable(const error_code &error)
{
    if (error == http::error::body_limit) {
        refuse(ErrorKind::PayloadTooLarge, httpStatus(ErrorKind::PayloadTooLarge), "the body is too long");
    } else if (error == http::error::header_limit) {
        refuse(ErrorKind::PayloadTooLarge, STATUS_HEADER_TOO_LARGE, "the header is too long");
    } else {
        refuse(ErrorKind::BadRequest, httpStatus(ErrorKind::BadRequest), error.message());
    }
}

void HttpSession::refuse(ErrorKind kind, unsigned status, const std::string &detail)
{
    m_phase = Phase::Answering;
    m_keepAlive = false;
    HttpResponse response = problemResponse({ kind, Outcome::NotRun, detail, std::nullopt }, {});
    response.status = status;
    enqueueLast(wholeText(response));
}

bool HttpSession::isCurrent(const SessionExchange *exchange) const
{
    return m_exchange.get() == exchange && m_phase == Phase::Answering && !m_lastQueued;
}

void HttpSession::enqueue(std::string bytes)
{
    m_outgoingBytes += bytes.size();
    m_outgoing.push_back(std::move(bytes));
    if (m_outgoingBytes > MAX_QUEUED_BYTES) {
        close();
        return;
    }
    if (!m_writing) {
        expireAfter(m_state->limits.load()->stalledReaderTimeout);
        writeNext();
    }
}

void HttpSession::enqueueLast(std::string bytes)
{
    m_lastQueued = true;
    enqueue(std::move(bytes));
}

void HttpSession::abortAfterQueued()
{
    m_keepAlive = false;
    m_lastQueued = true;
    if (!m_writing) {
        onAllWritten();
    }
}

void HttpSession::writeNext()
{
    m_writing = true;
    const std::string &first = m_outgoing.front();
    m_stream.writeSome(boost::asio::buffer(first.data() + m_written, first.size() - m_written),
                       [self = shared_from_this()](const error_code &error, std::size_t bytes) { self->onWritten(error, bytes); });
}

void HttpSession::onWritten(const error_code &error, std::size_t bytes)
{
    m_writing = false;
    if (error || m_phase == Phase::Closed) {
        close();
        return;
    }
    m_written += bytes;
    m_outgoingBytes -= bytes;
    if (m_exchange) {
        m_exchange->onWritten(bytes);
    }
    if (m_written == m_outgoing.front().size()) {
        m_outgoing.pop_front();
        m_written = 0;
    }
    if (m_outgoing.empty()) {
        onAllWritten();
        return;
    }
    expireAfter(m_state->limits.load()->stalledReaderTimeout);
    writeNext();
}

void HttpSession::onAllWritten()
{
    neverExpire();
    if (!m_lastQueued) {
        m_exchange->notifyDrained();
        return;
    }
    if (m_exchange) {
        m_exchange->release();
        m_exchange = nullptr;
    }
    // Also while draining: the head has promised that the connection stays, so that the next request may be on its way.
    if (m_keepAlive) {
        waitForRequest();
        return;
    }
    linger();
}

std::string HttpSession::headText(const HttpResponse &response, bool chunked)
{
    if (m_state->draining) {
        m_keepAlive = false;
    }
    http::response<http::empty_body> head;
    head.version(11);
    head.result(response.status);
    if (!response.contentType.empty()) {
        head.set(http::field::content_type, response.contentType);
    }
    for (const HttpField &field : response.fields) {
        head.insert(field.name, field.value);
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

std::string HttpSession::wholeText(const HttpResponse &response)
{
    const bool bodyless = m_exchange && m_exchange->request().method() == http::verb::head;
    return headText(response, false) + (bodyless ? std::string() : response.body);
}

void HttpSession::expireAfter(Duration duration)
{
    m_expiry = std::chrono::steady_clock::now() + duration;
    if (!m_timerRuns || m_timer.expiry() > m_expiry) {
        waitForTimer();
    }
}

void HttpSession::neverExpire()
{
    m_expiry = MonotonicTime::max();
}

// The timer is moved only when it is due: most expiries are replaced long before.
void HttpSession::waitForTimer()
{
    m_timerRuns = true;
    m_timer.expires_at(m_expiry);
    m_timer.async_wait([weak = weak_from_this()](const error_code &error) {
        const auto self = weak.lock();
        if (error || !self) {
            return;
        }
        self->m_timerRuns = false;
        self->onExpired();
    });
}

void HttpSession::onExpired()
{
    if (m_phase == Phase::Closed || m_expiry == MonotonicTime::max()) {
        return;
    }
    if (std::chrono::steady_clock::now() < m_expiry) {
        waitForTimer();
        return;
    }
    if (m_phase == Phase::Reading) {
        refuse(ErrorKind::BadRequest, STATUS_REQUEST_TIMEOUT, "the request was not whole in time");
        return;
    }
    close();
}

// Closing while bytes of the caller are unread resets the connection, and the caller would lose its response.
void HttpSession::linger()
{
    m_phase = Phase::Lingering;
    m_buffer = {};
    expireAfter(LINGER_TIMEOUT);
    m_stream.finishWriting([self = shared_from_this()](const error_code &) {});
    readMore();
}

void HttpSession::close()
{
    if (std::exchange(m_phase, Phase::Closed) == Phase::Closed) {
        return;
    }
    error_code ignored;
    m_timer.cancel();
    m_stream.socket().close(ignored);
    const std::shared_ptr<SessionExchange> exchange = std::exchange(m_exchange, nullptr);
    if (!exchange) {
        return;
    }
    if (!m_lastQueued) {
        exchange->notifyClosed();
    }
    exchange->release();
}

} // namespace CassiaRelay::Net
