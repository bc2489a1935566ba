#include "sessionexchange.h"

#include <boost/asio/dispatch.hpp>

#include <sstream>

namespace CassiaRelay::Net {

namespace {

std::string chunkOf(const std::string &part)
{
    std::ostringstream text;
    text << std::hex << part.size() << "\r\n" << part << "\r\n";
    return text.str();
}

} // namespace

SessionExchange::SessionExchange(std::shared_ptr<HttpSession> session, HttpRequest request, MonotonicTime arrivedAt)
    : m_session(std::move(session))
    , m_request(std::move(request))
    , m_arrivedAt(arrivedAt)
{
}

MonotonicTime SessionExchange::arrivedAt() const
{
    return m_arrivedAt;
}

const HttpRequest &SessionExchange::request() const
{
    return m_request;
}

// A task of an earlier request must not write into the response of a later one.
template<typename Task>
void SessionExchange::run(Task task)
{
    boost::asio::dispatch(m_session->m_stream.socket().get_executor(), [self = shared_from_this(), task = std::move(task)]() mutable {
        if (self->m_session->isCurrent(self.get())) {
            task(*self->m_session);
        }
    });
}

void SessionExchange::respond(HttpResponse response)
{
    m_queuedBytes += response.body.size();
    run([this, response = std::move(response)](HttpSession &session) {
        std::string text = session.wholeText(response);
        m_queuedBytes += text.size() - response.body.size();
        session.enqueueLast(std::move(text));
    });
}

void SessionExchange::startStream(HttpResponse head)
{
    run([this, head = std::move(head)](HttpSession &session) {
        std::string text = session.headText(head, true);
        m_queuedBytes += text.size();
        session.enqueue(std::move(text));
    });
}

void SessionExchange::writeStream(std::string part)
{
    if (part.empty()) {
        return;
    }
    std::string chunk = chunkOf(part);
    m_queuedBytes += chunk.size();
    run([chunk = std::move(chunk)](HttpSession &session) mutable { session.enqueue(std::move(chunk)); });
}

void SessionExchange::finishStream()
{
    std::string chunk = "0\r\n\r\n";
    m_queuedBytes += chunk.size();
    run([chunk = std::move(chunk)](HttpSession &session) mutable { session.enqueueLast(std::move(chunk)); });
}

void SessionExchange::abortAfterQueued()
{
    run([](HttpSession &session) { session.abortAfterQueued(); });
}

std::size_t SessionExchange::queuedBytes() const
{
    return m_queuedBytes.load();
}

void SessionExchange::onDrained(std::function<void()> handler)
{
    m_drainedHandler = std::move(handler);
}

void SessionExchange::onClosed(std::function<void()> handler)
{
    m_closedHandler = std::move(handler);
}

void SessionExchange::onWritten(std::size_t bytes)
{
    m_queuedBytes -= bytes;
}

void SessionExchange::notifyDrained()
{
    if (m_drainedHandler) {
        m_drainedHandler();
    }
}

void SessionExchange::release()
{
    m_drainedHandler = nullptr;
    m_closedHandler = nullptr;
}

void SessionExchange::notifyClosed()
{
    if (m_closedHandler) {
        m_closedHandler();
    }
}

} // namespace CassiaRelay::Net
