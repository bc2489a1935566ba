#include "standintarget.h"

namespace CassiaRelay::StandIns {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view COMPLETIONS_PATH = "/v1/completions";
constexpr std::string_view KILLER_MARKER = "KILLER";
constexpr std::size_t PREFIX_BYTES = 64;
constexpr milliseconds PAUSE_GRACE { 500 };        // for requests that are under way
constexpr std::chrono::seconds LEAVING_TIME { 3 }; // each daemon under load has had an answer by then, and 2 s to act on it
constexpr unsigned STATUS_CONFLICT = 409;
constexpr unsigned STATUS_BAD_REQUEST = 400;
constexpr unsigned STATUS_NOT_FOUND = 404;
constexpr unsigned STATUS_BUSY = 503;

const std::set<std::string> CONTROL_PATHS { "/load", "/runs", "/peak", "/stats", "/orders", "/fault", "/reset", "/cancel" };

Net::HttpResponse jsonResponse(const json &body, unsigned status = 200)
{
    return { status, "application/json", body.dump(), {} };
}

std::string field(const Net::HttpRequest &request, const char *name)
{
    const auto found = request.find(name);
    return found == request.end() ? std::string() : std::string(found->value());
}

// The caller's own key comes first: it shows a double run even when the system confuses its ids.
std::string runKey(const Net::HttpRequest &request, const json &body)
{
    const json::json_pointer callerKey("/request/key");
    if (body.contains(callerKey) && body[callerKey].is_string()) {
        return body[callerKey];
    }
    const std::string header = field(request, "Idempotency-Key");
    return header.empty() ? body.value("requestId", field(request, "X-Request-Id")) : header;
}

} // namespace

StandInTarget::StandInTarget(boost::asio::io_context &context, TargetOptions options, std::uint16_t port, std::uint64_t seed)
    : m_context(context)
    , m_options(std::move(options))
    , m_restartTimer(context)
    , m_loadTimer(context)
    , m_port(port)
    , m_incarnation(seed + 1)
    , m_cold(m_options.startsCold)
    , m_prefixes(m_options.prefixSlots)
{
    if (!m_options.instance.empty()) {
        m_routes.emplace(context, m_options, [this](const WorkPointer &work, milliseconds firstDelay) { enqueue(work, firstDelay); });
    }
    listen();
    sampleLoad();
}

std::uint16_t StandInTarget::port() const
{
    return m_port;
}

void StandInTarget::listen()
{
    m_servers.push_back(std::make_unique<Net::HttpServer>(
        m_context, "127.0.0.1", m_port, Net::HttpLimits {}, [this](const Net::HttpExchangePointer &exchange) { handle(exchange); }));
    m_servers.back()->start();
    m_port = m_servers.back()->port();
}

void StandInTarget::handle(const Net::HttpExchangePointer &exchange)
{
    const std::string path(exchange->request().target());
    const json body = exchange->request().body().empty() ? json::object() : json::parse(exchange->request().body(), nullptr, false);
    if (!body.is_object()) {
        exchange->respond(jsonResponse({ { "error", "the body is not a JSON object" } }, STATUS_BAD_REQUEST));
    } else if (!m_alive && path != "/stats" && path != "/runs" && path != "/peak") {
        // A connection from before the death; a test may still read the totals over it.
        exchange->abortAfterQueued();
    } else if (CONTROL_PATHS.count(path) > 0) {
        control(exchange, path, body);
    } else if (m_routes) {
        routedWork(exchange, path, body);
    } else {
        work(exchange, path, body);
    }
}

void StandInTarget::control(const Net::HttpExchangePointer &exchange, const std::string &path, const json &body)
{
    const bool isPost = exchange->request().method() == boost::beast::http::verb::post;
    if (path == "/orders" && isPost) {
        order(exchange, body);
        return;
    }
    json answer = json::object();
    if (path == "/load") {
        answer = m_load;
    } else if (path == "/runs") {
        answer = m_runs;
    } else if (path == "/peak") {
        answer = { { "peak", m_totals.peak }, { "coldPeak", m_totals.coldPeak }, { "coldOverruns", m_totals.coldOverruns } };
    } else if (path == "/stats") {
        answer = stats();
    } else if (path == "/orders") {
        answer = m_orders;
    } else if (path == "/reset") {
        m_totals = {};
    } else if (path == "/cancel") {
        cancel(body.value("request_id", ""));
    } else if (path == "/fault") {
        setFault(body);
    }
    exchange->respond(jsonResponse(answer));
}

