#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/overload_policy.h"
#include "gateway/retry_allowance.h"
#include "gateway/workspace_rate_limiter.h"
#include "region/region_map.h"
#include "transport/http_message.h"

#include <optional>
#include <string>

namespace lacewing::gateway {

/// Settings of one gateway process.
struct GatewaySettings {
    static constexpr size_t bytesPerMegabyte = 1000 * 1000;

    HostId host;
    DataCentreId dataCentre;
    /// Region of this host; empty if the platform has no regions.
    RegionId region;
    /// Regions of all data centres; without entries home regions have no effect.
    region::RegionMap regions;
    /// Listens for callers' requests.
    SocketAddress callerAddress;
    /// Listens for the platform's readiness checks.
    SocketAddress readinessAddress;
    /// Listens for callers that look up which hosts to use.
    SocketAddress directoryAddress;
    /// Listens for connections from peers.
    SocketAddress peerAddress;
    SocketAddress metricsAddress;
    /// Port for requests that this host passes on to upstreams for its peers, counted from the port of
    /// peerAddress; 0 if it passes on none.
    int relayPortOffset = 0;
    /// The platform's row store.
    SocketAddress storeAddress;
    /// A host whose row has not changed for this long is considered dead.
    Duration leaseTime = std::chrono::seconds(3);
    /// Whether engines reject orders with an outdated fencing number, so that an owner that can't renew its
    /// row may continue to send orders.
    bool enginesCheckFencing = true;
    /// Maximum time from SIGTERM to the end of the process.
    Duration stopTime = std::chrono::seconds(8);
    /// Length of the sliding window in which the limits of workspaces hold.
    Duration usageWindow = std::chrono::seconds(8);
    /// Permitted excess over the limits of workspaces while hosts do not know each other's usage.
    UsageTolerance usageTolerance;
    RetryLimits retries;
    /// Time for which callers may cache a discovery response.
    Duration directoryLifetime = std::chrono::seconds(1);
    /// Memory that the process may take, in bytes.
    size_t memoryBytes = 256 * bytesPerMegabyte;
    /// Whether engines are chosen by what they keep of the request's prompt, too.
    bool promptAffinity = false;
    OverloadPolicy overloadPolicy = OverloadPolicy::Arrival;
    /// Whether the fleet starts for the first time, so that there is no earlier usage.
    bool isFirstStart = false;

    /// @return where peers send requests that this host passes on; port 0 if it passes on none.
    SocketAddress relayAddress() const;
    /// @return the part of the memory that messages may take, in bytes. The rest is for the program, its
    /// state, and copies while messages are passed on.
    size_t messageMemory() const { return memoryBytes / 5 * 2; }
};

/// Reads a gateway's settings file (YAML).
class GatewaySettingsReader {
public:
    /// @param path path of the settings file.
    /// @return nothing if the file is not valid; lastError() then states the file, the line, the field and
    /// the expected value.
    std::optional<GatewaySettings> read(const std::string& path);

    const std::string& lastError() const { return m_lastError; }

private:
    std::string m_lastError;
};

} // namespace lacewing::gateway
