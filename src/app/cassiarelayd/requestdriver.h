#pragma once

#include "celladapter.h"
#include "controlplane.h"
#include "fleetview.h"
#include "requestlog.h"
#include "workrouter.h"

#include <metrics/metrics.h>
#include <net/net.h>
#include <pipeline/pipeline.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <optional>

namespace CassiaRelay::Daemon {

/** What every request of the daemon shares. Requests keep it, as they can outlive the daemon's other parts at exit. */
struct RequestServices : std::enable_shared_from_this<RequestServices> {
    RequestServices(boost::asio::io_context &requestContext,
                    const Settings::ProcessSettings &settings,
                    std::uint64_t seed,
                    ControlPlane &controlPlane)
        : context(requestContext)
        , router(seed, settings.vm, settings.failureDomain, cellLinkTo(controlPlane))
        , http(requestContext)
        , targets(http)
        , control(controlPlane)
    {
    }

    boost::asio::io_context &context;
    WorkRouter router;
    Net::HttpClient http;
    Net::TargetClient targets;
    ControlPlane &control;
    Metrics::Registry metrics;
    Metrics::RequestMetrics requestMetrics { metrics };
    RequestLog requestLog {};
    std::atomic<std::size_t> activeRequests { 0 };
    std::atomic<bool> draining { false };
};

/** Carries out the actions of one request's state machine on its own strand. */
class RequestDriver : public WorkOwner, public std::enable_shared_from_this<RequestDriver>
{
public:
    RequestDriver(RequestServices &services, Net::HttpExchangePointer exchange, Pipeline::CallerRequest request);
    ~RequestDriver() override;
    RequestDriver(const RequestDriver &) = delete;
    RequestDriver &operator=(const RequestDriver &) = delete;

    void start();
    void onDecision(const Routing::Decision &decision) override;

private:
    struct RunningCall {
        Net::TargetCallRequest request;
        std::shared_ptr<Net::HttpCall> call;
    };

    Pipeline::Actions onAssigned(const Routing::Assign &assign);
    template<typename Event>
    void post(Event event);
    void perform(const Pipeline::Actions &actions);
    void perform(const Pipeline::SubmitWork &action);
    void perform(const Pipeline::WithdrawWork &action);
    void perform(const Pipeline::ReleaseWork &action);
    void perform(const Pipeline::SendAttempt &action);
    void perform(const Pipeline::CancelAttempt &action);
    void perform(const Pipeline::AcquireGrant &action);
    void perform(const Pipeline::FinishGrant &action);
    void perform(const Pipeline::DeliverText &action);
    void perform(const Pipeline::Answer &action);
    void perform(const Pipeline::Refuse &action);
    void perform(const Pipeline::ArmTimer &action);
    void recordEnd(std::optional<ErrorKind> refusal);
    void startStreamOnce();
    void pauseOrResume();

    std::shared_ptr<RequestServices> m_keptServices;
    RequestServices &m_services;
    Net::HttpExchangePointer m_exchange;
    WorkId m_firstWork;
    Pipeline::RequestMachine m_machine;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::steady_timer m_timer;
    std::map<Pipeline::AttemptId, RunningCall> m_calls;
    std::optional<Fleet::ClaimId> m_claim; ///< of the current non-repeatable stage
    Metrics::StageLabels m_stage;          ///< of the last submitted work
    TargetId m_target;                     ///< of the last attempt
    MonotonicTime m_startedAt;
    MonotonicTime m_submittedAt;
    bool m_streamStarted = false;
    std::size_t m_deliveredBytes = 0;
};

} // namespace CassiaRelay::Daemon
