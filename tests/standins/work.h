#pragma once

#include "targetoptions.h"

#include <net/net.h>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace CassiaRelay::StandIns {

/** How one piece of work ended. */
enum class WorkEnd {
    Finished,
    Cut,
};

/** What work needs to know of its target. */
struct WorkSettings {
    TargetOptions options;
    TargetFaults faults;
    std::chrono::milliseconds firstDelay { 0 };
    std::function<int()> running;
    std::function<void(WorkEnd, int tokens)> onEnd;
};

/** A call or completion that waits or runs on a target. */
class Work : public std::enable_shared_from_this<Work>
{
public:
    Work(boost::asio::io_context &context, Net::HttpExchangePointer exchange, std::string id);
    virtual ~Work() = default;
    Work(const Work &) = delete;
    Work &operator=(const Work &) = delete;

    const std::string &id() const;
    const Net::HttpExchangePointer &exchange() const;
    /** Runs it; onEnd is called once. */
    void start(WorkSettings settings);
    /** Stops it and cuts the connection. */
    void cut();

protected:
    virtual void run() = 0;
    virtual int tokensSoFar() const = 0;
    void end(WorkEnd reason);
    void after(std::chrono::duration<double> delay, std::function<void()> next);

    WorkSettings m_settings;

private:
    Net::HttpExchangePointer m_exchange;
    boost::asio::steady_timer m_timer;
    std::string m_id;
    bool m_ended = false;
};

/** A JSON call; its answer names the call it belongs to. */
class CallWork : public Work
{
public:
    using AnswerHandler = std::function<void(const Net::HttpExchangePointer &, const std::string &)>;

    CallWork(
        boost::asio::io_context &context, Net::HttpExchangePointer exchange, std::string id, std::string answer, AnswerHandler handler);

protected:
    void run() override;
    int tokensSoFar() const override;

private:
    std::string m_answer;
    AnswerHandler m_handler;
};

/** A streamed completion, resumed after the text that the caller already has. */
class CompletionWork : public Work
{
public:
    CompletionWork(boost::asio::io_context &context,
                   Net::HttpExchangePointer exchange,
                   std::string id,
                   std::string prompt,
                   int tokens,
                   std::string resumed);

protected:
    void run() override;
    int tokensSoFar() const override;

private:
    void next();
    void writeToken();

    std::string m_prompt;
    std::string m_resumed;
    int m_tokens;
    int m_index = 0;
    int m_generated = 0;
    std::size_t m_offset = 0;
};

/** Text that depends on the prompt only, so that a caller can tell its own answer. */
std::string tokenAt(const std::string &prompt, int index);

} // namespace CassiaRelay::StandIns
