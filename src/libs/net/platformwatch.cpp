#include "platformwatch.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace CassiaRelay::Net {

namespace {

constexpr std::chrono::milliseconds WATCH_WAIT { 25000 };
constexpr std::chrono::milliseconds ANSWER_ALLOWANCE { 5000 };
constexpr std::chrono::milliseconds FIRST_BACK_OFF { 100 };
constexpr std::chrono::milliseconds LONGEST_BACK_OFF { 2000 };
constexpr std::chrono::milliseconds SHORTEST_READ_INTERVAL { 100 };
constexpr unsigned STATUS_OK = 200;
constexpr unsigned STATUS_NOT_MODIFIED = 304;

} // namespace

PlatformWatch::PlatformWatch(boost::asio::io_context &context,
                             HttpClient &client,
                             Schema::Endpoint platform,
                             std::string key,
                             RandomSource::result_type seed,
                             DocumentHandler handler,
                             AnswerHandler answerHandler)
    : m_context(context)
    , m_client(client)
    , m_platform(std::move(platform))
    , m_key(std::move(key))
    , m_random(seed)
    , m_handler(std::move(handler))
    , m_answerHandler(std::move(answerHandler))
    , m_timer(context)
    , m_backOff(FIRST_BACK_OFF)
{
}

void PlatformWatch::start()
{
    read();
}

void PlatformWatch::stop()
{
    m_stopped = true;
    m_timer.cancel();
    if (m_call) {
        m_call->cancel();
    }
}

std::uint64_t PlatformWatch::reads() const
{
    return m_reads;
}

void PlatformWatch::read()
{
    if (m_stopped) {
        return;
    }
    ++m_reads;
    m_status = 0;
    m_body.clear();
    HttpCallRequest request;
    request.address = m_platform.address;
    request.port = static_cast<std::uint16_t>(m_platform.port);
    request.path = "/v1/kv/" + m_key;
    if (m_revision > 0) {
        request.path += "?watch=" + std::to_string(m_revision) + "&waitMs=" + std::to_string(WATCH_WAIT.count());
    }
    request.deadline = std::chrono::steady_clock::now() + WATCH_WAIT + ANSWER_ALLOWANCE;
    HttpCallHandlers handlers;
    handlers.onHead = [this](const HttpCallHead &head) {
        m_status = head.status;
        const auto revision = head.fields.find("Revision");
        m_answerRevision = revision == head.fields.end() ? 0 : std::strtoll(std::string(revision->value()).c_str(), nullptr, 10);
    };
    handlers.onBody = [this](const std::string &part) { m_body += part; };
    handlers.onFinished = [this] { boost::asio::post(m_context, [this] { onAnswer(); }); };
    handlers.onFailed = [this](CallFailure, const std::string &) { boost::asio::post(m_context, [this] { onFailure(); }); };
    m_call = m_client.send(std::move(request), std::move(handlers));
}

void PlatformWatch::onAnswer()
{
    if (m_stopped) {
        return;
    }
    if (m_status != STATUS_OK && m_status != STATUS_NOT_MODIFIED) {
        onFailure();
        return;
    }
    m_backOff = FIRST_BACK_OFF;
    m_answerHandler();
    // A service that was set back shows an older revision; the watch goes on from there, whoever holds newer ones keeps them.
    const bool changed = m_status == STATUS_OK && m_answerRevision != m_revision;
    if (changed) {
        m_revision = m_answerRevision;
        m_handler({ m_key, m_revision, m_body });
    }
    readAfter(SHORTEST_READ_INTERVAL);
}

void PlatformWatch::onFailure()
{
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    const auto delay = std::chrono::duration_cast<Duration>(m_backOff * jitter(m_random));
    m_backOff = std::min<Duration>(m_backOff * 2, LONGEST_BACK_OFF);
    readAfter(delay);
}

void PlatformWatch::readAfter(Duration delay)
{
    if (m_stopped) {
        return;
    }
    m_timer.expires_after(delay);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            read();
        }
    });
}

} // namespace CassiaRelay::Net
