#include "httpclient.h"

#include "messagechecks.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <map>
#include <mutex>
#include <optional>

namespace CassiaRelay::Net {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr unsigned MIN_FINAL_STATUS = 200;
constexpr std::size_t READ_BUFFER_BYTES = 8192;
constexpr std::size_t MIN_READ_BYTES = 512;
constexpr std::size_t MAX_READ_BYTES = 64 * 1024;
constexpr std::size_t MAX_HEAD_BYTES = 64 * 1024;
constexpr std::size_t MAX_BUFFERED_BYTES = 2 * MAX_HEAD_BYTES; // the extension of a chunk and the trailer, which have no limit of their own
constexpr int MAX_FOREIGN_RESPONSES = 4;                       // a connection that is further out of step is not worth reading on
constexpr int MAX_INTERIM_RESPONSES = 8;
constexpr std::chrono::milliseconds IDLE_SAFETY { 500 }; // a connection is not used so shortly before the server closes it

using Stream = boost::beast::tcp_stream;

/** An idle connection and when it stops being usable. */
struct IdleConnection {
    std::unique_ptr<Stream> stream;
    MonotonicTime usableUntil;
    bool echoesIds = false; ///< a response on it has named its request
};

// The "timeout=" parameter of a Keep-Alive field, in whole seconds.
std::optional<std::chrono::seconds> statedIdleTime(const http::fields &fields)
{
    constexpr std::string_view PARAMETER = "timeout=";
    const auto field = fields.find(http::field::keep_alive);
    if (field == fields.end()) {
        return std::nullopt;
    }
    const std::string value(field->value());
    const std::size_t start = value.find(PARAMETER);
    if (start == std::string::npos) {
        return std::nullopt;
    }
    return std::chrono::seconds(std::strtol(value.c_str() + start + PARAMETER.size(), nullptr, 10));
}

void limitSilence(tcp::socket &socket, std::chrono::milliseconds limit)
{
    if (limit.count() == 0) {
        return;
    }
    constexpr int PROBES = 2;
    const int handle = socket.native_handle();
    const int milliseconds = static_cast<int>(limit.count());
    const int seconds = std::max(1, milliseconds / 1000 / PROBES);
    const int enabled = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
    ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &PROBES, sizeof PROBES);
}

} // namespace

/** Idle connections by server. */
class HttpClient::Pool
{
public:
    explicit Pool(HttpClientLimits limits)
        : m_limits(limits)
    {
    }

    const HttpClientLimits &limits() const
    {
        return m_limits;
    }

    /** Takes an idle connection; its stream is empty if there is none. */
    IdleConnection take(const std::string &server)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<IdleConnection> &idle = m_idle[server];
        const MonotonicTime now = std::chrono::steady_clock::now();
        while (!idle.empty()) {
            IdleConnection connection = std::move(idle.back());
            idle.pop_back();
            if (connection.usableUntil > now && isUsable(*connection.stream)) {
                return connection;
            }
        }
        return {};
    }

    void giveBack(const std::string &server,
                  std::unique_ptr<Stream> stream,
                  bool echoesIds,
                  std::optional<std::chrono::seconds> stated,
                  std::size_t maxIdleConnections)
    {
        const Duration usable = stated ? std::min<Duration>(*stated - IDLE_SAFETY, m_limits.maxIdleTime) : m_limits.maxIdleTime;
        const std::lock_guard lock(m_mutex);
        std::vector<IdleConnection> &idle = m_idle[server];
        if (usable > Duration::zero() && idle.size() < std::min(m_limits.maxIdlePerServer, maxIdleConnections)) {
            idle.push_back({ std::move(stream), std::chrono::steady_clock::now() + usable, echoesIds });
        }
    }

    void closeExpired()
    {
        const std::lock_guard lock(m_mutex);
        const MonotonicTime now = std::chrono::steady_clock::now();
        for (auto server = m_idle.begin(); server != m_idle.end();) {
            std::vector<IdleConnection> &idle = server->second;
            const auto expired = [now](const IdleConnection &connection) {
                return connection.usableUntil <= now || !isUsable(*connection.stream);
            };
            idle.erase(std::remove_if(idle.begin(), idle.end(), expired), idle.end());
            server = idle.empty() ? m_idle.erase(server) : std::next(server);
        }
    }

    void noteOpened()
    {
        ++m_opened;
    }

    std::uint64_t opened() const
    {
        return m_opened;
    }

