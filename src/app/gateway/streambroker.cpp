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
// Age of what a daemon of an earlier version knows of the store: a pause, a watch and a call that fails.
constexpr std::chrono::milliseconds MAX_UNSTATED_AGE { 3000 };
constexpr std::chrono::milliseconds QUERY_TIMEOUT { 200 }; // the caller waits meanwhile; peers respond within a few milliseconds

} // namespace

/** The search for the origin of one stream. */
struct StreamBroker::Search {
    ResumedStream resumed;
    FoundHandler onFound; ///< empty once it was called
    MonotonicTime startedAt;
    std::size_t openQueries = 0;
    bool haveAllAnswered = true;
    std::vector<Gateway::SoleVersion> seenByOthers;
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

void StreamBroker::setUpdateFunction(UpdateFunction function)
{
    m_updateCatalogue = std::move(function);
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
    const std::optional<Gateway::StreamOrigin> known = resumed.stream ? m_directory.find(*resumed.stream) : std::nullopt;
    if (known) {
        boost::asio::post(m_context, [known, onFound = std::move(onFound)] { onFound({ known }); });
        return;
    }
    auto search = std::make_shared<Search>();
    search->resumed = resumed;
    search->onFound = std::move(onFound);
    search->startedAt = std::chrono::steady_clock::now();
    // A stream without a name has no record. The others may still have followed the store for longer than this daemon.
    const bool isSole = resumed.service && m_catalogue.soleVersion(*resumed.service, search->startedAt);
    const bool isUseful = resumed.stream || (isSole && !soleOrigin(*search));
    const std::vector<Gateway::Member> others = m_members.ranked(resumed.stream.value_or(resumed.request).value(), ASKED);
    if (!isUseful || others.empty()) {
        boost::asio::post(m_context, [this, search] { proveOrigin(search); });
        return;
    }
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
        const MonotonicTime now = std::chrono::steady_clock::now();
        const std::optional<Gateway::SoleVersion> sole =
            message.service ? m_catalogue.soleVersion(Gateway::ServiceName(*message.service), now) : std::nullopt;
        Schema::StreamAnswer answer;
        if (origin) {
            answer.service = origin->service.value();
            answer.version = origin->softwareVersion;
        }
        if (sole) {
            answer.soleVersion = sole->softwareVersion;
            answer.aloneMs = std::chrono::duration_cast<std::chrono::milliseconds>(sole->alone).count();
            answer.asOfMs = std::chrono::duration_cast<std::chrono::milliseconds>(now - sole->asOf).count();
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
        std::optional<Schema::StreamAnswer> answer;
        try {
            if (*status == STATUS_OK) {
                answer = Schema::parseBoundedCbor(*body).get<Schema::StreamAnswer>();
            }
        } catch (const std::exception &error) {
            m_log.write("invalid stream answer", { { "reason", error.what() } }, std::chrono::steady_clock::now());
        }
        onAnswer(search, answer);
    };
    handlers.onFailed = [this, search](Net::CallFailure, const std::string &reason) {
        m_log.write("stream query failed",
                    { { "request", search->resumed.request.value() }, { "reason", reason } },
                    std::chrono::steady_clock::now());
        onAnswer(search, std::nullopt);
    };
    m_peerClient.send(std::move(request), std::move(handlers));
}

// The first daemon that knows the stream decides: a stream is bound to one version, so all copies are equal.
void StreamBroker::onAnswer(const std::shared_ptr<Search> &search, const std::optional<Schema::StreamAnswer> &answer)
{
    --search->openQueries;
    if (!search->onFound) {
        return;
    }
    search->haveAllAnswered = search->haveAllAnswered && answer;
    if (answer && answer->service && answer->version) {
        finish(*search, { Gateway::StreamOrigin { Gateway::ServiceName(*answer->service), *answer->version } });
        return;
    }
    if (answer && answer->soleVersion && answer->aloneMs) {
        const Duration age = answer->asOfMs ? Duration(std::chrono::milliseconds(*answer->asOfMs)) : Duration(MAX_UNSTATED_AGE);
        search->seenByOthers.push_back({ *answer->soleVersion, std::chrono::milliseconds(*answer->aloneMs), search->startedAt - age });
    }
    if (search->openQueries == 0) {
        proveOrigin(search);
    }
}

// A target of another version may have been published, and may have begun the stream, since the store last answered this daemon.
void StreamBroker::proveOrigin(const std::shared_ptr<Search> &search)
{
    if (!soleOrigin(*search) || !m_updateCatalogue) {
        finish(*search, { std::nullopt, search->haveAllAnswered });
        return;
    }
    m_updateCatalogue([this, search](bool isCurrent) {
        const std::optional<Gateway::StreamOrigin> origin = isCurrent ? soleOrigin(*search) : std::nullopt;
        const MonotonicTime now = std::chrono::steady_clock::now();
        m_log.write(
            "origin without a record",
            { { "request", search->resumed.request.value() },
              { "version", origin ? origin->softwareVersion : "unknown" },
              { "store", isCurrent ? "current" : "not heard" },
              { "waited_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - search->startedAt).count()) } },
            now);
        finish(*search, { origin, isCurrent && search->haveAllAnswered });
    });
}

void StreamBroker::finish(Search &search, const Gateway::FoundOrigin &found)
{
    if (!found.origin) {
        m_unknownCounter.add();
    } else if (search.resumed.stream) {
        m_directory.record(*search.resumed.stream, *found.origin, std::chrono::steady_clock::now());
    }
    std::exchange(search.onFound, nullptr)(found);
}

// What another daemon has seen counts for the time before this one has followed the store, if there is no gap between.
std::optional<Gateway::StreamOrigin> StreamBroker::soleOrigin(const Search &search) const
{
    if (!search.resumed.service) {
        return std::nullopt;
    }
    const MonotonicTime now = std::chrono::steady_clock::now();
    const std::optional<Gateway::SoleVersion> here = m_catalogue.soleVersion(*search.resumed.service, now);
    if (!here) {
        return std::nullopt;
    }
    bool isProven = here->hasBegunAllStreams(search.resumed.maxAge);
    for (const Gateway::SoleVersion &seen : search.seenByOthers) {
        const bool hasNoGap = seen.asOf >= now - here->alone;
        isProven =
            isProven || (hasNoGap && seen.softwareVersion == here->softwareVersion && seen.hasBegunAllStreams(search.resumed.maxAge));
    }
    return isProven ? std::optional(Gateway::StreamOrigin { *search.resumed.service, here->softwareVersion }) : std::nullopt;
}

} // namespace CassiaRelay::GatewayDaemon
