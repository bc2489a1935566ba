#include "storewatcher.h"

#include "callrequests.h"
#include "fieldlist.h"

namespace CassiaRelay::GatewayDaemon {

namespace {

constexpr unsigned STATUS_OK = 200;
constexpr std::chrono::milliseconds RESPONSE_TIMEOUT {
    700
}; // responses begin after milliseconds, or a few hundred while the store is slow
constexpr std::chrono::milliseconds LIST_TIMEOUT { 2000 };
constexpr std::chrono::seconds MAX_RESPONSE_TIME { 10 }; // a configuration of 1 MB over a busy link of 10 Mbit/s takes a few seconds
constexpr std::chrono::milliseconds MIN_RETRY_DELAY { 200 };
constexpr std::chrono::milliseconds MAX_RETRY_DELAY { 1000 }; // rejected calls have a cost, too; a recovery must be noticed within seconds
constexpr int MAX_BACKOFF_DOUBLINGS = 3;
constexpr std::chrono::milliseconds LATE_TIMER { 100 };         // a daemon that lags so much may not have read what the store has sent
constexpr std::chrono::milliseconds MIN_CHECK_INTERVAL { 400 }; // 380 daemons together stay below the 2,000 calls a second of the store
constexpr std::chrono::milliseconds CURRENT_TIMEOUT { 2000 };   // two calls that fail, and a third

} // namespace

StoreWatcher::StoreWatcher(boost::asio::io_context &context,
                           Net::HttpClient &client,
                           const Gateway::PlatformPort &port,
                           Endpoint store,
                           Duration changeTime,
                           Gateway::Catalogue &catalogue,
                           EventLog &log,
                           ChangeHandler changeHandler)
    : m_client(client)
    , m_port(port)
    , m_store(std::move(store))
    , m_timing(Gateway::watchTiming(changeTime, RESPONSE_TIMEOUT + MIN_RETRY_DELAY))
    , m_catalogue(catalogue)
    , m_log(log)
    , m_changeHandler(std::move(changeHandler))
    , m_timer(context)
    , m_silenceTimer(context)
    , m_hastenTimer(context)
{
}

void StoreWatcher::start()
{
    list();
}

void StoreWatcher::stop()
{
    m_isStopped = true;
    m_timer.cancel();
    m_silenceTimer.cancel();
    m_hastenTimer.cancel();
    if (m_call) {
        m_call->cancel();
    }
}

std::uint64_t StoreWatcher::calls() const
{
    return m_calls;
}

Duration StoreWatcher::lastCallDuration() const
{
    return m_lastCallDuration;
}

void StoreWatcher::list()
{
    m_isWaiting = false;
    if (m_nextAfter.empty()) {
        m_listStartedAt = std::chrono::steady_clock::now();
    }
    sendCall(m_port.listRequest(m_nextAfter), LIST_TIMEOUT, [this] { onPage(); });
}

void StoreWatcher::watch()
{
    sendWatch(m_timing.wait);
}

void StoreWatcher::check()
{
    sendWatch(std::chrono::milliseconds::zero());
}

void StoreWatcher::sendWatch(std::chrono::milliseconds wait)
{
    m_watchStartedAt = std::chrono::steady_clock::now();
    m_isWaiting = wait > std::chrono::milliseconds::zero();
    m_isPaused = false;
    sendCall(m_port.watchRequest(m_catalogue.revision(), wait), wait + RESPONSE_TIMEOUT, [this] { onChanges(); });
}

void StoreWatcher::sendCall(Gateway::PlatformRequest platformRequest, Duration timeToFirstByte, std::function<void()> onReply)
{
    ++m_calls;
    m_reply = {};
    m_callStartedAt = std::chrono::steady_clock::now();
    Net::HttpCallRequest request = toCallRequest(m_store, std::move(platformRequest));
    request.contentType.clear();
    request.deadline = m_callStartedAt + MAX_RESPONSE_TIME;
    request.connectTimeout = RESPONSE_TIMEOUT;
    Net::HttpCallHandlers handlers;
    handlers.onHead = [this](const Net::HttpCallHead &head) {
        m_reply.status = head.status;
        m_reply.era = m_port.storeEra(toFieldList(head.fields));
        waitForBytes(RESPONSE_TIMEOUT);
    };
    handlers.onBody = [this](const std::string &part) {
        m_reply.body += part;
        waitForBytes(RESPONSE_TIMEOUT);
    };
    handlers.onFinished = [this, onReply = std::move(onReply)] {
        m_isCallOpen = false;
        m_silenceTimer.cancel();
        onReply();
    };
    handlers.onFailed = [this](Net::CallFailure failure, const std::string &detail) {
        m_isCallOpen = false;
        m_silenceTimer.cancel();
        if (m_isWaiting && m_reply.status == 0 && failure == Net::CallFailure::ConnectionLost) {
            onWatchCut(detail);
        } else {
            onFailure(detail);
        }
    };
    m_isCallOpen = true;
    waitForBytes(timeToFirstByte);
    m_call = m_client.send(std::move(request), std::move(handlers));
}

// A limit on the whole response would never let a large configuration through over a slow link: each attempt would start it anew.
void StoreWatcher::waitForBytes(Duration time)
{
    m_silenceTimer.expires_after(time);
    m_silenceTimer.async_wait([this, call = m_calls, time](const boost::system::error_code &error) {
        // The timer may have expired just as the call ended.
        if (error || m_isStopped || !m_isCallOpen || call != m_calls || m_silenceTimer.expiry() > std::chrono::steady_clock::now()) {
            return;
        }
        // A slow daemon would take its own delay for an outage. The deadline of the call ends this.
        if (m_silenceTimer.expiry() + LATE_TIMER < std::chrono::steady_clock::now()) {
            waitForBytes(time);
            return;
        }
        m_isCallOpen = false;
        m_call->cancel();
        onFailure("nothing received for " + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms");
    });
}

// After the store was restored from a copy, revisions are given out again: neither the pages read so far nor the revision of the watch
// belong to what the store holds now.
bool StoreWatcher::restartInNewEra()
{
    if (!m_reply.era || !m_catalogue.isNewEra(*m_reply.era)) {
        return false;
    }
    m_log.write("store restored from a copy",
                { { "era", std::to_string(*m_reply.era) }, { "revision", std::to_string(m_catalogue.revision()) } },
                std::chrono::steady_clock::now());
    m_isListed = false;
    m_nextAfter.clear();
    list();
    return true;
}

void StoreWatcher::onPage()
{
    if (restartInNewEra()) {
        return;
    }
    if (m_reply.status != STATUS_OK) {
        onFailure("status " + std::to_string(m_reply.status));
        return;
    }
    try {
        Gateway::StorePage page = m_port.readPage(m_reply.body);
        if (m_nextAfter.empty()) {
            m_listedEntries.clear();
            m_listedRevision = page.revision;
        }
        std::move(page.entries.begin(), page.entries.end(), std::back_inserter(m_listedEntries));
        m_nextAfter = page.nextAfter;
    } catch (const Error &error) {
        onFailure(error.what());
        return;
    }
    onResponse();
    if (!m_nextAfter.empty()) {
        list();
        return;
    }
    const MonotonicTime now = std::chrono::steady_clock::now();
    publish(m_catalogue.applyListing(m_listedEntries, m_listedRevision, now));
    m_log.write(
        "store listed", { { "revision", std::to_string(m_listedRevision) }, { "entries", std::to_string(m_listedEntries.size()) } }, now);
    m_listedEntries.clear();
    m_isListed = true;
    onApplied(m_listStartedAt);
    watch();
    hasten();
}

void StoreWatcher::onChanges()
{
    if (restartInNewEra()) {
        return;
    }
    if (m_port.isRevisionExpired(m_reply.status)) {
        m_log.write("store revision expired", { { "revision", std::to_string(m_catalogue.revision()) } }, std::chrono::steady_clock::now());
        m_isListed = false;
        list();
        return;
    }
    if (m_reply.status != STATUS_OK) {
        onFailure("status " + std::to_string(m_reply.status));
        return;
    }
    const MonotonicTime now = std::chrono::steady_clock::now();
    try {
        const Gateway::StoreChanges changes = m_port.readChanges(m_reply.body);
        onResponse();
        publish(m_catalogue.applyChanges(changes, now));
    } catch (const Error &error) {
        onFailure(error.what());
        return;
    }
    m_isPaused = true;
    // A list without a configuration may have been wrong, as what is in the store changes only when it is written again.
    const auto next = m_catalogue.table() ? &StoreWatcher::watch : &StoreWatcher::list;
    runAfter(std::max<Duration>(Duration::zero(), m_watchStartedAt + m_timing.interval - now), next);
    onApplied(m_watchStartedAt);
    hasten();
}

void StoreWatcher::bringUpToDate(CurrentHandler handler)
{
    const std::uint64_t number = ++m_waiterCount;
    m_waiters[number] = { std::chrono::steady_clock::now(), std::move(handler) };
    auto timer = std::make_shared<boost::asio::steady_timer>(m_timer.get_executor(), CURRENT_TIMEOUT);
    timer->async_wait([this, timer, number](const boost::system::error_code &) {
        const auto waiter = m_waiters.find(number);
        if (waiter == m_waiters.end()) {
            return;
        }
        const CurrentHandler onTimeout = std::move(waiter->second.handler);
        m_waiters.erase(waiter);
        onTimeout(false);
    });
    hasten();
}

// What waits for changes was sent before, and its answer may have left the store before as well.
void StoreWatcher::hasten()
{
    const bool isIdle = m_isPaused || (m_isCallOpen && m_isWaiting);
    if (m_waiters.empty() || m_isStopped || !isIdle) {
        return;
    }
    m_hastenTimer.expires_at(std::max(std::chrono::steady_clock::now(), m_watchStartedAt + MIN_CHECK_INTERVAL));
    m_hastenTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            checkEarly();
        }
    });
}

