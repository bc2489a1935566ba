#include "routetable.h"

#include <algorithm>
#include <cctype>

namespace CassiaRelay::Gateway {

namespace {

// Host names are compared case-insensitively and without the port.
std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(
        name.begin(), name.end(), name.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return name;
}

} // namespace

RouteTable::RouteTable(Configuration configuration)
    : m_configuration(std::move(configuration))
{
    for (const Route &route : m_configuration.routes) {
        m_routes[normalizedHost(route.host)].push_back(&route);
    }
    for (auto &[host, routes] : m_routes) {
        std::stable_sort(
            routes.begin(), routes.end(), [](const Route *left, const Route *right) { return left->prefix.size() > right->prefix.size(); });
    }
    for (const Organisation &organisation : m_configuration.organisations) {
        for (const std::string &key : organisation.keys) {
            m_organisations.emplace(key, &organisation);
        }
    }
    for (const Service &service : m_configuration.services) {
        m_services.emplace(service.name, &service);
    }
}

std::int64_t RouteTable::version() const
{
    return m_configuration.version;
}

const CallerLimits &RouteTable::limits() const
{
    return m_configuration.limits;
}

bool RouteTable::requiresApiKey() const
{
    return !m_configuration.organisations.empty();
}

const Route *RouteTable::route(std::string_view host, std::string_view path) const
{
    const auto routes = m_routes.find(normalizedHost(host));
    if (routes == m_routes.end()) {
        return nullptr;
    }
    for (const Route *route : routes->second) {
        if (path.substr(0, route->prefix.size()) == route->prefix) {
            return route;
        }
    }
    return nullptr;
}

const Organisation *RouteTable::organisation(std::string_view key) const
{
    const auto found = m_organisations.find(std::string(key));
    return found == m_organisations.end() ? nullptr : found->second;
}

const Service *RouteTable::service(const ServiceName &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second;
}

const std::vector<Service> &RouteTable::services() const
{
    return m_configuration.services;
}

const ServiceName &RouteTable::pickService(const Route &route, std::uint64_t position)
{
    double total = 0;
    for (const WeightedService &share : route.services) {
        total += share.weight;
    }
    constexpr std::uint64_t STEPS = 1U << 20U;
    double left = total * static_cast<double>(position % STEPS) / static_cast<double>(STEPS);
    for (const WeightedService &share : route.services) {
        left -= share.weight;
        if (left < 0) {
            return share.service;
        }
    }
    return route.services.back().service;
}

} // namespace CassiaRelay::Gateway
