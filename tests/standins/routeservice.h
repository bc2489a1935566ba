#pragma once

#include "routecall.h"
#include "targetoptions.h"
#include "work.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace CassiaRelay::StandIns {

/** What a target of the users does with routed requests and calls for pieces. Results of other targets are taken to exist. */
class RouteService
{
public:
    using Enqueue = std::function<void(const std::shared_ptr<Work> &, std::chrono::milliseconds firstDelay)>;

    RouteService(boost::asio::io_context &context, TargetOptions options, Enqueue enqueue);

    /** Answers and returns true when the request is not for this target to run. */
    bool turnsAway(const Net::HttpExchangePointer &exchange, const TargetLoad &load);
    void refuse(const Net::HttpExchangePointer &exchange, const TargetLoad &load) const;
    void run(const Net::HttpExchangePointer &exchange, const std::string &path, const nlohmann::json &body, const TargetLoad &load);
    void free(const Net::HttpExchangePointer &exchange, const nlohmann::json &body);
    /** The target has died: its results are gone. */
    void dropResults();
    nlohmann::json stats() const;

private:
    /** Room for the results of one call. Released when the call ends, also when its caller has closed the connection. */
    class Reservation
    {
    public:
        explicit Reservation(std::shared_ptr<std::size_t> reserved);
        ~Reservation();
        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;

        void addPiece();
        void release();

    private:
        std::shared_ptr<std::size_t> m_reserved; ///< shared because calls may outlive the service
        std::size_t m_pieces = 0;
    };

    void runPieces(const Net::HttpExchangePointer &exchange, const nlohmann::json &items, const TargetLoad &load);
    void runRequest(const Net::HttpExchangePointer &exchange, const std::string &path, const nlohmann::json &body, const TargetLoad &load);
    bool hasRoom() const;
    std::string makeResult(const nlohmann::json &item);
    bool hasWrongInputs(const RouteCall &call) const;

    boost::asio::io_context &m_context;
    TargetOptions m_options;
    Enqueue m_enqueue;
    /** End of the lifetime of each result that was not freed. It is kept after that, so that it is counted. */
    std::map<std::string, MonotonicTime> m_results;
    std::shared_ptr<std::size_t> m_reserved = std::make_shared<std::size_t>(0); ///< room of results that are being made
    std::uint64_t m_made = 0;
    std::uint64_t m_withoutRoom = 0;
    std::uint64_t m_calls = 0;
    std::uint64_t m_wrongInputs = 0;
    std::uint64_t m_withoutDeadline = 0;
    std::uint64_t m_misdirected = 0;
    std::uint64_t m_foreignFrees = 0; ///< handles of other targets in requests to free results
};

} // namespace CassiaRelay::StandIns
