#pragma once

#include "gateway/configuration_tracker.h"
#include "gateway/endpoint_translator.h"
#include "gateway/gateway_settings.h"
#include "gateway/peer_mesh.h"

#include <vector>

namespace lacewing::gateway {

/// Lists the hosts that a caller may connect to: those that are ready, as their heartbeats tell.
class CallerDirectory {
public:
    /// All must outlive the directory.
    CallerDirectory(
        const GatewaySettings& settings, const PeerMesh& mesh, const ConfigurationTracker& configuration);

    /// @param isReady whether this host serves callers.
    /// @return the caller addresses of the hosts that the query selects.
    std::vector<SocketAddress> addresses(const DirectoryQuery& query, bool isReady) const;

private:
    const GatewaySettings& m_settings;
    const PeerMesh& m_mesh;
    const ConfigurationTracker& m_configuration;
};

} // namespace lacewing::gateway
