// Stand-in for the platform: the configuration service of the pipelines' interface (GET with long poll, PUT) and the users'
// store of the gateway. Faults and read counts by the test.
#include "publishedstore.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <functional>
#include <iostream>
#include <list>
#include <map>

namespace {

using namespace CassiaRelay;
namespace http = boost::beast::http;

constexpr std::string_view KEY_PATH = "/v1/kv/";

constexpr unsigned STATUS_BAD_REQUEST = 400;

struct Revision {
    std::int64_t number = 0;
    std::string text;
};

struct Entry {
    Revision current;
    Revision previous;
};

/** How reads are answered; PUT works in every mode. */
enum class Mode {
    Ok,
    Stale, ///< the revision before the last one
    Slow,
    Down, ///< connections are cut
};

const std::map<std::string, Mode> MODES { { "ok", Mode::Ok }, { "stale", Mode::Stale }, { "slow", Mode::Slow }, { "down", Mode::Down } };

/** A GET that waits for a revision other than the one it knows. */
struct Watcher {
    std::string key;
    Net::HttpExchangePointer exchange;
    std::shared_ptr<boost::asio::steady_timer> timer;
};

class Platform
{
public:
    explicit Platform(boost::asio::io_context &context)
        : m_context(context)
        , m_published(context)
    {
    }

    void handle(const Net::HttpExchangePointer &exchange)
    {
        const Net::HttpRequest &request = exchange->request();
        const std::string target(request.target());
        if (target == "/fault") {
            setFault(exchange);
            return;
        }
        if (target == "/stats") {
            exchange->respond({ 200, "application/json", nlohmann::json { { "reads", m_reads } }.dump(), {} });
            return;
        }
        if (StandIns::PublishedStore::isWrite(target)) {
            m_published.write(exchange);
            return;
        }
        if (StandIns::PublishedStore::isRead(target)) {
            readWhenUp(exchange, [this, exchange] { m_published.read(exchange); });
            return;
        }
        if (target.compare(0, KEY_PATH.size(), KEY_PATH) != 0) {
            exchange->respond({ 404, "text/plain", "no such path\n", {} });
            return;
        }
        const std::size_t query = target.find('?');
        const std::string key = target.substr(KEY_PATH.size(), query - KEY_PATH.size());
        if (request.method() == http::verb::put) {
            put(key, request, exchange);
            return;
        }
        const std::string parameters = query == std::string::npos ? std::string() : target.substr(query + 1);
        readWhenUp(exchange, [this, key, parameters, exchange] { get(key, parameters, exchange); });
    }

private:
    void setFault(const Net::HttpExchangePointer &exchange)
    {
        const nlohmann::json fault = nlohmann::json::parse(exchange->request().body(), nullptr, false);
        if (fault.is_object() && fault.value("forget", false)) {
            m_published.forgetHistory();
            exchange->respond({ 200, "application/json", "{}", {} });
            return;
        }
        if (fault.is_object() && fault.contains("copy")) {
            if (fault.value("copy", "") == "take") {
                m_published.takeCopy();
            } else {
                m_published.restoreCopy();
            }
            exchange->respond({ 200, "application/json", "{}", {} });
            return;
        }
        const auto mode = fault.is_object() ? MODES.find(fault.value("mode", "")) : MODES.end();
        if (mode == MODES.end()) {
            exchange->respond(
                { STATUS_BAD_REQUEST, "text/plain", "mode is ok, stale, slow or down; forget is true; copy is take or restore\n", {} });
            return;
        }
        m_mode = mode->second;
        m_delay = std::chrono::milliseconds(fault.value("delayMs", 0));
        if (m_mode == Mode::Down || m_mode == Mode::Stale) {
            cutWatchers();
        }
        exchange->respond({ 200, "application/json", "{}", {} });
    }

