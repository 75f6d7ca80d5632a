#pragma once

#include "base/ids.h"
#include "transport/http_message.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/// Where a peer can be found before the table has been read.
struct SeedSettings {
    HostId host;
    SocketAddress peerAddress;
};

/// What one daemon needs to know to start. Everything else is configuration, which all daemons share.
struct DaemonSettings {
    HostId host;
    RegionId region;
    DataCentreId dataCentre;
    /// For callers and operators.
    SocketAddress callerAddress;
    /// For links from peers.
    SocketAddress peerAddress;
    SocketAddress platformAddress;
    std::vector<SeedSettings> seeds;
    /// Shared by all daemons for links between them.
    std::string peerSecret;
    /// Bearer token of operators.
    std::string operatorSecret;
    /// HMAC key under which callers' keys are hashed.
    std::string keySecret;
    /// Lifetime of a /v1/hosts answer. A stopping daemon stays reachable for this long.
    std::chrono::milliseconds hostsLifetime = std::chrono::seconds(5);
};

/// Reads a daemon's settings file (YAML). Secrets are given as paths of files, whose content is used without
/// surrounding white space.
class SettingsReader {
public:
    /// @param path of the settings file.
    /// @return nothing if it is not valid; lastError() then names the file, the line and what to write.
    std::optional<DaemonSettings> read(const std::string& path);

    const std::string& lastError() const { return m_lastError; }

private:
    std::string m_lastError;
};

} // namespace lacewing
