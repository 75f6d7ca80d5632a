#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/retry_allowance.h"
#include "gateway/workspace_rate_limiter.h"
#include "transport/http_message.h"

#include <optional>
#include <string>

namespace lacewing::gateway {

/// What one gateway needs to know to start.
struct GatewaySettings {
    HostId host;
    DataCentreId dataCentre;
    /// For callers' requests.
    SocketAddress callerAddress;
    /// For the platform's question whether the host is ready.
    SocketAddress readinessAddress;
    /// For callers that ask which hosts to use.
    SocketAddress directoryAddress;
    /// For links from peers.
    SocketAddress peerAddress;
    SocketAddress metricsAddress;
    /// The platform's row store.
    SocketAddress storeAddress;
    /// A host whose row has not changed for this long is dead.
    Duration leaseTime = std::chrono::seconds(3);
    /// Engines refuse orders with an old fencing number, so an owner whose row can't be renewed may go on.
    bool enginesCheckFencing = true;
    /// Time between SIGTERM and the end of the process at the latest.
    Duration stopTime = std::chrono::seconds(8);
    /// Window in which the limits of workspaces hold.
    Duration usageWindow = std::chrono::seconds(8);
    /// What workspaces may exceed their limits by while hosts can't know of each other.
    UsageTolerance usageTolerance;
    RetryLimits retries;
    /// How long callers may keep an answer of the directory.
    Duration directoryLifetime = std::chrono::seconds(1);
    /// Whether the fleet starts for the first time, so that nothing has been spent before.
    bool isFirstStart = false;
};

/// Reads a gateway's settings file (YAML).
class GatewaySettingsReader {
public:
    /// @param path of the settings file.
    /// @return nothing if it is not valid; lastError() then names the file, the line, the field and what to
    /// write.
    std::optional<GatewaySettings> read(const std::string& path);

    const std::string& lastError() const { return m_lastError; }

private:
    std::string m_lastError;
};

} // namespace lacewing::gateway
