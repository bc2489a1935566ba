#include "publishedstore.h"

#include <boost/algorithm/string.hpp>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <set>

namespace CassiaRelay::StandIns {

using nlohmann::json;

namespace {

constexpr std::string_view LIST_PATH = "/api/kv-range";
constexpr std::string_view WATCH_PATH = "/api/kv-watch";
constexpr std::string_view ITEMS_PATH = "/items/";
constexpr std::size_t PAGE_ITEMS = 20; // small, so that every test reads several pages
constexpr unsigned STATUS_OK = 200;
constexpr unsigned STATUS_GONE = 410;
constexpr unsigned STATUS_NOT_FOUND = 404;

// Decodes the percent-encoding of paths and queries.
std::string decoded(const std::string &text)
{
    constexpr std::size_t CODE_LENGTH = 3; // %XX
    constexpr int BASE = 16;
    std::string bytes;
    for (std::size_t position = 0; position < text.size(); ++position) {
        if (text[position] != '%' || position + CODE_LENGTH > text.size()) {
            bytes += text[position];
            continue;
        }
        bytes += static_cast<char>(std::stoi(text.substr(position + 1, CODE_LENGTH - 1), nullptr, BASE));
        position += CODE_LENGTH - 1;
    }
    return bytes;
}

std::string parameter(const std::string &target, const std::string &name)
{
    std::vector<std::string> pairs;
    const std::string resource = target.substr(0, target.find('#'));
    const std::string query = resource.substr(std::min(resource.size(), resource.find('?') + 1));
    boost::split(pairs, query, [](char letter) { return letter == '&'; });
    for (const std::string &pair : pairs) {
        if (boost::starts_with(pair, name + "=")) {
            return decoded(boost::replace_all_copy(pair.substr(name.size() + 1), "+", " "));
        }
    }
    return {};
}

std::int64_t numberParameter(const std::string &target, const std::string &name)
{
    return std::strtoll(parameter(target, name).c_str(), nullptr, 10);
}

std::string targetOf(const Net::HttpExchangePointer &exchange)
{
    return std::string(exchange->request().target());
}

} // namespace

std::string base64(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

PublishedStore::PublishedStore(boost::asio::io_context &context)
    : m_context(context)
{
}

bool PublishedStore::isRead(const std::string &path)
{
    return boost::starts_with(path, LIST_PATH) || boost::starts_with(path, WATCH_PATH);
}

bool PublishedStore::isWrite(const std::string &path)
{
    return boost::starts_with(path, ITEMS_PATH);
}

void PublishedStore::read(const Net::HttpExchangePointer &exchange)
{
    const std::string target = targetOf(exchange);
    if (boost::starts_with(target, LIST_PATH)) {
        list(target, exchange);
    } else {
        watch(target, exchange);
    }
}

void PublishedStore::write(const Net::HttpExchangePointer &exchange)
{
    const std::string key = decoded(targetOf(exchange).substr(ITEMS_PATH.size()));
    const bool isRemoval = exchange->request().method() == boost::beast::http::verb::delete_;
    if (isRemoval && m_contents.items.erase(key) == 0) {
        exchange->respond({ STATUS_NOT_FOUND, "text/plain", "no item " + key + "\n", {} });
        return;
    }
    ++m_contents.revision;
    if (!isRemoval) {
        Item &item = m_contents.items[key];
        item.value = exchange->request().body();
        item.revision = m_contents.revision;
        item.created = item.created == 0 ? m_contents.revision : item.created;
    }
    m_contents.history.push_back({ m_contents.revision, key, isRemoval });
    exchange->respond({ 200, "text/plain", std::to_string(m_contents.revision) + "\n", {} });
    wakeWatches();
}

void PublishedStore::forgetHistory()
{
    m_contents.history.clear();
    m_contents.oldest = m_contents.revision;
    cutWatches();
}

void PublishedStore::takeCopy()
{
    m_copy = m_contents;
}

void PublishedStore::restoreCopy()
{
    m_contents = m_copy;
    ++m_era;
    cutWatches();
}

void PublishedStore::cutWatches()
{
    for (const Watch &watch : std::exchange(m_watches, {})) {
        watch.timer->cancel();
        watch.exchange->abortAfterQueued();
    }
}

void PublishedStore::list(const std::string &target, const Net::HttpExchangePointer &exchange) const
{
    const std::string prefix = parameter(target, "prefix");
    json page = { { "items", json::array() }, { "truncated", false }, { "currentRev", m_contents.revision } };
    for (auto item = m_contents.items.upper_bound(parameter(target, "after")); item != m_contents.items.end(); ++item) {
        if (!boost::starts_with(item->first, prefix)) {
            continue;
        }
        if (page["items"].size() == PAGE_ITEMS) {
            page["truncated"] = true;
            break;
        }
        page["items"].push_back(json::parse(itemText(item->first, item->second)));
    }
    respond(exchange, STATUS_OK, page.dump());
}

void PublishedStore::watch(const std::string &target, const Net::HttpExchangePointer &exchange)
{
    const std::int64_t after = numberParameter(target, "after");
    if (after < m_contents.oldest || after > m_contents.revision) {
        respond(exchange, STATUS_GONE, "{}");
        return;
    }
    const std::string prefix = parameter(target, "prefix");
    const std::string events = changesSince(prefix, after);
    if (!events.empty()) {
        respondChanges(exchange, events);
        return;
    }
    const std::chrono::milliseconds wait(numberParameter(target, "waitMs"));
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, wait);
    m_watches.push_back({ prefix, after, exchange, timer });
    const auto waiting = std::prev(m_watches.end());
    // The timer may have expired just as a change ended the watch.
    timer->async_wait([this, waiting, weak = std::weak_ptr(timer)](const boost::system::error_code &error) {
        if (error || weak.expired()) {
            return;
        }
        respondChanges(waiting->exchange, "[]");
        m_watches.erase(waiting);
    });
}

std::string PublishedStore::itemText(const std::string &key, const Item &item) const
{
    return json {
        { "key", key }, { "value", base64(item.value) }, { "revision", item.revision }, { "createdRev", item.created }, { "lease", 0 }
    }.dump();
}

// A key that changed several times is told once, at its last change.
std::string PublishedStore::changesSince(const std::string &prefix, std::int64_t after) const
{
    json events = json::array();
    std::set<std::string> told;
    for (auto change = m_contents.history.rbegin(); change != m_contents.history.rend() && change->revision > after; ++change) {
        if (!boost::starts_with(change->key, prefix) || !told.insert(change->key).second) {
            continue;
        }
        const json removed = { { "key", change->key }, { "revision", change->revision }, { "removed", true } };
        events.push_back(change->isRemoved ? removed : json::parse(itemText(change->key, m_contents.items.at(change->key))));
    }
    std::reverse(events.begin(), events.end());
    return events.empty() ? std::string() : events.dump();
}

void PublishedStore::respondChanges(const Net::HttpExchangePointer &exchange, const std::string &events) const
{
    respond(exchange, STATUS_OK, R"({"events":)" + events + R"(,"currentRev":)" + std::to_string(m_contents.revision) + "}");
}

void PublishedStore::respond(const Net::HttpExchangePointer &exchange, unsigned status, std::string body) const
{
    exchange->respond({ status, "application/json", std::move(body), { { "Store-Era", std::to_string(m_era) } } });
}

void PublishedStore::wakeWatches()
{
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        const std::string events = changesSince(watch->prefix, watch->after);
        if (events.empty()) {
            ++watch;
            continue;
        }
        watch->timer->cancel();
        respondChanges(watch->exchange, events);
        watch = m_watches.erase(watch);
    }
}

} // namespace CassiaRelay::StandIns
