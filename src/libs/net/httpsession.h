#pragma once

#include "httpserver.h"
#include "serverstream.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <deque>
#include <optional>

namespace CassiaRelay::Net {

class SessionExchange;

/** One server connection; runs its requests one after the other. Its state is only touched on its strand. */
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(ServerStream stream, std::shared_ptr<HttpServerState> state);
    ~HttpSession();
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    void start();
    /** Answers the first request with 503, whatever it is. */
    void startRefusing();
    /** Closes the connection as soon as it is idle. From any thread. */
    void drain();

private:
    friend class SessionExchange;

    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    enum class Phase {
        Handshake,
        Idle, ///< between requests
        Reading,
        Answering,
        Lingering, ///< nothing more will be written; what still arrives is discarded
        Closed,
    };

    template<typename Task>
    void run(Task task);
    void waitForRequest();
    void readMore();
    void onRead(const boost::system::error_code &error, std::size_t bytes);
    void onReadFailed(const boost::system::error_code &error);
    void beginReading();
    void parse();
    void handleRequest();
    void refuse(ErrorKind kind, unsigned status, const std::string &detail);
    void refuseUnreadable(const boost::system::error_code &error);

    bool isCurrent(const SessionExchange *exchange) const;
    void enqueue(std::string bytes);
    void enqueueLast(std::string bytes);
    void abortAfterQueued();
    void writeNext();
    void onWritten(const boost::system::error_code &error, std::size_t bytes);
    void onAllWritten();
    std::string headText(const HttpResponse &response, bool chunked);
    std::string wholeText(const HttpResponse &response);

    void expireAfter(Duration duration);
    void neverExpire();
    void waitForTimer();
    void onExpired();
    void linger();
    void close();

    ServerStream m_stream;
    std::shared_ptr<HttpServerState> m_state;
    boost::asio::steady_timer m_timer;
    MonotonicTime m_requestBegan; ///< first byte of the request that is being read
    MonotonicTime m_expiry = MonotonicTime::max();
    bool m_timerRuns = false;
    Phase m_phase = Phase::Handshake;
    boost::beast::flat_buffer m_buffer; ///< received and not yet parsed
    std::array<char, 1> m_firstByte {}; ///< an idle connection holds no larger buffer
    std::vector<char> m_chunk;
    bool m_reading = false;
    std::optional<Parser> m_parser;
    std::shared_ptr<SessionExchange> m_exchange; ///< the request being answered
    std::deque<std::string> m_outgoing;
    std::size_t m_outgoingBytes = 0;
    std::size_t m_written = 0; ///< of the first outgoing part
    bool m_writing = false;
    bool m_lastQueued = false;
    bool m_keepAlive = true;
    bool m_refusing = false;
};

} // namespace CassiaRelay::Net
