#include "loadcall.h"

namespace CassiaRelay::Load {

using nlohmann::json;

namespace {

constexpr std::chrono::seconds LATE_ALLOWANCE { 5 }; ///< time after the deadline in which a late answer is still counted as late
constexpr unsigned STATUS_OK = 200;
constexpr int DIRECT_MAX_TOKENS = 100000;
constexpr std::string_view DATA = "data: ";
constexpr std::string_view DONE_EVENT = "event: done\n";
constexpr std::string_view LAST_TARGET_EVENT = "data: [DONE]";

} // namespace

std::string_view toString(Ending ending)
{
    switch (ending) {
    case Ending::InTime:
        return "in-time";
    case Ending::Late:
        return "late";
    case Ending::Refused:
        return "refused";
    case Ending::Wrong:
        return "wrong";
    case Ending::Cut:
        return "cut";
    }
    return "cut";
}

LoadCall::LoadCall(const StreamPlan &stream, const Arrival &arrival, bool direct, Handler handler)
    : m_stream(stream)
    , m_arrival(arrival)
    , m_direct(direct)
    , m_handler(std::move(handler))
{
    m_record.stream = arrival.stream;
    m_record.at = arrival.at;
}

void LoadCall::start(Net::HttpClient &client, const Endpoint &endpoint)
{
    m_startedAt = std::chrono::steady_clock::now();
    Net::HttpCallHandlers handlers;
    handlers.onHead = [self = shared_from_this()](const Net::HttpCallHead &head) {
        self->m_status = head.status;
        const auto type = head.fields.find(boost::beast::http::field::content_type);
        self->m_contentType = type == head.fields.end() ? std::string() : std::string(type->value());
    };
    handlers.onBody = [self = shared_from_this()](const std::string &part) { self->onBody(part); };
    handlers.onFinished = [self = shared_from_this()] { self->finish(); };
    handlers.onFailed = [self = shared_from_this()](Net::CallFailure, const std::string &detail) { self->fail(detail); };
    client.send(request(endpoint), std::move(handlers));
}

Net::HttpCallRequest LoadCall::request(const Endpoint &endpoint) const
{
    Net::HttpCallRequest request;
    request.address = endpoint.address;
    request.port = endpoint.port;
    request.method = "POST";
    request.deadline = m_startedAt + m_stream.deadline + LATE_ALLOWANCE;
    json body = { { "prompt", m_arrival.prompt } };
    if (m_direct) {
        request.path = m_stream.directPath;
        body["max_tokens"] = DIRECT_MAX_TOKENS;
        body["request"] = { { "prompt", m_arrival.prompt } };
    } else {
        request.path = "/v1/pipelines/" + m_stream.pipeline;
        request.fields = { { "Authorization", "Bearer " + m_stream.token },
                           { "Request-Timeout-Ms", std::to_string(m_stream.deadline.count()) } };
    }
    if (m_stream.streamed) {
        request.fields.push_back({ "Accept", "text/event-stream" });
    }
    if (m_stream.idempotencyKey) {
        request.fields.push_back({ "Idempotency-Key", m_arrival.key });
        body["key"] = m_arrival.key;
    }
    request.body = body.dump();
    return request;
}

bool LoadCall::isEventStream() const
{
    return m_contentType == "text/event-stream";
}

void LoadCall::onBody(const std::string &part)
{
    m_record.bytes += part.size();
    m_body += part;
    if (!isEventStream()) {
        return;
    }
    std::size_t end = 0;
    while ((end = m_body.find("\n\n")) != std::string::npos) {
        const std::string event = m_body.substr(0, end);
        m_body.erase(0, end + 2);
        readEvent(event);
    }
}

void LoadCall::readEvent(const std::string &event)
{
    if (event == LAST_TARGET_EVENT) {
        m_answer.done = true;
        m_answer.byteCount = m_answer.text.size();
        return;
    }
    const bool last = event.compare(0, DONE_EVENT.size(), DONE_EVENT) == 0;
    const std::size_t data = event.find(DATA);
    const json document = data == std::string::npos ? json() : json::parse(event.substr(data + DATA.size()), nullptr, false);
    if (!document.is_object()) {
        return;
    }
    const json::json_pointer targetText("/choices/0/text");
    if (last) {
        m_answer.done = true;
        m_answer.byteCount = document.value("byteCount", std::size_t { 0 });
    } else if (document.contains("kind")) {
        m_record.detail = document.value("kind", "") + "/" + document.value("outcome", "");
    } else if (document.contains("results")) {
        m_answer.results = document["results"];
    } else if (document.contains("text") || document.contains(targetText)) {
        m_answer.text += document.contains("text") ? document["text"].get<std::string>() : document[targetText].get<std::string>();
        if (!m_record.firstToken) {
            m_record.firstToken = std::chrono::steady_clock::now() - m_startedAt;
        }
    }
}

void LoadCall::readDocument()
{
    const json document = json::parse(m_body, nullptr, false);
    if (!document.is_object()) {
        return;
    }
    if (m_status != STATUS_OK) {
        m_record.detail = document.value("kind", "") + "/" + document.value("outcome", "");
        return;
    }
    m_answer.done = true;
    if (m_direct) {
        m_answer.results = { { "call", document } };
        return;
    }
    m_answer.results = document.value("results", json::object());
    m_answer.text = document.value("text", "");
    m_answer.byteCount = document.value("byteCount", std::size_t { 0 });
}

void LoadCall::finish()
{
    m_record.latency = std::chrono::steady_clock::now() - m_startedAt;
    if (!isEventStream()) {
        readDocument();
    }
    if (m_status != STATUS_OK) {
        m_record.ending = m_record.detail.empty() ? Ending::Cut : Ending::Refused;
        m_handler(m_record);
        return;
    }
    const bool directText = m_direct && isEventStream();
    const std::string fault = directText ? findTextFault(m_answer.text, m_arrival.prompt) : findFault(m_answer, m_arrival.prompt);
    if (!fault.empty()) {
        m_record.ending = Ending::Wrong;
        m_record.detail = fault;
    } else {
        m_record.ending = m_record.latency <= m_stream.deadline ? Ending::InTime : Ending::Late;
    }
    m_handler(m_record);
}

void LoadCall::fail(const std::string &detail)
{
    m_record.latency = std::chrono::steady_clock::now() - m_startedAt;
    m_record.ending = m_record.detail.empty() ? Ending::Cut : Ending::Refused;
    if (m_record.detail.empty()) {
        m_record.detail = detail;
    }
    m_handler(m_record);
}

} // namespace CassiaRelay::Load
