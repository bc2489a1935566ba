#pragma once

#include "httpexchange.h"

#include <boost/asio/io_context.hpp>
#include <common/common.h>

#include <functional>
#include <limits>
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
    /** Called just before the first byte leaves, which may be long after the call was made; false keeps the request here. Empty: true. */
    std::function<bool()> mayLeave;
    /** False opens a new connection, so that a failed connect proves that nothing was sent. */
    bool reuseConnection = true;
    /** A longer response fails the call as malformed. */
    std::uint64_t maxBodyBytes = 32U * 1024 * 1024;
    /** The connection is closed after the call when this many to the server are idle; the limit of the client applies as well. */
    std::size_t maxIdleConnections = std::numeric_limits<std::size_t>::max();
    /** Empty when the fields hold one, or there is no body. */
    std::string contentType = "application/json";
    /** Servers that echo this field show which request they answer. */
    std::string requestIdField = "X-Request-Id";
    /** Whether a server that has named an id on the connection names one in each response; a response without one then fails the call. */
    bool expectsId = false;
    Duration connectTimeout = std::chrono::seconds(2);
};

/** How the connections of a client are kept. */
struct HttpClientLimits {
    std::size_t maxIdlePerServer = 64;
    /** A connection that has been idle for longer is not used again; servers that state a shorter time are believed. */
    Duration maxIdleTime = std::chrono::seconds(30);
    /** Time after which unacknowledged bytes or keep-alive probes end a connection; zero leaves that to the system. */
    std::chrono::milliseconds silenceLimit { 0 };
};

/** Why a call ended without a whole response. */
enum class CallFailure {
    NotSent,  ///< no byte of the request has left
    Withheld, ///< HttpCallRequest::mayLeave returned false; no byte of the request has left
    Refused,  ///< nothing listens at the address; no byte of the request has left
    ConnectionLost,
    Unresponsive, ///< nothing came from the server, not even acknowledgements
    TimedOut,
    Malformed, ///< not HTTP, or the response to another request
};

/** Head of a response. */
struct HttpCallHead {
    unsigned status = 0;
    boost::beast::http::fields fields;
    bool hasOpenEnd = false; ///< the body has neither a length nor chunks and ends with the connection
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
    explicit HttpClient(boost::asio::io_context &context, HttpClientLimits limits = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    std::shared_ptr<HttpCall> send(HttpCallRequest request, HttpCallHandlers handlers);
    /** Closes idle connections that will not be used again. */
    void closeExpired();
    /** Connections opened so far. */
    std::uint64_t connectionsOpened() const;

private:
    class Pool;

    boost::asio::io_context &m_context;
    std::shared_ptr<Pool> m_pool;

    friend class ClientCall;
};

} // namespace CassiaRelay::Net
