#include "gateway/serving_configuration.h"

#include "base/digest.h"

#include <algorithm>

namespace lacewing::gateway {

const char* toString(RouteKind kind)
{
    switch (kind) {
    case RouteKind::Idempotent:
        return "idempotent";
    case RouteKind::AtMostOnce:
        return "at_most_once";
    case RouteKind::Stream:
        return "stream";
    }
    return "unknown";
}

ServingConfiguration::Builder::Builder(Revision revision)
    : m_result(std::make_shared<ServingConfiguration>())
{
    m_result->m_revision = revision;
}

ServingConfiguration::Builder& ServingConfiguration::Builder::add(Route route)
{
    if (route.kind == RouteKind::Stream)
        m_result->m_longestStream = std::max(m_result->m_longestStream, route.timeout);
    auto& prefixes = m_result->m_routes[route.host];
    std::string prefix = route.pathPrefix;
    prefixes.insert_or_assign(std::move(prefix), std::move(route));
    return *this;
}

ServingConfiguration::Builder& ServingConfiguration::Builder::add(ServiceConfiguration service)
{
    const ServiceId id = service.id;
    m_result->m_services.insert_or_assign(id, std::move(service));
    return *this;
}

ServingConfiguration::Builder& ServingConfiguration::Builder::add(
    ServingWorkspace workspace, const std::vector<std::string>& keys)
{
    for (const std::string& key : keys)
        m_result->m_workspaceOfKey[sha256Hex(key)] = m_result->m_workspaces.size();
    m_result->m_workspaces.push_back(std::move(workspace));
    return *this;
}

ServingConfiguration::Builder& ServingConfiguration::Builder::callerLimits(CallerLimits limits)
{
    m_result->m_callerLimits = limits;
    return *this;
}

std::shared_ptr<const ServingConfiguration> ServingConfiguration::Builder::build()
{
    return std::move(m_result);
}

const Route* ServingConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    const auto routes = m_routes.find(std::string(host));
    if (routes == m_routes.end())
        return nullptr;
    for (size_t slash = path.rfind('/'); slash != std::string_view::npos;
         slash = path.rfind('/', slash - 1)) {
        const auto found = routes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != routes->second.end())
            return &found->second;
        if (slash == 0)
            break;
    }
    return nullptr;
}

std::set<RegionId> ServingConfiguration::homeRegions(const std::string& host) const
{
    auto routes = m_routes.find(host);
    if (routes == m_routes.end())
        routes = m_routes.find(host.substr(0, host.find(':')));
    std::set<RegionId> homes;
    if (routes == m_routes.end())
        return homes;
    for (const auto& [prefix, route] : routes->second) {
        const std::set<RegionId> regions = route.homes.regions();
        homes.insert(regions.begin(), regions.end());
    }
    return homes;
}

const ServingWorkspace* ServingConfiguration::findWorkspace(std::string_view key) const
{
    const auto found = m_workspaceOfKey.find(sha256Hex(key));
    return found == m_workspaceOfKey.end() ? nullptr : &m_workspaces[found->second];
}

const ServiceConfiguration* ServingConfiguration::findService(const ServiceId& id) const
{
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &found->second;
}

} // namespace lacewing::gateway
