#pragma once

#include "eventlog.h"

#include <boost/asio/steady_timer.hpp>
#include <gateway/gateway.h>
#include <net/net.h>

#include <functional>
#include <memory>
#include <optional>

namespace CassiaRelay::GatewayDaemon {

/**
 * Keeps the catalogue up to date: lists the store once, then watches it for changes.
 *
 * Every store call has a cost, and the calls of all daemons are counted together. Therefore, there is a minimum interval between the
 * starts of two watches; changes in between arrive with the next response.
 */
class StoreWatcher
{
public:
    using ChangeHandler = std::function<void(const Gateway::CatalogueChanges &)>;

    /** @param changeTime in which a change in the store must be in force */
    StoreWatcher(boost::asio::io_context &context,
                 Net::HttpClient &client,
                 const Gateway::PlatformPort &port,
                 Endpoint store,
                 Duration changeTime,
                 Gateway::Catalogue &catalogue,
                 EventLog &log,
                 ChangeHandler changeHandler);

    void start();
    void stop();
    std::uint64_t calls() const;
    /** Time that the last response took; a watch waits for changes during a part of it. */
    Duration lastCallDuration() const;

private:
    /** The part of the response to the current call that has been received so far. */
    struct Reply {
        unsigned status = 0;
        std::optional<std::int64_t> era;
        std::string body;
    };

    void list();
    /** Waits for changes. */
    void watch();
    /** Asks for the changes so far; a store that is up answers at once. */
    void check();
    void sendWatch(std::chrono::milliseconds wait);
    /** @param timeToFirstByte the call fails when the response has not begun by then */
    void sendCall(Gateway::PlatformRequest platformRequest, Duration timeToFirstByte, std::function<void()> onReply);
    void waitForBytes(Duration time);
    bool restartInNewEra();
    void onPage();
    void onChanges();
    void onFailure(const std::string &reason);
    void onWatchCut(const std::string &reason);
    void onResponse();
    void runAfter(Duration delay, void (StoreWatcher::*step)());
    void publish(const Gateway::CatalogueChanges &changes);

    Net::HttpClient &m_client;
    const Gateway::PlatformPort &m_port;
    Endpoint m_store;
    Gateway::WatchTiming m_timing;
    Gateway::Catalogue &m_catalogue;
    EventLog &m_log;
    ChangeHandler m_changeHandler;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_silenceTimer;
    bool m_isCallOpen = false;
    bool m_isWaiting = false; ///< the open call waits for changes
    std::shared_ptr<Net::HttpCall> m_call;
    Reply m_reply;
    std::vector<Gateway::StoreEntry> m_listedEntries; ///< entries of the pages read so far
    std::int64_t m_listedRevision = 0;                ///< revision of the first page; the watch reports later changes
    std::string m_nextAfter;
    MonotonicTime m_watchStartedAt;
    MonotonicTime m_callStartedAt;
    Duration m_lastCallDuration {};
    bool m_isListed = false;
    bool m_isStoreLost = false;
    int m_failures = 0;
    std::uint64_t m_calls = 0;
    bool m_isStopped = false;
};

} // namespace CassiaRelay::GatewayDaemon