private:
    // An idle connection on which something can be read was closed by the server, or is out of step.
    static bool isUsable(Stream &stream)
    {
        std::array<char, 1> byte {};
        error_code error;
        stream.socket().non_blocking(true, error);
        stream.socket().receive(boost::asio::buffer(byte), boost::asio::socket_base::message_peek, error);
        return error == boost::asio::error::would_block;
    }

    std::mutex m_mutex;
    HttpClientLimits m_limits;
    std::map<std::string, std::vector<IdleConnection>> m_idle;
    std::atomic<std::uint64_t> m_opened { 0 };
};

/** One call; lives until its response is whole, has failed or was cancelled. */
class ClientCall : public HttpCall, public std::enable_shared_from_this<ClientCall>
{
public:
    ClientCall(boost::asio::io_context &context, std::shared_ptr<HttpClient::Pool> pool, HttpCallRequest request, HttpCallHandlers handlers)
        : m_pool(std::move(pool))
        , m_request(std::move(request))
        , m_handlers(std::move(handlers))
        , m_server(m_request.address + ":" + std::to_string(m_request.port))
        , m_reused(m_request.reuseConnection ? m_pool->take(m_server) : IdleConnection {})
        , m_stream(std::move(m_reused.stream))
        , m_strand(m_stream ? m_stream->get_executor() : boost::asio::any_io_executor(boost::asio::make_strand(context)))
        , m_deadlineTimer(m_strand)
    {
    }

    void start()
    {
        boost::asio::dispatch(m_strand, [self = shared_from_this()] {
            self->waitForDeadline();
            self->connect();
        });
    }

    void cancel() override
    {
        boost::asio::dispatch(m_strand, [self = shared_from_this()] {
            self->m_done = true;
            self->m_handlers = {};
            self->m_deadlineTimer.cancel();
            self->closeStream();
        });
    }

    void pause() override
    {
        boost::asio::dispatch(m_strand, [self = shared_from_this()] { self->m_paused = true; });
    }

    void resume() override
    {
        boost::asio::dispatch(m_strand, [self = shared_from_this()] {
            if (!std::exchange(self->m_paused, false) || !std::exchange(self->m_readHeldBack, false)) {
                return;
            }
            self->readBody();
        });
    }

private:
    // The timer of the stream does not do: a paused call has no read outstanding that could time out.
    void waitForDeadline()
    {
        if (m_request.deadline == MonotonicTime::max()) {
            return;
        }
        m_deadlineTimer.expires_at(m_request.deadline);
        m_deadlineTimer.async_wait([weak = weak_from_this()](const error_code &error) {
            const auto self = weak.lock();
            if (!error && self) {
                self->fail(self->m_writing ? CallFailure::TimedOut : CallFailure::NotSent, self->m_server + " did not answer in time");
            }
        });
    }

    void connect()
    {
        if (m_done) {
            return;
        }
        if (m_stream) {
            write();
            return;
        }
        error_code error;
        const auto address = boost::asio::ip::make_address(m_request.address, error);
        if (error) {
            fail(CallFailure::NotSent, "'" + m_request.address + "' is not an IP number");
            return;
        }
        m_stream = std::make_unique<Stream>(m_strand);
        m_stream->expires_at(std::min(m_request.deadline, std::chrono::steady_clock::now() + m_request.connectTimeout));
        m_stream->async_connect(tcp::endpoint(address, m_request.port), [self = shared_from_this()](const error_code &result) {
            if (result) {
                const bool isRefused = result == boost::asio::error::connection_refused;
                self->fail(isRefused ? CallFailure::Refused : CallFailure::NotSent,
                           "cannot connect to " + self->m_server + ": " + result.message());
                return;
            }
            error_code ignored;
            self->m_stream->socket().set_option(tcp::no_delay(true), ignored);
            limitSilence(self->m_stream->socket(), self->m_pool->limits().silenceLimit);
            self->m_pool->noteOpened();
            self->write();
        });
    }

    void write()
    {
        if (m_done) {
            return;
        }
        if (const std::optional<std::string> flaw = requestFlaw(m_request)) {
            fail(CallFailure::NotSent, "the request can't be sent: " + *flaw);
            return;
        }
        try {
            composeMessage();
        } catch (const std::exception &error) {
            fail(CallFailure::NotSent, std::string("a field can't be sent: ") + error.what());
            return;
        }
        m_stream->expires_never();
        // Checked last: this thread may have been stopped for long since the call was made.
        if (std::chrono::steady_clock::now() >= std::min(m_request.deadline, m_request.sendBefore)) {
            fail(CallFailure::NotSent, "the time to send has passed");
            return;
        }
        if (m_request.mayLeave && !m_request.mayLeave()) {
            fail(CallFailure::Withheld, "the server may not get the request any more");
            return;
        }
        m_writing = true;
        http::async_write(*m_stream, m_message, [self = shared_from_this()](const error_code &error, std::size_t) {
            // A server may answer before it has read the whole request and then close: its answer decides.
            self->m_written = !error;
        });
        readHead();
    }

