#pragma once

#include "eventlog.h"

#include <gateway/gateway.h>
#include <metrics/metrics.h>
#include <net/net.h>

#include <functional>
#include <memory>
#include <optional>

namespace CassiaRelay::GatewayDaemon {

/** Tells other daemons where streams begin, and finds out where a stream began that a caller resumes here. */
class StreamBroker
{
public:
    using FoundHandler = std::function<void(const std::optional<Gateway::StreamOrigin> &)>;

    StreamBroker(boost::asio::io_context &context,
                 Net::HttpClient &peerClient,
                 Gateway::Members &members,
                 Metrics::Registry &metrics,
                 EventLog &log);

    void record(const RequestId &stream, const Gateway::StreamOrigin &origin);
    /** @param onFound called later in any case; without a value if no daemon that was asked knows the stream */
    void find(const RequestId &stream, FoundHandler onFound);
    void removeExpired();

    void handleRecord(const Net::HttpExchangePointer &exchange);
    void handleQuery(const Net::HttpExchangePointer &exchange);

    static constexpr const char *RECORDS_PATH = "/cell/streams";
    static constexpr const char *QUERIES_PATH = "/cell/stream-origin";

private:
    struct Search;

    void ask(const Gateway::Member &member, const std::shared_ptr<Search> &search);
    void onAnswer(const std::shared_ptr<Search> &search, const std::optional<Gateway::StreamOrigin> &origin);

    boost::asio::io_context &m_context;
    Net::HttpClient &m_peerClient;
    const Gateway::Members &m_members;
    EventLog &m_log;
    Metrics::Counter &m_recordCounter;
    Metrics::Counter &m_queryCounter;
    Metrics::Counter &m_unknownCounter;
    Gateway::StreamDirectory m_directory;
};

} // namespace CassiaRelay::GatewayDaemon
