#include "gateway/caller_directory.h"

#include "region/host_directory.h"

#include <set>

namespace lacewing::gateway {

CallerDirectory::CallerDirectory(
    const GatewaySettings& settings, const PeerMesh& mesh, const ConfigurationTracker& configuration)
    : m_settings(settings)
    , m_mesh(mesh)
    , m_configuration(configuration)
{
}

std::vector<SocketAddress> CallerDirectory::addresses(const DirectoryQuery& query, bool isReady) const
{
    std::vector<SocketAddress> addresses;
    std::vector<DataCentreId> dataCentres;
    if (isReady) {
        addresses.push_back(m_settings.callerAddress);
        dataCentres.push_back(m_settings.dataCentre);
    }
    for (const auto& [host, state] : m_mesh.peersInTouch()) {
        const bool isListed = state->heartbeat.isReady && !state->heartbeat.isStopping;
        if (!isListed || state->heartbeat.callerAddress.port == 0)
            continue;
        addresses.push_back(state->heartbeat.callerAddress);
        const auto record = m_mesh.hosts().find(host);
        dataCentres.push_back(record == m_mesh.hosts().end() ? DataCentreId() : record->second.dataCentre);
    }
    const auto configuration = m_configuration.current();
    const std::set<RegionId> homes
        = configuration ? configuration->homeRegions(query.hostName) : std::set<RegionId>();
    std::vector<SocketAddress> selected;
    for (const size_t index :
        region::HostDirectory(m_settings.regions).select(dataCentres, homes, query.caller))
        selected.push_back(addresses[index]);
    return selected;
}

} // namespace lacewing::gateway
