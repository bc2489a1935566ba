#pragma once

#include "httpclient.h"

#include <pipeline/pipeline.h>

#include <functional>
#include <memory>
#include <string>

namespace CassiaRelay::Net {

/** One attempt, with the address of its target. */
struct TargetCallRequest {
    Pipeline::SendAttempt attempt;
    std::string address;
    std::uint16_t port = 0;
    bool repeatable = true;
    /** The first byte leaves before this time or not at all. */
    MonotonicTime sendBefore = MonotonicTime::max();
};

/** Events of an attempt; none follows onSucceeded, onFailed or cancel. */
struct TargetCallHandlers {
    /** Text of a generate stage with the number of bytes before it. */
    std::function<void(std::uint64_t, const std::string &)> onText;
    std::function<void(nlohmann::json)> onSucceeded;
    std::function<void(const Pipeline::AttemptFailure &)> onFailed;
};

/** Calls targets: plain JSON calls and streamed OpenAI completions. */
class TargetClient
{
public:
    explicit TargetClient(HttpClient &client);

    std::shared_ptr<HttpCall> send(TargetCallRequest request, TargetCallHandlers handlers);
    /** Asks an engine to stop an attempt whose connection has been closed. */
    void cancelAtTarget(const TargetCallRequest &request);

private:
    HttpClient &m_client;
};

} // namespace CassiaRelay::Net