    void cutWatchers()
    {
        m_published.cutWatches();
        for (const Watcher &watcher : std::exchange(m_watchers, {})) {
            watcher.timer->cancel();
            watcher.exchange->abortAfterQueued();
        }
    }

    void readWhenUp(const Net::HttpExchangePointer &exchange, std::function<void()> answer)
    {
        ++m_reads;
        if (m_mode == Mode::Down) {
            exchange->abortAfterQueued();
            return;
        }
        if (m_mode != Mode::Slow) {
            answer();
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_delay);
        timer->async_wait([timer, answer = std::move(answer)](const boost::system::error_code &) { answer(); });
    }

    Revision visible(const std::string &key) const
    {
        const auto found = m_entries.find(key);
        if (found == m_entries.end()) {
            return {};
        }
        const bool old = m_mode == Mode::Stale && found->second.previous.number > 0;
        return old ? found->second.previous : found->second.current;
    }

    // The test sets the revision by a header, so that it can also publish an old one.
    void put(const std::string &key, const Net::HttpRequest &request, const Net::HttpExchangePointer &exchange)
    {
        Entry &entry = m_entries[key];
        const auto revision = request.find("Revision");
        const std::int64_t number = revision == request.end() ? entry.current.number + 1 : std::stoll(std::string(revision->value()));
        entry.previous = std::exchange(entry.current, Revision { number, request.body() });
        exchange->respond({ 200, "text/plain", std::to_string(number) + "\n", {} });
        if (m_mode == Mode::Stale) {
            return;
        }
        for (auto watcher = m_watchers.begin(); watcher != m_watchers.end();) {
            if (watcher->key != key) {
                ++watcher;
                continue;
            }
            watcher->timer->cancel();
            answer(key, watcher->exchange);
            watcher = m_watchers.erase(watcher);
        }
    }

    void get(const std::string &key, const std::string &query, const Net::HttpExchangePointer &exchange)
    {
        const std::int64_t known = number(query, "watch=");
        const std::int64_t current = visible(key).number;
        if (known == 0 || known != current) {
            answer(key, exchange);
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, std::chrono::milliseconds(number(query, "waitMs=")));
        m_watchers.push_back({ key, exchange, timer });
        const auto watcher = std::prev(m_watchers.end());
        timer->async_wait([this, watcher](const boost::system::error_code &error) {
            if (error) {
                return;
            }
            watcher->exchange->respond({ 304, "text/plain", "", {} });
            m_watchers.erase(watcher);
        });
    }

    void answer(const std::string &key, const Net::HttpExchangePointer &exchange)
    {
        const Revision revision = visible(key);
        if (revision.number == 0) {
            exchange->respond({ 404, "text/plain", "no such key\n", {} });
            return;
        }
        exchange->respond({ 200, "application/json", revision.text, { { "Revision", std::to_string(revision.number) } } });
    }

    static std::int64_t number(const std::string &query, const std::string &name)
    {
        const std::size_t at = query.find(name);
        return at == std::string::npos ? 0 : std::strtoll(query.c_str() + at + name.size(), nullptr, 10);
    }

    boost::asio::io_context &m_context;
    StandIns::PublishedStore m_published;
    std::map<std::string, Entry> m_entries;
    std::list<Watcher> m_watchers;
    Mode m_mode = Mode::Ok;
    std::chrono::milliseconds m_delay { 0 };
    std::uint64_t m_reads = 0;
};

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    options::options_description description("standin-platform");
    description.add_options()("port", options::value<std::uint16_t>()->default_value(0), "TCP port on loopback");
    options::variables_map arguments;
    options::store(options::parse_command_line(argc, argv, description), arguments);
    boost::asio::io_context context;
    Platform platform(context);
    Net::HttpServer server(
        context, "127.0.0.1", arguments["port"].as<std::uint16_t>(), {}, [&platform](const Net::HttpExchangePointer &exchange) {
            platform.handle(exchange);
        });
    server.start();
    std::cout << server.port() << std::endl;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return 0;
}
