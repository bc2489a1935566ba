#pragma once

#include "httpsession.h"

#include <atomic>

namespace CassiaRelay::Net {

/** One request of a session; does nothing any more once its response is whole or the connection is closed. */
class SessionExchange : public HttpExchange, public std::enable_shared_from_this<SessionExchange>
{
public:
    SessionExchange(std::shared_ptr<HttpSession> session, HttpRequest request, MonotonicTime arrivedAt);

    const HttpRequest &request() const override;
    MonotonicTime arrivedAt() const override;
    void respond(HttpResponse response) override;
    void startStream(HttpResponse head) override;
    void writeStream(std::string part) override;
    void finishStream() override;
    void abortAfterQueued() override;
    std::size_t queuedBytes() const override;
    void onDrained(std::function<void()> handler) override;
    void onClosed(std::function<void()> handler) override;

    /** The connection has taken bytes of this response. */
    void onWritten(std::size_t bytes);
    void notifyDrained();
    void notifyClosed();
    /** Drops the handlers and whatever they keep alive. */
    void release();

private:
    template<typename Task>
    void run(Task task);

    std::shared_ptr<HttpSession> m_session;
    HttpRequest m_request;
    MonotonicTime m_arrivedAt;
    std::atomic<std::size_t> m_queuedBytes { 0 };
    std::function<void()> m_drainedHandler;
    std::function<void()> m_closedHandler;
};

} // namespace CassiaRelay::Net
