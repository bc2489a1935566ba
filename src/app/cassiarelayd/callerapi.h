#pragma once

#include "requestdriver.h"

#include <net/net.h>

#include <atomic>
#include <string>

namespace CassiaRelay::Daemon {

/** Checks callers' requests and starts them. From any thread. */
class CallerApi
{
public:
    /** @param requestIdPrefix makes request ids unique over the fleet */
    CallerApi(RequestServices &services, std::string requestIdPrefix);

    void handle(const Net::HttpExchangePointer &exchange);

private:
    Pipeline::CallerRequest parse(const Net::HttpRequest &request, const FleetView &view, const RequestId &id) const;
    RequestId nextRequestId();

    RequestServices &m_services;
    std::string m_requestIdPrefix;
    std::atomic<std::uint64_t> m_nextRequest { 1 };
};

} // namespace CassiaRelay::Daemon
