// Stand-in for any target: an engine that streams completions, or a stage or plain service that answers JSON calls.
#include <net/net.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>
#include <set>

namespace {

using namespace CassiaRelay;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view COMPLETIONS_PATH = "/v1/completions";

struct TargetOptions {
    std::uint16_t port = 0;
    milliseconds serviceTime { 5 };
    milliseconds tokenTime { 2 };
    int tokens = 16;
};

/** Text that depends on the prompt only, so that a caller can tell its own answer. */
std::string tokenAt(const std::string &prompt, int index)
{
    return "t" + std::to_string(stableHash(prompt, static_cast<std::uint64_t>(index)) % 100000) + " ";
}

/** One streamed completion under way. */
class Completion : public std::enable_shared_from_this<Completion>
{
public:
    Completion(boost::asio::io_context &context, const TargetOptions &settings, Net::HttpExchangePointer exchange, const json &body)
        : m_settings(settings)
        , m_exchange(std::move(exchange))
        , m_timer(context)
        , m_prompt(body.value("prompt", ""))
    {
        const std::string resumed = body.value("resume_text", "");
        while (m_index < m_settings.tokens && m_offset < resumed.size()) {
            m_offset += tokenAt(m_prompt, m_index++).size();
        }
    }

    void start()
    {
        m_exchange->onClosed([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->m_timer.cancel();
            }
        });
        m_exchange->startStream({ 200, "text/event-stream", "", {} });
        next();
    }

private:
    void next()
    {
        if (m_index == m_settings.tokens) {
            m_exchange->writeStream("data: [DONE]\n\n");
            m_exchange->finishStream();
            return;
        }
        m_timer.expires_after(m_settings.tokenTime);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (error) {
                return;
            }
            self->writeToken();
            self->next();
        });
    }

    void writeToken()
    {
        const std::string token = tokenAt(m_prompt, m_index++);
        const json event = { { "choices", { { { "text", token } } } }, { "offset", m_offset } };
        m_offset += token.size();
        m_exchange->writeStream("data: " + event.dump() + "\n\n");
    }

    const TargetOptions &m_settings;
    Net::HttpExchangePointer m_exchange;
    boost::asio::steady_timer m_timer;
    std::string m_prompt;
    int m_index = 0;
    std::size_t m_offset = 0;
};

class Target
{
public:
    Target(boost::asio::io_context &context, TargetOptions settings)
        : m_context(context)
        , m_settings(settings)
    {
    }

    void handle(const Net::HttpExchangePointer &exchange)
    {
        const std::string path(exchange->request().target());
        const json body = json::parse(exchange->request().body(), nullptr, false);
        if (path == "/cancel" || body.is_discarded()) {
            exchange->respond({ path == "/cancel" ? 200U : 400U, "application/json", "{}", {} });
        } else if (path == COMPLETIONS_PATH) {
            std::make_shared<Completion>(m_context, m_settings, exchange, body)->start();
        } else {
            call(exchange, path, body);
        }
    }

private:
    void call(const Net::HttpExchangePointer &exchange, const std::string &path, const json &body)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_settings.serviceTime);
        const json result = { { "path", path }, { "echo", body.value("/request/prompt"_json_pointer, "") }, { "run", ++m_runs } };
        timer->async_wait([timer, exchange, result](const boost::system::error_code &) {
            exchange->respond({ 200, "application/json", result.dump(), {} });
        });
    }

    boost::asio::io_context &m_context;
    TargetOptions m_settings;
    std::uint64_t m_runs = 0;
};

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    options::options_description description("standin-target");
    description.add_options()("port", options::value<std::uint16_t>()->default_value(0), "TCP port on loopback")(
        "service-ms", options::value<int>()->default_value(5), "time of one call")(
        "token-ms", options::value<int>()->default_value(2), "time of one token")(
        "tokens", options::value<int>()->default_value(16), "tokens of one completion");
    options::variables_map arguments;
    options::store(options::parse_command_line(argc, argv, description), arguments);
    TargetOptions settings;
    settings.port = arguments["port"].as<std::uint16_t>();
    settings.serviceTime = milliseconds(arguments["service-ms"].as<int>());
    settings.tokenTime = milliseconds(arguments["token-ms"].as<int>());
    settings.tokens = arguments["tokens"].as<int>();
    boost::asio::io_context context;
    Target target(context, settings);
    Net::HttpServer server(
        context, "127.0.0.1", settings.port, {}, [&target](const Net::HttpExchangePointer &exchange) { target.handle(exchange); });
    server.start();
    std::cout << server.port() << std::endl;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return 0;
}
