#pragma once

#include "httpclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <routing/routing.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace CassiaRelay::Net {

/** Reads a load report; nothing when it is malformed. */
std::optional<Routing::LoadReport> parseLoadReport(const std::string &text);

/** Asks every published target for its load, one call at a time each. Lives on one thread. */
class LoadPoller : public std::enable_shared_from_this<LoadPoller>
{
public:
    using ReportHandler = std::function<void(const TargetId &, const Routing::LoadReport &)>;

    /** @param context is run by the thread that uses the poller; the handler is called there */
    LoadPoller(boost::asio::io_context &context, HttpClient &client, RandomSource::result_type seed, ReportHandler handler);

    void start();
    /** The handler is not called any more. */
    void stop();
    /** Polls the targets of this table from now on. */
    void adopt(std::shared_ptr<const Routing::TargetTable> targets);

private:
    struct Poll {
        MonotonicTime next;
        std::shared_ptr<HttpCall> call; ///< null while none is in flight
    };

    void tick();
    void poll(const Routing::Target &target, Poll &poll);
    void finish(const TargetId &target, const std::string &answer);
    Duration jittered(Duration duration);

    boost::asio::io_context &m_context;
    HttpClient &m_client;
    RandomSource m_random;
    ReportHandler m_handler;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<const Routing::TargetTable> m_targets;
    std::map<TargetId, Poll> m_polls;
    std::size_t m_inFlight = 0;
    bool m_stopped = false;
};

} // namespace CassiaRelay::Net