void StandInTarget::work(const Net::HttpExchangePointer &exchange, const std::string &path, const json &body)
{
    if (exchange->request().method() != boost::beast::http::verb::post) {
        exchange->respond(jsonResponse({ { "error", "no such path" } }, STATUS_NOT_FOUND));
        return;
    }
    if (refuses(exchange, body)) {
        return;
    }
    ++m_totals.attempts;
    m_lastAttempt = std::chrono::system_clock::now();
    const std::string id = field(exchange->request(), "X-Request-Id");
    if (path == COMPLETIONS_PATH) {
        const std::string prompt = body.value("prompt", "");
        const int tokens = std::min(m_options.tokens, body.value("max_tokens", m_options.tokens));
        const bool hit = m_prefixes.use(stableHash(prompt.substr(0, PREFIX_BYTES)));
        enqueue(std::make_shared<CompletionWork>(m_context, exchange, id, prompt, tokens, body.value("resume_text", "")),
                hit ? milliseconds(0) : m_options.prefillTime);
        return;
    }
    ++m_runs[runKey(exchange->request(), body)];
    const json answer = { { "path", path },
                          { "echo", body.value("/request/prompt"_json_pointer, "") },
                          { "requestId", body.value("requestId", "") } };
    enqueue(std::make_shared<CallWork>(m_context,
                                       exchange,
                                       id,
                                       answer.dump(),
                                       [this](const Net::HttpExchangePointer &to, const std::string &text) { answerCall(to, text); }),
            milliseconds(0));
}

void StandInTarget::routedWork(const Net::HttpExchangePointer &exchange, const std::string &path, const json &body)
{
    if (m_routes->turnsAway(exchange, load())) {
        return;
    }
    if (isStageFree(path)) {
        m_rateLimit.recordArrival(std::chrono::steady_clock::now());
        m_routes->free(exchange, body);
        return;
    }
    const MonotonicTime now = std::chrono::steady_clock::now();
    m_rateLimit.recordArrival(now);
    if (m_pausedSince && now > *m_pausedSince + PAUSE_GRACE && now < *m_pausedSince + *m_refusalPause) {
        ++m_arrivalsWhilePaused;
    }
    if (m_leavingSince && now > *m_leavingSince + LEAVING_TIME) {
        ++m_arrivalsAfterLeaving;
    }
    if (refuses(exchange, body)) {
        return;
    }
    ++m_totals.attempts;
    m_lastAttempt = std::chrono::system_clock::now();
    if (!isStageCall(path)) {
        ++m_runs[readRouteCall(exchange->request()).id];
    }
    m_routes->run(exchange, path, body, load());
}

void StandInTarget::refuseBusy(const Net::HttpExchangePointer &exchange)
{
    ++m_totals.refused;
    if (m_routes) {
        if (m_refusalPause && !m_pausedSince) {
            m_pausedSince = std::chrono::steady_clock::now();
        }
        m_routes->refuse(exchange, load());
        fallOverIfBrittle();
        return;
    }
    exchange->respond(jsonResponse({ { "error", "too busy" } }, STATUS_BUSY));
}

void StandInTarget::fallOverIfBrittle()
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    m_refusals.push_back(now);
    while (m_refusals.front() + std::chrono::seconds(1) <= now) {
        m_refusals.pop_front();
    }
    if (m_maxRefusals && static_cast<int>(m_refusals.size()) > *m_maxRefusals) {
        m_refusals.clear();
        die();
    }
}

