#pragma once

#include <net/net.h>

#include <boost/asio/steady_timer.hpp>

#include <list>
#include <map>
#include <string>

namespace CassiaRelay::StandIns {

std::string base64(const std::string &bytes);

/** The users' store as a daemon reads it: items with one revision counter, pages, and watches. Tests write the items. */
class PublishedStore
{
public:
    explicit PublishedStore(boost::asio::io_context &context);

    /** Whether the path is one that daemons read. */
    static bool isRead(const std::string &path);
    /** Whether the path is one by which a test writes. */
    static bool isWrite(const std::string &path);

    /** Answers a page or a watch. */
    void read(const Net::HttpExchangePointer &exchange);
    /** PUT /items/KEY with the value as body, DELETE /items/KEY; answers with the revision. */
    void write(const Net::HttpExchangePointer &exchange);
    /** Watches from before this moment are answered 410. */
    void forgetHistory();
    /** Keeps a copy of what the store holds. */
    void takeCopy();
    /** Restores the last copy: what was written since is gone, revisions are given out again, and the era rises. */
    void restoreCopy();
    /** Cuts the watches that wait. */
    void cutWatches();

private:
    struct Item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
    };
    struct Change {
        std::int64_t revision = 0;
        std::string key;
        bool isRemoved = false;
    };
    struct Contents {
        std::map<std::string, Item> items;
        std::vector<Change> history;
        std::int64_t revision = 1;
        std::int64_t oldest = 0; ///< history up to here is gone
    };
    struct Watch {
        std::string prefix;
        std::int64_t after = 0;
        Net::HttpExchangePointer exchange;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    void list(const std::string &target, const Net::HttpExchangePointer &exchange) const;
    void watch(const std::string &target, const Net::HttpExchangePointer &exchange);
    std::string itemText(const std::string &key, const Item &item) const;
    /** Empty when nothing has changed. */
    std::string changesSince(const std::string &prefix, std::int64_t after) const;
    void respondChanges(const Net::HttpExchangePointer &exchange, const std::string &events) const;
    void respond(const Net::HttpExchangePointer &exchange, unsigned status, std::string body) const;
    void wakeWatches();

    boost::asio::io_context &m_context;
    Contents m_contents;
    Contents m_copy;
    std::int64_t m_era = 1;
    std::list<Watch> m_watches;
};

} // namespace CassiaRelay::StandIns
