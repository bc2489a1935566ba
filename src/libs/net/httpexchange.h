#pragma once

#include <boost/beast/http.hpp>
#include <common/common.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace CassiaRelay::Net {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/** A whole response. */
struct HttpResponse {
    unsigned status = 200;
    std::string contentType = "application/json"; ///< empty: the fields hold it
    std::string body;
    std::vector<HttpField> fields;
};

/** One request on a server connection, and the way to answer it. Safe from any thread. */
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest &request() const = 0;
    /** When the first byte of the request was read. */
    virtual MonotonicTime arrivedAt() const = 0;
    /** Sends a whole response. */
    virtual void respond(HttpResponse response) = 0;
    /** Sends the header of a response whose body follows in parts. */
    virtual void startStream(HttpResponse head) = 0;
    virtual void writeStream(std::string part) = 0;
    /** Ends the body well. */
    virtual void finishStream() = 0;
    /** Sends what is queued and cuts the connection, so that the caller sees that the body is not whole. */
    virtual void abortAfterQueued() = 0;
    /** Bytes handed over but not yet taken by the caller's connection. */
    virtual std::size_t queuedBytes() const = 0;
    /** Called each time all queued bytes have been taken. Set before the first write. */
    virtual void onDrained(std::function<void()> handler) = 0;
    /** Called once when the caller closes the connection before the response is whole. */
    virtual void onClosed(std::function<void()> handler) = 0;
};

using HttpExchangePointer = std::shared_ptr<HttpExchange>;
using HttpHandler = std::function<void(HttpExchangePointer)>;

} // namespace CassiaRelay::Net
