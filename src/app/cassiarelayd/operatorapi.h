#pragma once

#include "controlplane.h"
#include "requestdriver.h"

#include <net/net.h>

#include <string>

namespace CassiaRelay::Daemon {

/** Health, metrics and state for operators. Runs on the control thread. */
class OperatorApi
{
public:
    OperatorApi(RequestServices &services, ControlPlane &control, std::string token);

    void handle(const Net::HttpExchangePointer &exchange);

private:
    Net::HttpResponse answer(const Net::HttpRequest &request) const;
    Net::HttpResponse admin(const Net::HttpRequest &request, const std::string &path) const;
    Net::HttpResponse readiness() const;
    nlohmann::json state(const std::string &path) const;
    nlohmann::json configuration() const;
    Net::HttpResponse recentRequest(const RequestId &id) const;

    RequestServices &m_services;
    ControlPlane &m_control;
    std::string m_token;
};

} // namespace CassiaRelay::Daemon
