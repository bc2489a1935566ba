#include "loadpoller.h"

#include "jsontext.h"

#include <boost/asio/post.hpp>

namespace CassiaRelay::Net {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds POLL_INTERVAL { 500 };
constexpr std::chrono::milliseconds POLL_TIMEOUT { 1000 };
constexpr std::chrono::milliseconds TICK_INTERVAL { 25 };
constexpr std::size_t MAX_IN_FLIGHT = 32;
constexpr std::size_t MAX_REPORT_BYTES = 4096;
constexpr double JITTER = 0.25;
constexpr unsigned STATUS_OK = 200;

int countIn(const json &document, const char *name)
{
    const auto found = document.find(name);
    return found != document.end() && found->is_number_unsigned() ? found->get<int>() : 0;
}

} // namespace

std::optional<Routing::LoadReport> parseLoadReport(const std::string &text)
{
    const std::optional<json> document = parseJson(text);
    if (!document || !document->is_object() || !document->contains("running")) {
        return std::nullopt;
    }
    Routing::LoadReport report;
    report.running = countIn(*document, "running");
    report.queued = countIn(*document, "queued");
    const auto incarnation = document->find("incarnation");
    if (incarnation != document->end() && incarnation->is_number_unsigned()) {
        report.incarnation = Incarnation(incarnation->get<std::uint64_t>());
    }
    const auto cold = document->find("cold");
    report.cold = cold != document->end() && cold->is_boolean() && cold->get<bool>();
    return report;
}

LoadPoller::LoadPoller(boost::asio::io_context &context, HttpClient &client, RandomSource::result_type seed, ReportHandler handler)
    : m_context(context)
    , m_client(client)
    , m_random(seed)
    , m_handler(std::move(handler))
    , m_timer(context)
    , m_targets(std::make_shared<const Routing::TargetTable>())
{
}

void LoadPoller::start()
{
    tick();
}

void LoadPoller::stop()
{
    m_stopped = true;
    m_timer.cancel();
    for (const auto &[target, poll] : m_polls) {
        if (poll.call) {
            poll.call->cancel();
        }
    }
    m_polls.clear();
}

void LoadPoller::adopt(std::shared_ptr<const Routing::TargetTable> targets)
{
    m_targets = std::move(targets);
    const MonotonicTime now = std::chrono::steady_clock::now();
    for (const auto &[id, target] : m_targets->targets()) {
        if (m_polls.count(id) == 0) {
            // Spread over the interval: the daemons learn of a new target at the same moment.
            std::uniform_real_distribution<double> part(0, 1);
            m_polls[id].next = now + std::chrono::duration_cast<Duration>(POLL_INTERVAL * part(m_random));
        }
    }
    for (auto poll = m_polls.begin(); poll != m_polls.end();) {
        const bool published = m_targets->find(poll->first) != nullptr;
        poll = published || poll->second.call ? std::next(poll) : m_polls.erase(poll);
    }
}

void LoadPoller::tick()
{
    if (m_stopped) {
        return;
    }
    const MonotonicTime now = std::chrono::steady_clock::now();
    for (auto &[id, entry] : m_polls) {
        const Routing::Target *target = m_targets->find(id);
        if (target == nullptr || entry.call || now < entry.next || m_inFlight >= MAX_IN_FLIGHT) {
            continue;
        }
        poll(*target, entry);
    }
    m_timer.expires_after(TICK_INTERVAL);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->tick();
        }
    });
}

void LoadPoller::poll(const Routing::Target &target, Poll &poll)
{
    HttpCallRequest request;
    request.address = target.address;
    request.port = target.port;
    request.path = "/load";
    request.deadline = std::chrono::steady_clock::now() + POLL_TIMEOUT;
    const auto answer = std::make_shared<std::string>();
    const auto finishWith = [this, weak = weak_from_this(), id = target.id](const std::string &text) {
        boost::asio::post(m_context, [weak, id, text] {
            if (const auto self = weak.lock()) {
                self->finish(id, text);
            }
        });
    };
    HttpCallHandlers handlers;
    const auto status = std::make_shared<unsigned>(0);
    handlers.onHead = [status](const HttpCallHead &head) { *status = head.status; };
    handlers.onBody = [answer](const std::string &part) {
        if (answer->size() < MAX_REPORT_BYTES) {
            *answer += part;
        }
    };
    handlers.onFinished = [answer, status, finishWith] { finishWith(*status == STATUS_OK ? *answer : std::string()); };
    handlers.onFailed = [finishWith](CallFailure, const std::string &) { finishWith({}); };
    poll.next = std::chrono::steady_clock::now() + jittered(POLL_INTERVAL);
    ++m_inFlight;
    poll.call = m_client.send(std::move(request), std::move(handlers));
}

void LoadPoller::finish(const TargetId &target, const std::string &answer)
{
    if (m_stopped) {
        return;
    }
    --m_inFlight;
    const auto entry = m_polls.find(target);
    if (entry != m_polls.end()) {
        entry->second.call = nullptr;
    }
    const std::optional<Routing::LoadReport> report = parseLoadReport(answer);
    if (report && m_targets->find(target) != nullptr) {
        m_handler(target, *report);
    }
}

Duration LoadPoller::jittered(Duration duration)
{
    std::uniform_real_distribution<double> factor(1 - JITTER, 1 + JITTER);
    return std::chrono::duration_cast<Duration>(duration * factor(m_random));
}

} // namespace CassiaRelay::Net
