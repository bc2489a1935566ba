#pragma once

#include "prefixcache.h"
#include "ratelimitcheck.h"
#include "routeservice.h"
#include "targetoptions.h"
#include "work.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <set>

namespace CassiaRelay::StandIns {

/** One target on one port: an engine that streams completions, and plain stages and services that answer JSON calls. */
class StandInTarget
{
public:
    /** Port 0 takes any free port. */
    StandInTarget(boost::asio::io_context &context, TargetOptions options, std::uint16_t port, std::uint64_t seed);

    std::uint16_t port() const;

private:
    using WorkPointer = std::shared_ptr<Work>;

    void listen();
    void handle(const Net::HttpExchangePointer &exchange);
    void control(const Net::HttpExchangePointer &exchange, const std::string &path, const nlohmann::json &body);
    void work(const Net::HttpExchangePointer &exchange, const std::string &path, const nlohmann::json &body);
    void routedWork(const Net::HttpExchangePointer &exchange, const std::string &path, const nlohmann::json &body);
    void refuseBusy(const Net::HttpExchangePointer &exchange);
    void fallOverIfBrittle();
    bool refuses(const Net::HttpExchangePointer &exchange, const nlohmann::json &body);
    void enqueue(const WorkPointer &work, std::chrono::milliseconds firstDelay);
    void abandon(const WorkPointer &work);
    void startNext();
    void onEnd(const WorkPointer &work, WorkEnd reason, int tokens);
    void answerCall(const Net::HttpExchangePointer &exchange, const std::string &answer);
    void setFault(const nlohmann::json &fault);
    void order(const Net::HttpExchangePointer &exchange, const nlohmann::json &body);
    void cancel(const std::string &id);
    void becomeCold();
    void die();
    void restart();
    void sampleLoad();
    nlohmann::json stats() const;
    int concurrency() const;
    TargetLoad load() const;

    boost::asio::io_context &m_context;
    TargetOptions m_options;
    TargetFaults m_faults;
    TargetTotals m_totals;
    std::vector<std::unique_ptr<Net::HttpServer>> m_servers; ///< the last one listens while the target lives
    boost::asio::steady_timer m_restartTimer;
    boost::asio::steady_timer m_loadTimer;
    std::uint16_t m_port;
    std::uint64_t m_incarnation;
    bool m_alive = true;
    bool m_cold;
    int m_successes = 0;
    PrefixCache m_prefixes;
    std::set<WorkPointer> m_running;
    std::deque<std::pair<WorkPointer, std::chrono::milliseconds>> m_waiting;
    std::map<std::string, std::uint64_t> m_runs;
    RateLimitCheck m_rateLimit;
    std::optional<MonotonicTime> m_leavingSince; ///< its answers say that it is leaving
    std::uint64_t m_arrivalsAfterLeaving = 0;
    std::optional<std::chrono::milliseconds> m_refusalPause; ///< its refusals ask for this pause
    std::optional<MonotonicTime> m_pausedSince;              ///< first refusal that asked for a pause
    std::uint64_t m_arrivalsWhilePaused = 0;
    std::optional<int> m_maxRefusals; ///< it is brittle: with more in a second it falls over, and none may wait
    std::deque<MonotonicTime> m_refusals;
    std::optional<RouteService> m_routes;                          ///< of targets that serve routes of the users
    std::pair<Net::HttpExchangePointer, std::string> m_heldAnswer; ///< of the crossed fault
    std::int64_t m_highestFence = 0;
    nlohmann::json m_orders = nlohmann::json::array();
    nlohmann::json m_load;
    std::chrono::system_clock::time_point m_lastAttempt;
};

} // namespace CassiaRelay::StandIns