bool StandInTarget::refuses(const Net::HttpExchangePointer &exchange, const json &body)
{
    if (body.dump().find(KILLER_MARKER) != std::string::npos) {
        ++m_totals.attempts;
        exchange->abortAfterQueued();
        die();
        return true;
    }
    const bool overrun = m_cold && concurrency() >= m_options.coldBound;
    if (overrun) {
        ++m_totals.coldOverruns;
        m_totals.coldPeak = std::max(m_totals.coldPeak, concurrency() + 1);
        if (m_options.overload == Overload::Die) {
            exchange->abortAfterQueued();
            die();
            return true;
        }
    }
    const bool isFull = concurrency() >= m_options.capacity + (m_maxRefusals ? 0 : m_options.queue);
    if (overrun || isFull || m_faults.refuse) {
        refuseBusy(exchange);
        return true;
    }
    return false;
}

void StandInTarget::enqueue(const WorkPointer &work, milliseconds firstDelay)
{
    work->exchange()->onClosed([this, weak = std::weak_ptr<Work>(work)] {
        if (const auto closed = weak.lock()) {
            abandon(closed);
        }
    });
    m_waiting.emplace_back(work, firstDelay);
    m_totals.peak = std::max(m_totals.peak, concurrency());
    if (m_cold) {
        m_totals.coldPeak = std::max(m_totals.coldPeak, concurrency());
    }
    startNext();
}

void StandInTarget::abandon(const WorkPointer &work)
{
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end(); ++waiting) {
        if (waiting->first != work) {
            continue;
        }
        m_waiting.erase(waiting);
        ++m_totals.cut;
        return;
    }
    work->cut();
}

void StandInTarget::startNext()
{
    while (!m_waiting.empty() && static_cast<int>(m_running.size()) < m_options.capacity) {
        const auto [work, firstDelay] = m_waiting.front();
        m_waiting.pop_front();
        m_running.insert(work);
        WorkSettings settings { m_options, m_faults, firstDelay, {}, {} };
        settings.running = [this] { return static_cast<int>(m_running.size()); };
        settings.onEnd = [this, weak = std::weak_ptr<Work>(work)](WorkEnd reason, int tokens) { onEnd(weak.lock(), reason, tokens); };
        work->start(std::move(settings));
    }
}

void StandInTarget::onEnd(const WorkPointer &work, WorkEnd reason, int tokens)
{
    m_running.erase(work);
    m_totals.tokens += static_cast<std::uint64_t>(tokens);
    if (reason == WorkEnd::Finished) {
        ++m_totals.finished;
        if (m_cold && ++m_successes >= m_options.warmAfter) {
            m_cold = false;
        }
    } else {
        ++m_totals.cut;
        m_totals.wastedTokens += static_cast<std::uint64_t>(tokens);
    }
    startNext();
}

// Two calls under way get each other's answer.
void StandInTarget::answerCall(const Net::HttpExchangePointer &exchange, const std::string &answer)
{
    if (!m_faults.crossed) {
        exchange->respond({ 200, "application/json", answer, {} });
        return;
    }
    if (!m_heldAnswer.first) {
        m_heldAnswer = { exchange, answer };
        return;
    }
    exchange->respond({ 200, "application/json", m_heldAnswer.second, {} });
    m_heldAnswer.first->respond({ 200, "application/json", answer, {} });
    m_heldAnswer = {};
}

void StandInTarget::setFault(const json &fault)
{
    if (fault.value("clear", false)) {
        m_faults = {};
    }
    m_faults.slowFactor = fault.value("slow", m_faults.slowFactor);
    m_faults.hang = fault.value("hang", m_faults.hang);
    m_faults.refuse = fault.value("refuse", m_faults.refuse);
    m_faults.gap = fault.value("gap", m_faults.gap);
    m_faults.crossed = fault.value("crossed", m_faults.crossed);
    if (fault.contains("rateLimit")) {
        const json &limit = fault.at("rateLimit");
        m_rateLimit.setLimit(limit.is_number() ? std::optional(limit.get<double>()) : std::nullopt, std::chrono::steady_clock::now());
    }
    if (fault.contains("refusalPauseMs")) {
        m_refusalPause = milliseconds(fault.at("refusalPauseMs").get<std::int64_t>());
        m_pausedSince.reset();
    }
    if (fault.contains("maxRefusals")) {
        const json &limit = fault.at("maxRefusals");
        m_maxRefusals = limit.is_number() ? std::optional(limit.get<int>()) : std::nullopt;
    }
    if (fault.value("leaving", false)) {
        m_leavingSince = std::chrono::steady_clock::now();
    }
    if (fault.value("cold", false)) {
        becomeCold();
    }
    if (fault.value("die", false)) {
        die();
    }
}

