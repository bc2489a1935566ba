#include "routeservice.h"

#include "eventwork.h"

#include <boost/algorithm/string.hpp>

#include <algorithm>

namespace CassiaRelay::StandIns {

using nlohmann::json;

namespace {

constexpr unsigned STATUS_BAD_REQUEST = 400;
constexpr unsigned STATUS_MISDIRECTED = 421;
constexpr unsigned STATUS_BUSY = 503;

// A handle names the request whose piece it holds, so that a mix-up shows.
std::string requestOfHandle(const std::string &handle)
{
    const std::size_t start = handle.find('/') + 1;
    return handle.substr(start, handle.find('.', start) - start);
}

} // namespace

RouteService::RouteService(boost::asio::io_context &context, TargetOptions options, Enqueue enqueue)
    : m_context(context)
    , m_options(std::move(options))
    , m_enqueue(std::move(enqueue))
{
}

RouteService::Reservation::Reservation(std::shared_ptr<std::size_t> reserved)
    : m_reserved(std::move(reserved))
{
}

RouteService::Reservation::~Reservation()
{
    release();
}

void RouteService::Reservation::addPiece()
{
    ++m_pieces;
    ++*m_reserved;
}

void RouteService::Reservation::release()
{
    *m_reserved -= std::exchange(m_pieces, 0);
}

bool RouteService::turnsAway(const Net::HttpExchangePointer &exchange, const TargetLoad &load)
{
    const RouteCall call = readRouteCall(exchange->request());
    if (call.expectedInstance.empty() || call.expectedInstance == m_options.instance) {
        return false;
    }
    ++m_misdirected;
    exchange->respond({ STATUS_MISDIRECTED, "text/plain", "another target\n", notRunFields(call, load) });
    return true;
}

void RouteService::refuse(const Net::HttpExchangePointer &exchange, const TargetLoad &load) const
{
    exchange->respond({ STATUS_BUSY, "text/plain", "too busy\n", notRunFields(readRouteCall(exchange->request()), load) });
}

void RouteService::run(const Net::HttpExchangePointer &exchange, const std::string &path, const json &body, const TargetLoad &load)
{
    if (isStageCall(path)) {
        runPieces(exchange, body.value("items", json::array()), load);
    } else {
        runRequest(exchange, path, body, load);
    }
}

void RouteService::free(const Net::HttpExchangePointer &exchange, const json &body)
{
    for (const json &handle : body.value("handles", json::array())) {
        const auto text = handle.get<std::string>();
        m_foreignFrees += boost::starts_with(text, m_options.instance + "/") ? 0 : 1;
        m_results.erase(text);
    }
    exchange->respond({ 200, "application/json", "{}", {} });
}

void RouteService::dropResults()
{
    m_results.clear();
}

json RouteService::stats() const
{
    return { { "results", m_results.size() },
             { "reserved", *m_reserved },
             { "withoutRoom", m_withoutRoom },
             { "piecesMade", m_made },
             { "stageCalls", m_calls },
             { "wrongInputs", m_wrongInputs },
             { "withoutDeadline", m_withoutDeadline },
             { "misdirected", m_misdirected },
             { "foreignFrees", m_foreignFrees } };
}

void RouteService::runPieces(const Net::HttpExchangePointer &exchange, const json &items, const TargetLoad &load)
{
    ++m_calls;
    const RouteCall call = readRouteCall(exchange->request());
    std::vector<bool> fits;
    const auto reservation = std::make_shared<Reservation>(m_reserved);
    for (std::size_t item = 0; item < items.size(); ++item) {
        fits.push_back(hasRoom());
        if (fits.back()) {
            reservation->addPiece();
        } else {
            ++m_withoutRoom;
        }
    }
    const auto answer = [this, call, items, fits, reservation, load](const Net::HttpExchangePointer &to, const std::string &) {
        reservation->release();
        json results = json::array();
        for (std::size_t item = 0; item < items.size(); ++item) {
            results.push_back(fits[item] ? json { { "handle", makeResult(items[item]) } } : json { { "reason", "room" } });
        }
        to->respond({ 200, "application/json", json { { "items", results } }.dump(), runFields(call, m_options.instance, load) });
    };
    m_enqueue(std::make_shared<CallWork>(m_context, exchange, call.id, std::string(), answer), m_options.itemTime * items.size());
}

bool RouteService::hasRoom() const
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    const auto held = std::count_if(m_results.begin(), m_results.end(), [now](const auto &result) { return result.second > now; });
    return m_options.room == 0 || static_cast<std::size_t>(held) + *m_reserved < m_options.room;
}

std::string RouteService::makeResult(const json &item)
{
    ++m_made;
    const std::string request = item.value("id", "");
    for (const json &input : item.value("inputs", json::array())) {
        m_wrongInputs += requestOfHandle(input.get<std::string>()) == request ? 0 : 1;
    }
    const std::string piece = std::to_string(item.value("stage", 0)) + "." + std::to_string(item.value("piece", 0));
    std::string handle = m_options.instance + "/" + request + "." + piece + "." + std::to_string(m_made);
    const bool isLimited = m_options.resultLifetime > std::chrono::milliseconds(0);
    m_results[handle] = isLimited ? std::chrono::steady_clock::now() + m_options.resultLifetime : MonotonicTime::max();
    return handle;
}

bool RouteService::hasWrongInputs(const RouteCall &call) const
{
    const std::set<std::string> distinct(call.inputs.begin(), call.inputs.end());
    if (distinct.size() != call.inputs.size() || (call.piecesWanted > 0 && call.inputs.empty())) {
        return true;
    }
    return std::any_of(distinct.begin(), distinct.end(), [&call](const std::string &handle) { return requestOfHandle(handle) != call.id; });
}

void RouteService::runRequest(const Net::HttpExchangePointer &exchange, const std::string &path, const json &body, const TargetLoad &load)
{
    const RouteCall call = readRouteCall(exchange->request());
    m_withoutDeadline += call.timeLeft ? 0 : 1;
    if (hasWrongInputs(call)) {
        ++m_wrongInputs;
        exchange->respond({ STATUS_BAD_REQUEST, "text/plain", "inputs are missing or not of this request\n", notRunFields(call, load) });
        return;
    }
    const std::vector<HttpField> fields = runFields(call, m_options.instance, load);
    const std::string prompt = body.value("prompt", "");
    if (m_options.streamsEvents) {
        m_enqueue(std::make_shared<EventWork>(m_context, exchange, call.id, fields, prompt, call.lastEvent), m_options.prefillTime);
        return;
    }
    const json answer = { { "path", path }, { "echo", prompt }, { "organisation", call.organisation } };
    const auto respond = [fields](const Net::HttpExchangePointer &to, const std::string &text) {
        to->respond({ 200, "application/json", text, fields });
    };
    m_enqueue(std::make_shared<CallWork>(m_context, exchange, call.id, answer.dump(), respond), std::chrono::milliseconds(0));
}

} // namespace CassiaRelay::StandIns
