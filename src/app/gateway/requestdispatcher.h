#pragma once

#include "gatewayservices.h"

#include <schema/schema.h>

namespace CassiaRelay::GatewayDaemon {

/** Handles requests of callers, here or at other daemons: looks up route and organisation, then starts a relay session or refuses. */
class RequestDispatcher
{
public:
    explicit RequestDispatcher(GatewayServices &services);

    void handle(const Net::HttpExchangePointer &exchange);
    /** Handles a request that another daemon has accepted and can't place. */
    void handleHandedOver(const Net::HttpExchangePointer &exchange);
    static bool isHandedOver(const Net::HttpRequest &request);

private:
    void handle(const Net::HttpExchangePointer &exchange,
                std::vector<HttpField> fields,
                const std::optional<Schema::HandedOverRequest> &from);
    void decline(const Net::HttpExchangePointer &exchange, const RequestId &request, const VmId &sender, const std::string &reason);
    void refuse(const Net::HttpExchangePointer &exchange, const Gateway::CallerRequestHead &head, Gateway::RefuseRequest refusal);

    GatewayServices &m_services;
};

} // namespace CassiaRelay::GatewayDaemon