void StoreWatcher::checkEarly()
{
    const bool isReceiving = m_isCallOpen && m_reply.status != 0;
    const bool isIdle = m_isPaused || (m_isCallOpen && m_isWaiting);
    if (m_waiters.empty() || m_isStopped || !isIdle || isReceiving) {
        return;
    }
    if (std::exchange(m_isCallOpen, false)) {
        m_silenceTimer.cancel();
        m_call->cancel();
    }
    m_timer.cancel();
    check();
}

void StoreWatcher::onApplied(MonotonicTime sentAt)
{
    m_catalogue.setCurrentAsOf(sentAt);
    std::vector<CurrentHandler> done;
    for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
        if (waiter->second.since > sentAt) {
            ++waiter;
            continue;
        }
        done.push_back(std::move(waiter->second.handler));
        waiter = m_waiters.erase(waiter);
    }
    for (const CurrentHandler &handler : done) {
        handler(true);
    }
}

// The store may cut a watch while it serves all other calls. Whether it is down shows with a call that does not wait.
void StoreWatcher::onWatchCut(const std::string &reason)
{
    m_log.write(
        "watch cut", { { "reason", reason }, { "revision", std::to_string(m_catalogue.revision()) } }, std::chrono::steady_clock::now());
    runAfter(MIN_RETRY_DELAY, &StoreWatcher::check);
}

