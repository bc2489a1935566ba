#pragma once

#include "httpserver.h"

#include <mutex>
#include <unordered_map>

namespace CassiaRelay::Net {

class HttpSession;

/** What the sessions of a server share; outlives the server until the last of them is gone. */
struct HttpServerState {
    Snapshot<HttpLimits> limits;
    HttpHandler handler;
    std::shared_ptr<boost::asio::ssl::context> tls;
    std::atomic<std::size_t> connections { 0 };
    std::atomic<bool> draining { false };
    std::mutex mutex;
    std::unordered_map<HttpSession *, std::weak_ptr<HttpSession>> sessions; ///< guarded by mutex
};

} // namespace CassiaRelay::Net
