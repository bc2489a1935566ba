#pragma once

#include "httpexchange.h"

#include <boost/asio/io_context.hpp>
#include <common/common.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace CassiaRelay::Net {

/** A request to a server at an IP number. */
struct HttpCallRequest {
    std::string address;
    std::uint16_t port = 0;
    std::string method = "GET";
    std::string path;
    std::vector<HttpField> fields;
    std::string body;
    MonotonicTime deadline = MonotonicTime::max();
    /** The first byte leaves before this time or not at all. */
    MonotonicTime sendBefore = MonotonicTime::max();
    /** False opens a new connection, so that a failed connect proves that nothing was sent. */
    bool reuseConnection = true;
};

/** Why a call ended without a whole response. */
enum class CallFailure {
    NotSent, ///< no byte of the request has left
    ConnectionLost,
    TimedOut,
    Malformed, ///< not HTTP, or the response to another request
};

/** Head of a response. */
struct HttpCallHead {
    unsigned status = 0;
    boost::beast::http::fields fields;
};

/** Called on the strand of the call; none is called after onFinished, onFailed or cancel. */
struct HttpCallHandlers {
    std::function<void(const HttpCallHead &)> onHead;
    std::function<void(std::string)> onBody;
    std::function<void()> onFinished;
    std::function<void(CallFailure, const std::string &)> onFailed;
};

/** A call under way. Safe from any thread. */
class HttpCall
{
public:
    virtual ~HttpCall() = default;

    /** Closes the connection; no handler is called any more. */
    virtual void cancel() = 0;
    /** Stops reading, so that the server is slowed down. */
    virtual void pause() = 0;
    virtual void resume() = 0;
};

/** Makes HTTP calls over kept-alive connections. Safe from any thread. */
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &context);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    std::shared_ptr<HttpCall> send(HttpCallRequest request, HttpCallHandlers handlers);

private:
    class Pool;

    boost::asio::io_context &m_context;
    std::shared_ptr<Pool> m_pool;

    friend class ClientCall;
};

} // namespace CassiaRelay::Net
