#pragma once

#include "gatewayservices.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace CassiaRelay::GatewayDaemon {

/** Performs the actions of the relay state machine of one request; lives until the request has its final response. */
class RelaySession : public std::enable_shared_from_this<RelaySession>
{
public:
    RelaySession(GatewayServices &services,
                 Net::HttpExchangePointer exchange,
                 std::vector<HttpField> callerFields,
                 Gateway::RelayRequest request);
    ~RelaySession();
    RelaySession(const RelaySession &) = delete;
    RelaySession &operator=(const RelaySession &) = delete;

    void start();
    /** Ends the request with a final response because the process is shutting down. */
    void shutDown();

private:
    void perform(const Gateway::RelayActions &actions);
    void perform(const Gateway::OrderPieces &action);
    void perform(const Gateway::WithdrawPieces &action);
    void perform(const Gateway::FreeResults &action);
    void perform(const Gateway::RequestPermitsFor &action);
    void perform(const Gateway::RequestPlacement &action);
    void perform(const Gateway::RecordStream &action);
    void perform(const Gateway::FindOrigin &action);
    void perform(const Gateway::SendRequest &action);
    void perform(const Gateway::HandOverRequest &action);
    void perform(const Gateway::CancelAttempt &action);
    void perform(const Gateway::ForwardResponse &action);
    void perform(const Gateway::ForwardHead &action);
    void perform(const Gateway::ForwardEvents &action);
    void perform(const Gateway::EndStream &action);
    void perform(const Gateway::AbortStream &action);
    void perform(const Gateway::RefuseRequest &action);
    void perform(const Gateway::DropRequest &action);
    void perform(const Gateway::ArmTimer &action);
    void perform(const Gateway::LogDecision &action);
    Net::HttpCallRequest targetRequest(const Gateway::SendRequest &action) const;
    Net::HttpCallRequest peerRequest(const Gateway::HandOverRequest &action) const;
    Net::HttpCallHandlers attemptHandlers(Gateway::AttemptNumber attempt);
    void applyLeaving(const TargetId &target);
    void onReceiverHead(Gateway::AttemptNumber attempt, const Net::HttpCallHead &head);
    void onStageFinished(std::size_t stage, const std::vector<Gateway::PieceCompletion> &completions);
    void onResponseHead(Gateway::AttemptNumber attempt, const Gateway::TargetRecord &target, const Net::HttpCallHead &head);
    /** Ends the request after an exception. */
    void onInternalError(const std::string &reason);
    void finish(std::string_view outcome, unsigned status, const std::string &reason);
    void addTraceLine(std::string_view decision, const std::string &inputs);

    GatewayServices &m_services;
    Net::HttpExchangePointer m_exchange;
    std::vector<HttpField> m_callerFields;
    Gateway::RelayMachine m_machine;
    boost::asio::steady_timer m_timer;
    std::vector<Gateway::OrderId> m_orders;
    int m_withdrawals = 0; ///< number so far; distinguishes pending completions of withdrawn orders from those of current ones
    std::shared_ptr<Net::HttpCall> m_call;
    std::vector<std::string> m_trace; ///< log lines, written if the request fails or at debug level
    bool m_isPaused = false;
    bool m_isDone = false;
};

} // namespace CassiaRelay::GatewayDaemon
