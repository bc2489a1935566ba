#pragma once

#include "eventlog.h"

#include <boost/asio/steady_timer.hpp>
#include <gateway/gateway.h>
#include <net/net.h>

#include <functional>
#include <map>
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
    using CurrentHandler = std::function<void(bool isCurrent)>;

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
    /**
     * Calls the handler when the catalogue holds everything that the store had acknowledged by now, as the answer to a later call proves.
     * @param handler called later in any case; with false if the store has not answered in time
     */
    void bringUpToDate(CurrentHandler handler);
    std::uint64_t calls() const;
    /** Time that the last response took; a watch waits for changes during a part of it. */
    Duration lastCallDuration() const;

private:
    /** Waits until the catalogue is up to date. */
    struct Waiter {
        MonotonicTime since;
        CurrentHandler handler;
    };

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
    /** Asks the store earlier than planned if somebody waits for its state. */
    void hasten();
    void checkEarly();
    /** The answers to calls that were sent at that time, or before, have been applied. */
    void onApplied(MonotonicTime sentAt);
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
    boost::asio::steady_timer m_hastenTimer;
    std::map<std::uint64_t, Waiter> m_waiters; ///< by the number of the call of bringUpToDate()
    std::uint64_t m_waiterCount = 0;
    bool m_isCallOpen = false;
    bool m_isWaiting = false; ///< the open call waits for changes
    bool m_isPaused = false;  ///< the next watch starts when the interval has ended
    std::shared_ptr<Net::HttpCall> m_call;
    Reply m_reply;
    std::vector<Gateway::StoreEntry> m_listedEntries; ///< entries of the pages read so far
    std::int64_t m_listedRevision = 0;                ///< revision of the first page; the watch reports later changes
    std::string m_nextAfter;
    MonotonicTime m_watchStartedAt;
    MonotonicTime m_listStartedAt;
    MonotonicTime m_callStartedAt;
    Duration m_lastCallDuration {};
    bool m_isListed = false;
    bool m_isStoreLost = false;
    int m_failures = 0;
    std::uint64_t m_calls = 0;
    bool m_isStopped = false;
};

} // namespace CassiaRelay::GatewayDaemon
