#pragma once

#include "gatewayservices.h"

namespace CassiaRelay::GatewayDaemon {

/** Takes requests of callers: finds route and organisation, and starts a session or refuses. */
class RequestDispatcher
{
public:
    explicit RequestDispatcher(GatewayServices &services);

    void handle(const Net::HttpExchangePointer &exchange);

private:
    void refuse(const Net::HttpExchangePointer &exchange, const Gateway::CallerRequestHead &head, Gateway::RefuseRequest refusal);

    GatewayServices &m_services;
};

} // namespace CassiaRelay::GatewayDaemon
