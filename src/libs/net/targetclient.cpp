#include "targetclient.h"

#include "jsontext.h"

namespace CassiaRelay::Net {

using nlohmann::json;
using Pipeline::AttemptFailure;
using Routing::AttemptOutcome;

namespace {

constexpr std::size_t MAX_ANSWER_BYTES = 8 * 1024 * 1024;
constexpr std::size_t MAX_EVENT_BYTES = 256 * 1024;
constexpr std::chrono::seconds CANCEL_TIMEOUT { 1 };
constexpr unsigned STATUS_OK = 200;
constexpr unsigned STATUS_SERVICE_UNAVAILABLE = 503;
constexpr unsigned STATUS_TOO_MANY_REQUESTS = 429;

AttemptOutcome toOutcome(CallFailure failure)
{
    switch (failure) {
    case CallFailure::NotSent:
    case CallFailure::Withheld:
    case CallFailure::Refused:
        return AttemptOutcome::Unreachable;
    case CallFailure::ConnectionLost:
    case CallFailure::Unresponsive:
        return AttemptOutcome::ConnectionLost;
    case CallFailure::TimedOut:
        return AttemptOutcome::TimedOut;
    case CallFailure::Malformed:
        return AttemptOutcome::Failed;
    }
    return AttemptOutcome::Failed;
}

/** Reads the response of one attempt. */
class ResponseReader
{
public:
    ResponseReader(Schema::StageKind kind, TargetCallHandlers handlers)
        : m_kind(kind)
        , m_handlers(std::move(handlers))
    {
    }

    void onHead(const HttpCallHead &head)
    {
        m_status = head.status;
    }

    void onBody(const std::string &part)
    {
        m_body += part;
        if (m_kind == Schema::StageKind::Generate && m_status == STATUS_OK) {
            readEvents();
        }
        const std::size_t limit = m_kind == Schema::StageKind::Generate ? MAX_EVENT_BYTES : MAX_ANSWER_BYTES;
        if (m_body.size() > limit) {
            m_tooLong = true;
            m_body.clear();
        }
    }

    void onFinished()
    {
        if (m_tooLong) {
            fail(AttemptOutcome::Failed, "the target's answer is too long");
        } else if (m_status == STATUS_SERVICE_UNAVAILABLE || m_status == STATUS_TOO_MANY_REQUESTS) {
            fail(AttemptOutcome::Refused, "the target is too busy");
        } else if (m_status != STATUS_OK) {
            fail(AttemptOutcome::Failed, "the target answered with status " + std::to_string(m_status));
        } else if (m_kind == Schema::StageKind::Generate) {
            finishEvents();
        } else {
            finishCall();
        }
    }

    void onFailed(CallFailure failure, const std::string &detail)
    {
        fail(toOutcome(failure), detail);
    }

private:
    void readEvents()
    {
        std::size_t end = 0;
        while ((end = m_body.find('\n')) != std::string::npos) {
            std::string line = m_body.substr(0, end);
            m_body.erase(0, end + 1);
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            readLine(line);
        }
    }

    // Targets send one line of data in each event.
    void readLine(const std::string &line)
    {
        constexpr std::string_view DATA = "data:";
        constexpr std::string_view ERROR_EVENT = "event: error";
        if (line == ERROR_EVENT) {
            m_problem = "the target sent an error event";
            return;
        }
        if (line.compare(0, DATA.size(), DATA) != 0 || !m_problem.empty()) {
            return;
        }
        const std::size_t start = line.find_first_not_of(' ', DATA.size());
        readData(start == std::string::npos ? std::string() : line.substr(start));
    }

    void readData(const std::string &data)
    {
        if (data == "[DONE]") {
            m_streamDone = true;
            return;
        }
        const std::optional<json> document = parseJson(data);
        const json::json_pointer text("/choices/0/text");
        if (document && document->contains("error")) {
            m_problem = "the target sent an error event";
            return;
        }
        if (m_streamDone || !document || !document->contains(text) || !document->at(text).is_string()) {
            m_problem = "the target sent an event that is not a part of a completion";
            return;
        }
        const auto offset = document->find("offset");
        const std::string &fresh = document->at(text).get_ref<const std::string &>();
        m_handlers.onText(offset != document->end() && offset->is_number_unsigned() ? offset->get<std::uint64_t>() : m_received, fresh);
        m_received += fresh.size();
    }

    void finishEvents()
    {
        if (!m_problem.empty()) {
            fail(AttemptOutcome::Failed, m_problem);
            return;
        }
        if (!m_streamDone) {
            fail(AttemptOutcome::ConnectionLost, "the target's stream ended before its last event");
            return;
        }
        m_handlers.onSucceeded(json());
    }

    void finishCall()
    {
        std::optional<json> result = parseJson(m_body);
        if (!result) {
            fail(AttemptOutcome::Failed, "the target's answer is not JSON, or is nested too deeply");
            return;
        }
        m_handlers.onSucceeded(*std::move(result));
    }

    void fail(AttemptOutcome outcome, const std::string &detail)
    {
        m_handlers.onFailed({ outcome, detail });
    }

    Schema::StageKind m_kind;
    TargetCallHandlers m_handlers;
    unsigned m_status = 0;
    std::string m_body;
    std::uint64_t m_received = 0;
    bool m_streamDone = false;
    std::string m_problem; ///< what is wrong with the events, empty while they are right
    bool m_tooLong = false;
};

} // namespace

TargetClient::TargetClient(HttpClient &client)
    : m_client(client)
{
}

std::shared_ptr<HttpCall> TargetClient::send(TargetCallRequest request, TargetCallHandlers handlers)
{
    auto reader = std::make_shared<ResponseReader>(request.attempt.kind, std::move(handlers));
    HttpCallRequest call;
    call.address = request.address;
    call.port = request.port;
    call.method = "POST";
    call.path = request.attempt.path;
    call.fields = { { "X-Request-Id", request.attempt.attempt.value() } };
    call.body = std::move(request.attempt.body);
    call.deadline = request.attempt.deadline;
    call.sendBefore = request.sendBefore;
    call.reuseConnection = request.repeatable;
    return m_client.send(std::move(call),
                         {
                             [reader](const HttpCallHead &head) { reader->onHead(head); },
                             [reader](const std::string &part) { reader->onBody(part); },
                             [reader] { reader->onFinished(); },
                             [reader](CallFailure failure, const std::string &detail) { reader->onFailed(failure, detail); },
                         });
}

void TargetClient::cancelAtTarget(const TargetCallRequest &request)
{
    HttpCallRequest call;
    call.address = request.address;
    call.port = request.port;
    call.method = "POST";
    call.path = "/cancel";
    call.body = json { { "request_id", request.attempt.attempt.value() } }.dump();
    call.deadline = std::chrono::steady_clock::now() + CANCEL_TIMEOUT;
    m_client.send(std::move(call), {});
}

} // namespace CassiaRelay::Net