void StoreWatcher::onFailure(const std::string &reason)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    m_catalogue.setStoreUnavailable();
    if (!std::exchange(m_isStoreLost, true)) {
        m_log.write("store lost", { { "reason", reason }, { "revision", std::to_string(m_catalogue.revision()) } }, now);
    }
    const Duration delay = std::min<Duration>(MIN_RETRY_DELAY * (1 << std::min(m_failures, MAX_BACKOFF_DOUBLINGS)), MAX_RETRY_DELAY);
    ++m_failures;
    if (!m_isListed) {
        m_nextAfter.clear();
    }
    runAfter(delay, m_isListed ? &StoreWatcher::check : &StoreWatcher::list);
}

void StoreWatcher::onResponse()
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    m_failures = 0;
    m_lastCallDuration = now - m_callStartedAt;
    m_catalogue.setStoreAvailable(now);
    if (std::exchange(m_isStoreLost, false)) {
        m_log.write("store regained", { { "revision", std::to_string(m_catalogue.revision()) } }, now);
    }
}

void StoreWatcher::runAfter(Duration delay, void (StoreWatcher::*step)())
{
    if (m_isStopped) {
        return;
    }
    m_timer.expires_after(delay);
    m_timer.async_wait([this, step](const boost::system::error_code &error) {
        if (!error && !m_isStopped) {
            (this->*step)();
        }
    });
}

void StoreWatcher::publish(const Gateway::CatalogueChanges &changes)
{
    if (!changes.empty()) {
        m_changeHandler(changes);
    }
}

} // namespace CassiaRelay::GatewayDaemon
