#include "streambroker.h"

#include "callrequests.h"

#include <boost/asio/post.hpp>

namespace CassiaRelay::GatewayDaemon {

namespace {

constexpr unsigned STATUS_BAD_REQUEST = 400;
constexpr unsigned STATUS_OK = 200;
constexpr std::size_t COPIES = 2; // at other daemons; two daemons may be lost at a time, one of them with the stream
constexpr std::size_t ASKED = 4;  // daemons that were lost or have started since may come before those with a copy
constexpr std::chrono::milliseconds RECORD_TIMEOUT { 1000 };
constexpr std::chrono::milliseconds QUERY_TIMEOUT { 200 }; // the caller waits meanwhile; peers respond within a few milliseconds

} // namespace

/** The search for the origin of one stream. */
struct StreamBroker::Search {
    ResumedStream resumed;
    FoundHandler onFound; ///< empty once it was called
    std::size_t openQueries = 0;
};

StreamBroker::StreamBroker(boost::asio::io_context &context,
                           Net::HttpClient &peerClient,
                           Gateway::Members &members,
                           const Gateway::Catalogue &catalogue,
                           Metrics::Registry &metrics,
                           EventLog &log)
    : m_context(context)
    , m_peerClient(peerClient)
    , m_members(members)
    , m_catalogue(catalogue)
    , m_log(log)
    , m_recordCounter(metrics.counter("cassiarelay_stream_records_sent_total"))
    , m_queryCounter(metrics.counter("cassiarelay_stream_queries_sent_total"))
    , m_unknownCounter(metrics.counter("cassiarelay_streams_unknown_total"))
{
}

void StreamBroker::record(const RequestId &stream, const Gateway::StreamOrigin &origin)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    m_directory.record(stream, origin, now);
    Schema::StreamRecord message;
    message.stream = stream.value();
    message.service = origin.service.value();
    message.version = origin.softwareVersion;
    const std::string body = Schema::toCbor(message);
    for (const Gateway::Member &member : m_members.ranked(stream.value(), COPIES)) {
        m_recordCounter.add();
        Net::HttpCallRequest request = peerRequest(member.endpoint, RECORDS_PATH, body);
        request.deadline = now + RECORD_TIMEOUT;
        const auto onFailed = [this, stream, vm = member.vm](const std::string &reason) {
            m_log.write("stream not recorded",
                        { { "request", stream.value() }, { "vm", vm.value() }, { "reason", reason } },
                        std::chrono::steady_clock::now());
        };
        Net::HttpCallHandlers handlers;
        handlers.onHead = [onFailed](const Net::HttpCallHead &head) {
            if (head.status != STATUS_OK) {
                onFailed("status " + std::to_string(head.status));
            }
        };
        handlers.onFailed = [onFailed](Net::CallFailure, const std::string &reason) { onFailed(reason); };
        m_peerClient.send(std::move(request), std::move(handlers));
    }
}

void StreamBroker::find(const ResumedStream &resumed, FoundHandler onFound)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    std::optional<Gateway::StreamOrigin> known = resumed.stream ? m_directory.find(*resumed.stream) : std::nullopt;
    const std::optional<Gateway::SoleVersion> sole = resumed.service ? m_catalogue.soleVersion(*resumed.service, now) : std::nullopt;
    if (!known) {
        known = provenOrigin(resumed, sole);
    }
    // Without a record, and with several versions listed, the others can't know more.
    const bool isUseful = resumed.stream || sole;
    const std::vector<Gateway::Member> others = m_members.ranked(resumed.stream.value_or(resumed.request).value(), ASKED);
    if (known || !isUseful || others.empty()) {
        boost::asio::post(m_context, [known, onFound = std::move(onFound)] { onFound(known); });
        return;
    }
    auto search = std::make_shared<Search>();
    search->resumed = resumed;
    search->onFound = std::move(onFound);
    search->openQueries = others.size();
    for (const Gateway::Member &member : others) {
        ask(member, search);
    }
}

void StreamBroker::removeExpired()
{
    m_directory.removeExpired(std::chrono::steady_clock::now());
}

void StreamBroker::handleRecord(const Net::HttpExchangePointer &exchange)
{
    Net::HttpResponse response;
    response.contentType.clear();
    const MonotonicTime now = std::chrono::steady_clock::now();
    try {
        const auto message = Schema::parseBoundedCbor(exchange->request().body()).get<Schema::StreamRecord>();
        m_directory.record(RequestId(message.stream), { Gateway::ServiceName(message.service), message.version }, now);
    } catch (const std::exception &error) {
        m_log.write("invalid stream record", { { "reason", error.what() } }, now);
        response.status = STATUS_BAD_REQUEST;
    }
    exchange->respond(std::move(response));
}