    void composeMessage()
    {
        m_message.method_string(m_request.method);
        m_message.target(m_request.path);
        for (const HttpField &field : m_request.fields) {
            m_message.insert(field.name, field.value);
        }
        if (m_message.count(http::field::host) == 0) {
            m_message.set(http::field::host, m_server);
        }
        if (!m_request.contentType.empty() && m_message.count(http::field::content_type) == 0) {
            m_message.set(http::field::content_type, m_request.contentType);
        }
        m_message.body() = std::move(m_request.body);
        m_message.prepare_payload();
    }

    void readHead()
    {
        m_parser.emplace();
        m_parser->skip(m_request.method == "HEAD");
        m_parser->header_limit(MAX_HEAD_BYTES);
        m_parser->body_limit(m_request.maxBodyBytes);
        http::async_read_header(*m_stream, m_buffer, *m_parser, [self = shared_from_this()](const error_code &error, std::size_t) {
            if (error) {
                self->failWith(error);
                return;
            }
            self->onHead();
        });
    }

    void onHead()
    {
        if (m_done) {
            return;
        }
        const auto &response = m_parser->get();
        if (const std::optional<std::string> flaw = responseFlaw(response.result_int(), response.base(), response.version())) {
            fail(CallFailure::Malformed, m_server + " sent a response that is none: " + *flaw);
            return;
        }
        if (response.result_int() < MIN_FINAL_STATUS) {
            if (++m_interimResponses > MAX_INTERIM_RESPONSES) {
                fail(CallFailure::Malformed, m_server + " sent only interim responses");
                return;
            }
            readHead();
            return;
        }
        if (lacksId(response)) {
            fail(CallFailure::Malformed, m_server + " sent a response that names no request");
            return;
        }
        if (!isOurs(response)) {
            m_isForeign = true;
            readBody();
            return;
        }
        if (m_handlers.onHead) {
            m_handlers.onHead({ response.result_int(), response.base(), m_parser->need_eof() });
        }
        readBody();
    }

    // Servers that echo the id of the request show which one they answer.
    bool isOurs(const http::response<http::buffer_body> &response) const
    {
        const auto sent = m_message.find(m_request.requestIdField);
        const auto echoed = response.find(m_request.requestIdField);
        return sent == m_message.end() || echoed == response.end() || sent->value() == echoed->value();
    }

    // It may be a late copy of an earlier response.
    bool lacksId(const http::response<http::buffer_body> &response) const
    {
        return m_request.expectsId && m_reused.echoesIds && response.count(m_request.requestIdField) == 0;
    }

    bool echoesIds() const
    {
        return m_reused.echoesIds || m_parser->get().count(m_request.requestIdField) > 0;
    }

    void readBody()
    {
        if (m_done) {
            return;
        }
        if (m_parser->is_done()) {
            finish();
            return;
        }
        if (!parseReceived()) {
            return;
        }
        if (m_parser->is_done()) {
            finish();
            return;
        }
        if (m_paused) {
            m_readHeldBack = true;
            return;
        }
        reserveBuffer();
        m_parser->get().body().data = m_chunk.data();
        m_parser->get().body().size = m_chunk.size();
        http::async_read_some(*m_stream, m_buffer, *m_parser, [self = shared_from_this()](error_code error, std::size_t) {
            if (error == http::error::need_buffer) {
                error = {};
            }
            if (error) {
                self->failWith(error);
                return;
            }
            self->onBody();
        });
    }

    void onBody()
    {
        if (m_done) {
            return;
        }
        deliverChunk();
        readBody();
    }

    void deliverChunk()
    {
        const std::size_t size = m_chunk.size() - m_parser->get().body().size;
        if (size > 0 && m_handlers.onBody && !m_isForeign) {
            m_handlers.onBody(std::string(m_chunk.data(), size));
        }
    }

    // One read fills at most the capacity, which is 512 bytes at first.
    void reserveBuffer()
    {
        const boost::optional<std::uint64_t> remaining = m_parser->content_length_remaining();
        const std::uint64_t expected = remaining ? *remaining : READ_BUFFER_BYTES;
        m_buffer.reserve(static_cast<std::size_t>(std::clamp<std::uint64_t>(expected, MIN_READ_BYTES, MAX_READ_BYTES)));
    }

