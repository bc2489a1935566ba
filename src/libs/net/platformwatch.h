#pragma once

#include "httpclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <schema/schema.h>

#include <functional>
#include <memory>
#include <string>

namespace CassiaRelay::Net {

/** Watches one key of the configuration service; backs off with jitter while it fails. Lives on one thread. */
class PlatformWatch
{
public:
    using DocumentHandler = std::function<void(const Schema::Document &)>;
    /** Called for each answer, with or without news. */
    using AnswerHandler = std::function<void()>;

    PlatformWatch(boost::asio::io_context &context,
                  HttpClient &client,
                  Schema::Endpoint platform,
                  std::string key,
                  RandomSource::result_type seed,
                  DocumentHandler handler,
                  AnswerHandler answerHandler);

    void start();
    void stop();
    /** Calls made so far. */
    std::uint64_t reads() const;

private:
    void read();
    void onAnswer();
    void onFailure();
    void readAfter(Duration delay);

    boost::asio::io_context &m_context;
    HttpClient &m_client;
    Schema::Endpoint m_platform;
    std::string m_key;
    RandomSource m_random;
    DocumentHandler m_handler;
    AnswerHandler m_answerHandler;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<HttpCall> m_call;
    unsigned m_status = 0;
    std::int64_t m_answerRevision = 0;
    std::string m_body;
    std::int64_t m_revision = 0;
    Duration m_backOff;
    std::uint64_t m_reads = 0;
    bool m_stopped = false;
};

} // namespace CassiaRelay::Net
