#pragma once

#include "configuration.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace CassiaRelay::Gateway {

/** Immutable index of the routes, services and organisations in one version of the configuration. */
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(Configuration configuration);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    std::int64_t version() const;
    const CallerLimits &limits() const;
    /** Whether requests of routes that are not public need an API key. */
    bool requiresApiKey() const;
    /** The route of the host with the longest prefix that matches the path, or nullptr. */
    const Route *route(std::string_view host, std::string_view path) const;
    const Organisation *organisation(std::string_view key) const;
    const Service *service(const ServiceName &name) const;
    const std::vector<Service> &services() const;
    /** Picks a service by weight; the same position always yields the same service. */
    static const ServiceName &pickService(const Route &route, std::uint64_t position);

private:
    Configuration m_configuration;
    std::unordered_map<std::string, std::vector<const Route *>> m_routes;  ///< by host, longest prefix first
    std::unordered_map<std::string, const Organisation *> m_organisations; ///< by API key
    std::unordered_map<ServiceName, const Service *> m_services;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

} // namespace CassiaRelay::Gateway
