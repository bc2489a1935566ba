#include "adminclient.h"

#include "exitcode.h"

#include <net/net.h>

namespace CassiaRelay::Tool {

namespace {

constexpr std::chrono::seconds READ_TIMEOUT { 5 };
constexpr unsigned STATUS_OK = 200;
constexpr unsigned STATUS_NOT_FOUND = 404;

} // namespace

AdminClient::AdminClient(const Schema::OperatorListener &listener)
    : m_listener(listener)
{
}

nlohmann::json AdminClient::read(const std::string &path) const
{
    boost::asio::io_context context;
    Net::HttpClient client(context);
    Net::HttpCallRequest request;
    request.address = m_listener.address;
    request.port = static_cast<std::uint16_t>(m_listener.port);
    request.path = "/admin/v1/" + path;
    request.fields = { { "Authorization", "Bearer " + m_listener.token } };
    request.deadline = std::chrono::steady_clock::now() + READ_TIMEOUT;
    unsigned status = 0;
    std::string body;
    std::string failure;
    Net::HttpCallHandlers handlers;
    handlers.onHead = [&status](const Net::HttpCallHead &head) { status = head.status; };
    handlers.onBody = [&body](const std::string &part) { body += part; };
    handlers.onFailed = [&failure](Net::CallFailure, const std::string &detail) { failure = detail; };
    client.send(std::move(request), std::move(handlers));
    context.run();
    if (!failure.empty()) {
        throw ToolError(ExitCode::Unreachable, failure, "check that the daemon runs and that --settings names its file");
    }
    nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
    if (status != STATUS_OK || document.is_discarded()) {
        const bool isProblem = document.is_object();
        throw ToolError(status == STATUS_NOT_FOUND ? ExitCode::NotFound : ExitCode::Unreachable,
                        "the daemon answered with status " + std::to_string(status) + ": "
                            + (isProblem ? document.value("detail", body) : body),
                        isProblem ? document.value("remedy", std::string()) : "check that --settings names the daemon's file");
    }
    return document;
}

} // namespace CassiaRelay::Tool
