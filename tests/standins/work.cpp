#include "work.h"

#include <nlohmann/json.hpp>

namespace CassiaRelay::StandIns {

using nlohmann::json;

std::string tokenAt(const std::string &prompt, int index)
{
    constexpr std::uint64_t VOCABULARY = 100000;
    return "t" + std::to_string(stableHash(prompt, static_cast<std::uint64_t>(index)) % VOCABULARY) + " ";
}

Work::Work(boost::asio::io_context &context, Net::HttpExchangePointer exchange, std::string id)
    : m_exchange(std::move(exchange))
    , m_timer(context)
    , m_id(std::move(id))
{
}

const std::string &Work::id() const
{
    return m_id;
}

const Net::HttpExchangePointer &Work::exchange() const
{
    return m_exchange;
}

void Work::start(WorkSettings settings)
{
    m_settings = std::move(settings);
    if (!m_settings.faults.hang) {
        run();
    }
}

void Work::cut()
{
    m_exchange->abortAfterQueued();
    end(WorkEnd::Cut);
}

void Work::end(WorkEnd reason)
{
    if (std::exchange(m_ended, true)) {
        return;
    }
    m_timer.cancel();
    const auto onEnd = std::exchange(m_settings.onEnd, nullptr);
    if (onEnd) {
        onEnd(reason, tokensSoFar());
    }
}

void Work::after(std::chrono::duration<double> delay, std::function<void()> next)
{
    m_timer.expires_after(std::chrono::duration_cast<Duration>(delay));
    m_timer.async_wait([self = shared_from_this(), next = std::move(next)](const boost::system::error_code &error) {
        if (!error && !self->m_ended) {
            next();
        }
    });
}

CallWork::CallWork(
    boost::asio::io_context &context, Net::HttpExchangePointer exchange, std::string id, std::string answer, AnswerHandler handler)
    : Work(context, std::move(exchange), std::move(id))
    , m_answer(std::move(answer))
    , m_handler(std::move(handler))
{
}

void CallWork::run()
{
    after((m_settings.firstDelay + m_settings.options.serviceTime) * m_settings.faults.slowFactor, [this] {
        m_handler(exchange(), m_answer);
        end(WorkEnd::Finished);
    });
}

int CallWork::tokensSoFar() const
{
    return 0;
}

CompletionWork::CompletionWork(boost::asio::io_context &context,
                               Net::HttpExchangePointer exchange,
                               std::string id,
                               std::string prompt,
                               int tokens,
                               std::string resumed)
    : Work(context, std::move(exchange), std::move(id))
    , m_prompt(std::move(prompt))
    , m_resumed(std::move(resumed))
    , m_tokens(tokens)
{
    while (m_index < m_tokens && m_offset < m_resumed.size()) {
        m_offset += tokenAt(m_prompt, m_index++).size();
    }
}

void CompletionWork::run()
{
    exchange()->startStream({ 200, "text/event-stream", "", { { "X-Request-Id", id() } } });
    after(m_settings.firstDelay * m_settings.faults.slowFactor, [this] { next(); });
}

int CompletionWork::tokensSoFar() const
{
    return m_generated;
}

void CompletionWork::next()
{
    if (m_index >= m_tokens) {
        exchange()->writeStream("data: [DONE]\n\n");
        exchange()->finishStream();
        end(WorkEnd::Finished);
        return;
    }
    const double batchFactor = 1 + m_settings.options.batchSlope * (m_settings.running() - 1);
    after(m_settings.options.tokenTime * (batchFactor * m_settings.faults.slowFactor), [this] {
        writeToken();
        next();
    });
}

void CompletionWork::writeToken()
{
    if (m_settings.faults.gap && m_index == m_tokens / 2) {
        m_offset += tokenAt(m_prompt, m_index++).size();
        return;
    }
    const std::string token = tokenAt(m_prompt, m_index++);
    ++m_generated;
    const json event = { { "id", id() }, { "choices", { { { "text", token } } } }, { "offset", m_offset } };
    m_offset += token.size();
    exchange()->writeStream("data: " + event.dump() + "\n\n");
}

} // namespace CassiaRelay::StandIns