    // Parses what has been received without a turn of the event loop for each part: on a busy one, a long response would take seconds.
    // Returns false if the call has ended.
    bool parseReceived()
    {
        while (m_buffer.size() > 0 && !m_parser->is_done() && !m_paused) {
            m_parser->get().body().data = m_chunk.data();
            m_parser->get().body().size = m_chunk.size();
            error_code error;
            const std::size_t parsed = m_parser->put(m_buffer.data(), error);
            m_buffer.consume(parsed);
            if (error && error != http::error::need_buffer && error != http::error::need_more) {
                failWith(error);
                return false;
            }
            deliverChunk();
            if (m_done) {
                return false;
            }
            if (parsed == 0) {
                break;
            }
        }
        return true;
    }

    // The late second response to an earlier request; ours follows on the same connection, or its end.
    void skipForeignResponse()
    {
        if (m_parser->get().keep_alive() && ++m_foreignResponses <= MAX_FOREIGN_RESPONSES) {
            m_isForeign = false;
            readHead();
            return;
        }
        fail(CallFailure::Malformed, m_server + " sent the response to another request");
    }

    void finish()
    {
        if (m_isForeign) {
            skipForeignResponse();
            return;
        }
        // When a reset fails the upload, the read after it only sees the end of the connection.
        if (m_parser->need_eof() && !m_written) {
            fail(CallFailure::ConnectionLost, m_server + " ended a response without length before it had read the request");
            return;
        }
        m_done = true;
        m_deadlineTimer.cancel();
        // Bytes after the response belong to none, and those of an unread request to the next: the connection is out of step.
        if (m_parser->get().keep_alive() && m_buffer.size() == 0 && m_written) {
            m_pool->giveBack(
                m_server, std::move(m_stream), echoesIds(), statedIdleTime(m_parser->get().base()), m_request.maxIdleConnections);
        } else {
            closeStream();
        }
        const HttpCallHandlers handlers = std::exchange(m_handlers, {});
        if (handlers.onFinished) {
            handlers.onFinished();
        }
    }

    void failWith(const error_code &error)
    {
        if (m_foreignResponses > 0) {
            fail(CallFailure::Malformed, m_server + " sent only the response to another request");
            return;
        }
        const bool malformed = error.category() == http::make_error_code(http::error::bad_version).category()
            && error != http::error::end_of_stream && error != http::error::partial_message;
        if (malformed) {
            fail(CallFailure::Malformed, m_server + " sent what is not HTTP: " + error.message());
            return;
        }
        const bool isUnresponsive = error == boost::asio::error::timed_out || error == boost::asio::error::host_unreachable
            || error == boost::asio::error::network_unreachable;
        fail(isUnresponsive ? CallFailure::Unresponsive : CallFailure::ConnectionLost,
             "connection to " + m_server + " lost: " + error.message());
    }

    void fail(CallFailure failure, const std::string &detail)
    {
        if (std::exchange(m_done, true)) {
            return;
        }
        m_deadlineTimer.cancel();
        closeStream();
        const HttpCallHandlers handlers = std::exchange(m_handlers, {});
        if (handlers.onFailed) {
            handlers.onFailed(failure, detail);
        }
    }

    void closeStream()
    {
        if (m_stream) {
            m_stream->close();
        }
    }

    std::shared_ptr<HttpClient::Pool> m_pool;
    HttpCallRequest m_request;
    HttpCallHandlers m_handlers;
    std::string m_server;
    IdleConnection m_reused; ///< its stream becomes that of the call
    std::unique_ptr<Stream> m_stream;
    boost::asio::any_io_executor m_strand; ///< a reused connection brings its own
    boost::asio::steady_timer m_deadlineTimer;
    boost::beast::flat_buffer m_buffer { MAX_BUFFERED_BYTES };
    http::request<http::string_body> m_message;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    std::array<char, READ_BUFFER_BYTES> m_chunk {};
    bool m_writing = false;   ///< a byte of the request may have left
    bool m_written = false;   ///< all of it has
    bool m_isForeign = false; ///< the response that is being read is to another request
    int m_foreignResponses = 0;
    int m_interimResponses = 0;
    bool m_paused = false;
    bool m_readHeldBack = false;
    bool m_done = false;
};

HttpClient::HttpClient(boost::asio::io_context &context, HttpClientLimits limits)
    : m_context(context)
    , m_pool(std::make_shared<Pool>(limits))
{
}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpCall> HttpClient::send(HttpCallRequest request, HttpCallHandlers handlers)
{
    auto call = std::make_shared<ClientCall>(m_context, m_pool, std::move(request), std::move(handlers));
    call->start();
    return call;
}

void HttpClient::closeExpired()
{
    m_pool->closeExpired();
}

std::uint64_t HttpClient::connectionsOpened() const
{
    return m_pool->opened();
}

} // namespace CassiaRelay::Net