void StreamBroker::handleQuery(const Net::HttpExchangePointer &exchange)
{
    Net::HttpResponse response;
    response.contentType = "application/cbor";
    try {
        const auto message = Schema::parseBoundedCbor(exchange->request().body()).get<Schema::StreamQuery>();
        const std::optional<Gateway::StreamOrigin> origin = m_directory.find(RequestId(message.stream));
        const std::optional<Gateway::SoleVersion> sole = message.service
            ? m_catalogue.soleVersion(Gateway::ServiceName(*message.service), std::chrono::steady_clock::now())
            : std::nullopt;
        Schema::StreamAnswer answer;
        if (origin) {
            answer.service = origin->service.value();
            answer.version = origin->softwareVersion;
        }
        if (sole) {
            answer.soleVersion = sole->softwareVersion;
            answer.aloneMs = std::chrono::duration_cast<std::chrono::milliseconds>(sole->alone).count();
        }
        response.body = Schema::toCbor(answer);
    } catch (const std::exception &error) {
        m_log.write("invalid stream query", { { "reason", error.what() } }, std::chrono::steady_clock::now());
        response.status = STATUS_BAD_REQUEST;
    }
    exchange->respond(std::move(response));
}

void StreamBroker::ask(const Gateway::Member &member, const std::shared_ptr<Search> &search)
{
    m_queryCounter.add();
    Schema::StreamQuery message;
    message.stream = search->resumed.stream ? search->resumed.stream->value() : std::string();
    if (search->resumed.service) {
        message.service = search->resumed.service->value();
    }
    Net::HttpCallRequest request = peerRequest(member.endpoint, QUERIES_PATH, Schema::toCbor(message));
    request.deadline = std::chrono::steady_clock::now() + QUERY_TIMEOUT;
    auto status = std::make_shared<unsigned>(0);
    auto body = std::make_shared<std::string>();
    Net::HttpCallHandlers handlers;
    handlers.onHead = [status](const Net::HttpCallHead &head) { *status = head.status; };
    handlers.onBody = [body](const std::string &part) { *body += part; };
    handlers.onFinished = [this, search, status, body] {
        Schema::StreamAnswer answer;
        try {
            answer = *status == STATUS_OK ? Schema::parseBoundedCbor(*body).get<Schema::StreamAnswer>() : Schema::StreamAnswer {};
        } catch (const std::exception &error) {
            m_log.write("invalid stream answer", { { "reason", error.what() } }, std::chrono::steady_clock::now());
        }
        onAnswer(search, answer);
    };
    handlers.onFailed = [this, search](Net::CallFailure, const std::string &reason) {
        m_log.write("stream query failed",
                    { { "request", search->resumed.request.value() }, { "reason", reason } },
                    std::chrono::steady_clock::now());
        onAnswer(search, {});
    };
    m_peerClient.send(std::move(request), std::move(handlers));
}

// The first daemon that knows the stream decides: a stream is bound to one version, so all copies are equal.
void StreamBroker::onAnswer(const std::shared_ptr<Search> &search, const Schema::StreamAnswer &answer)
{
    --search->openQueries;
    if (!search->onFound) {
        return;
    }
    const ResumedStream &resumed = search->resumed;
    if (answer.service && answer.version) {
        finish(*search, Gateway::StreamOrigin { Gateway::ServiceName(*answer.service), *answer.version });
        return;
    }
    std::optional<Gateway::StreamOrigin> proven;
    if (answer.soleVersion && answer.aloneMs) {
        proven = provenOrigin(resumed, Gateway::SoleVersion { *answer.soleVersion, std::chrono::milliseconds(*answer.aloneMs) });
    }
    if (proven || search->openQueries == 0) {
        finish(*search, proven);
    }
}

void StreamBroker::finish(Search &search, const std::optional<Gateway::StreamOrigin> &origin)
{
    if (!origin) {
        m_unknownCounter.add();
    } else if (search.resumed.stream) {
        m_directory.record(*search.resumed.stream, *origin, std::chrono::steady_clock::now());
    }
    std::exchange(search.onFound, nullptr)(origin);
}

std::optional<Gateway::StreamOrigin> StreamBroker::provenOrigin(const ResumedStream &resumed,
                                                                const std::optional<Gateway::SoleVersion> &seen) const
{
    if (!resumed.service || !seen || !seen->hasBegunAllStreams(resumed.maxAge)) {
        return std::nullopt;
    }
    const std::optional<Gateway::SoleVersion> here = m_catalogue.soleVersion(*resumed.service, std::chrono::steady_clock::now());
    if (!here || here->softwareVersion != seen->softwareVersion) {
        return std::nullopt;
    }
    return Gateway::StreamOrigin { *resumed.service, seen->softwareVersion };
}

} // namespace CassiaRelay::GatewayDaemon
