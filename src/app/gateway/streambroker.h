#pragma once

#include "eventlog.h"

#include <gateway/gateway.h>
#include <metrics/metrics.h>
#include <net/net.h>

#include <functional>
#include <memory>
#include <optional>

namespace CassiaRelay::GatewayDaemon {

/** What is known of a stream that a caller resumes here. */
struct ResumedStream {
    std::optional<RequestId> stream; ///< request that brought its first event, if the caller names it
    RequestId request;
    std::optional<Gateway::ServiceName> service; ///< that must have run it; no value if there are several
    Duration maxAge {};                          ///< longest time since it began
};

/** Tells other daemons where streams begin, and finds out where a stream began that a caller resumes here. */
class StreamBroker
{
public:
    using FoundHandler = std::function<void(const Gateway::FoundOrigin &)>;
    /** Calls the handler when the catalogue is up to date, or with false if the store can't be asked. */
    using UpdateFunction = std::function<void(std::function<void(bool isCurrent)>)>;

    StreamBroker(boost::asio::io_context &context,
                 Net::HttpClient &peerClient,
                 Gateway::Members &members,
                 const Gateway::Catalogue &catalogue,
                 Metrics::Registry &metrics,
                 EventLog &log);

    /** Without it, only records tell where a stream began. */
    void setUpdateFunction(UpdateFunction function);
    void record(const RequestId &stream, const Gateway::StreamOrigin &origin);
    /**
     * Finds the origin of a stream: from a record of any daemon, or because only one version can have begun it.
     * @param onFound called later in any case; without a value if the origin is not certain
     */
    void find(const ResumedStream &resumed, FoundHandler onFound);
    void removeExpired();

    void handleRecord(const Net::HttpExchangePointer &exchange);
    void handleQuery(const Net::HttpExchangePointer &exchange);

    static constexpr const char *RECORDS_PATH = "/cell/streams";
    static constexpr const char *QUERIES_PATH = "/cell/stream-origin";

private:
    struct Search;

    void ask(const Gateway::Member &member, const std::shared_ptr<Search> &search);
    /** @param answer no value if the daemon has not answered */
    void onAnswer(const std::shared_ptr<Search> &search, const std::optional<Schema::StreamAnswer> &answer);
    /** Nobody has a record of the stream. */
    void proveOrigin(const std::shared_ptr<Search> &search);
    void finish(Search &search, const Gateway::FoundOrigin &found);
    /** The origin if targets of the service have run a single version since before the stream can have begun, as far as is known here. */
    std::optional<Gateway::StreamOrigin> soleOrigin(const Search &search) const;

    boost::asio::io_context &m_context;
    Net::HttpClient &m_peerClient;
    const Gateway::Members &m_members;
    const Gateway::Catalogue &m_catalogue;
    EventLog &m_log;
    Metrics::Counter &m_recordCounter;
    Metrics::Counter &m_queryCounter;
    Metrics::Counter &m_unknownCounter;
    Gateway::StreamDirectory m_directory;
    UpdateFunction m_updateCatalogue;
};

} // namespace CassiaRelay::GatewayDaemon
