// Stand-in for the platform's configuration service: GET with long poll, PUT by the test.
#include <net/net.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>
#include <list>
#include <map>

namespace {

using namespace CassiaRelay;
namespace http = boost::beast::http;

constexpr std::string_view KEY_PATH = "/v1/kv/";

struct Entry {
    std::int64_t revision = 0;
    std::string text;
};

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
    {
    }

    void handle(const Net::HttpExchangePointer &exchange)
    {
        const Net::HttpRequest &request = exchange->request();
        const std::string target(request.target());
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
        get(key, query == std::string::npos ? std::string() : target.substr(query + 1), exchange);
    }

private:
    // The test sets the revision by a header, so that it can also publish an old one.
    void put(const std::string &key, const Net::HttpRequest &request, const Net::HttpExchangePointer &exchange)
    {
        Entry &entry = m_entries[key];
        const auto revision = request.find("Revision");
        entry.revision = revision == request.end() ? entry.revision + 1 : std::stoll(std::string(revision->value()));
        entry.text = request.body();
        exchange->respond({ 200, "text/plain", std::to_string(entry.revision) + "\n", {} });
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
        const auto found = m_entries.find(key);
        const std::int64_t current = found == m_entries.end() ? 0 : found->second.revision;
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
        const auto found = m_entries.find(key);
        if (found == m_entries.end()) {
            exchange->respond({ 404, "text/plain", "no such key\n", {} });
            return;
        }
        exchange->respond({ 200, "application/json", found->second.text, { { "Revision", std::to_string(found->second.revision) } } });
    }

    static std::int64_t number(const std::string &query, const std::string &name)
    {
        const std::size_t at = query.find(name);
        return at == std::string::npos ? 0 : std::strtoll(query.c_str() + at + name.size(), nullptr, 10);
    }

    boost::asio::io_context &m_context;
    std::map<std::string, Entry> m_entries;
    std::list<Watcher> m_watchers;
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
