#pragma once

#include "httpserver.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <optional>

namespace CassiaRelay::Net {

/** One server connection; runs its requests one after the other. */
class HttpSession : public HttpExchange, public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(boost::asio::ip::tcp::socket socket,
                std::shared_ptr<const HttpLimits> limits,
                std::shared_ptr<const HttpHandler> handler,
                std::shared_ptr<std::atomic<std::size_t>> connections);
    ~HttpSession() override;
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    void start();

    const HttpRequest &request() const override;
    void respond(HttpResponse response) override;
    void startStream(HttpResponse head) override;
    void writeStream(std::string part) override;
    void finishStream() override;
    void abortAfterQueued() override;
    std::size_t queuedBytes() const override;
    void onDrained(std::function<void()> handler) override;
    void onClosed(std::function<void()> handler) override;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void waitForRequest();
    void readRequest();
    void onRequest(const boost::system::error_code &error);
    void refuseRequest(const boost::system::error_code &error);
    void watchForClose();
    void onReadable(const boost::system::error_code &error);
    void enqueue(std::string bytes, bool last);
    void writeNext();
    void onWritten(const boost::system::error_code &error, std::size_t bytes);
    void finishExchange();
    void close();
    std::string headText(const HttpResponse &response, bool chunked) const;

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::shared_ptr<const HttpLimits> m_limits;
    std::shared_ptr<const HttpHandler> m_handler;
    std::shared_ptr<std::atomic<std::size_t>> m_connections;
    std::optional<Parser> m_parser;
    HttpRequest m_request;
    std::deque<std::string> m_outgoing;
    std::atomic<std::size_t> m_queuedBytes { 0 };
    std::function<void()> m_drainedHandler;
    std::function<void()> m_closedHandler;
    bool m_busy = false; ///< a request is being answered
    bool m_writing = false;
    bool m_lastQueued = false;
    bool m_keepAlive = true;
    bool m_abortWhenDrained = false;
    bool m_closed = false;
};

} // namespace CassiaRelay::Net
