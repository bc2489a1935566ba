#pragma once

#include "answercheck.h"
#include "loadplan.h"

#include <net/net.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace CassiaRelay::Load {

/** How one request ended for its caller. */
enum class Ending {
    InTime,
    Late,    ///< whole, after its deadline
    Refused, ///< a problem document
    Wrong,   ///< well ended, but not the answer to this request
    Cut,     ///< no well-ended answer and no problem document
};

std::string_view toString(Ending ending);

/** What is kept of one request. */
struct CallRecord {
    std::size_t stream = 0;
    std::chrono::microseconds at { 0 }; ///< arrival since the start of the run
    Ending ending = Ending::Cut;
    std::string detail; ///< kind and outcome of a refusal, or what is wrong
    Duration latency {};
    std::optional<Duration> firstToken;
    std::size_t bytes = 0;
};

/** Where calls go. */
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;
};

/** One request under way. */
class LoadCall : public std::enable_shared_from_this<LoadCall>
{
public:
    using Handler = std::function<void(const CallRecord &)>;

    LoadCall(const StreamPlan &stream, const Arrival &arrival, bool direct, Handler handler);

    void start(Net::HttpClient &client, const Endpoint &endpoint);

private:
    Net::HttpCallRequest request(const Endpoint &endpoint) const;
    void onBody(const std::string &part);
    void readEvent(const std::string &event);
    void readDocument();
    void finish();
    void fail(const std::string &detail);
    bool isEventStream() const;

    const StreamPlan &m_stream;
    const Arrival &m_arrival;
    bool m_direct;
    Handler m_handler;
    MonotonicTime m_startedAt;
    CallRecord m_record;
    ReceivedAnswer m_answer;
    unsigned m_status = 0;
    std::string m_contentType;
    std::string m_body;
};

} // namespace CassiaRelay::Load
