#pragma once

#include "gatewayservices.h"

namespace CassiaRelay::GatewayDaemon {

/** Handles requests of callers: looks up route and organisation, then starts a relay session or refuses the request. */
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