void StandInTarget::order(const Net::HttpExchangePointer &exchange, const json &body)
{
    const std::int64_t fence = body.value("fence", std::int64_t { 0 });
    const bool stale = fence < m_highestFence;
    if (stale && m_options.checksFencing) {
        exchange->respond(jsonResponse({ { "error", "old fencing number" }, { "fence", m_highestFence } }, STATUS_CONFLICT));
        return;
    }
    m_highestFence = std::max(m_highestFence, fence);
    m_orders.push_back({ { "order", body }, { "stale", stale } });
    exchange->respond(jsonResponse({ { "accepted", true } }));
}

void StandInTarget::cancel(const std::string &id)
{
    const std::set<WorkPointer> running = m_running;
    for (const WorkPointer &work : running) {
        if (work->id() == id) {
            work->cut();
        }
    }
}

void StandInTarget::becomeCold()
{
    m_cold = true;
    m_successes = 0;
    m_totals.coldPeak = 0;
    m_prefixes.clear();
}

void StandInTarget::die()
{
    m_alive = false;
    ++m_totals.deaths;
    m_servers.back()->stop();
    if (m_routes) {
        m_routes->dropResults();
    }
    for (const auto &[work, firstDelay] : std::exchange(m_waiting, {})) {
        work->cut();
    }
    for (const WorkPointer &work : std::exchange(m_running, {})) {
        work->cut();
    }
    becomeCold();
    m_restartTimer.expires_after(m_options.restartTime);
    m_restartTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            restart();
        }
    });
}

void StandInTarget::restart()
{
    m_alive = true;
    ++m_incarnation;
    listen();
}

void StandInTarget::sampleLoad()
{
    m_load = { { "running", m_running.size() }, { "queued", m_waiting.size() }, { "incarnation", m_incarnation }, { "cold", m_cold } };
    m_loadTimer.expires_after(m_options.loadReportLag);
    m_loadTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            sampleLoad();
        }
    });
}

json StandInTarget::stats() const
{
    const auto lastAttempt = std::chrono::duration_cast<milliseconds>(m_lastAttempt.time_since_epoch());
    json stats = {
        { "attempts", m_totals.attempts },
        { "refused", m_totals.refused },
        { "finished", m_totals.finished },
        { "cut", m_totals.cut },
        { "tokens", m_totals.tokens },
        { "wastedTokens", m_totals.wastedTokens },
        { "peak", m_totals.peak },
        { "coldPeak", m_totals.coldPeak },
        { "coldOverruns", m_totals.coldOverruns },
        { "deaths", m_totals.deaths },
        { "cold", m_cold },
        { "coldBound", m_options.coldBound },
        { "running", m_running.size() },
        { "queued", m_waiting.size() },
        { "incarnation", m_incarnation },
        { "lastAttemptMs", lastAttempt.count() },
        { "arrivalsAfterLeaving", m_arrivalsAfterLeaving },
        { "arrivalsWhilePaused", m_arrivalsWhilePaused },
    };
    if (m_routes) {
        stats.update(m_routes->stats());
        stats.update(m_rateLimit.stats());
    }
    return stats;
}

int StandInTarget::concurrency() const
{
    return static_cast<int>(m_running.size() + m_waiting.size());
}

TargetLoad StandInTarget::load() const
{
    return { m_running.size(),           m_waiting.size(), m_options.capacity, m_rateLimit.limit(),
             m_leavingSince.has_value(), m_refusalPause,   m_maxRefusals };
}

} // namespace CassiaRelay::StandIns
