#pragma once

#include "base/ids.h"
#include "transport/http_message.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/// Address of a peer that is contacted before the table has been read.
struct SeedSettings {
    HostId host;
    SocketAddress peerAddress;
};

/// Settings of one daemon. Everything else is in the configuration, which all daemons share.
struct DaemonSettings {
    HostId host;
    RegionId region;
    DataCentreId dataCentre;
    /// Listen address for callers and operators.
    SocketAddress callerAddress;
    /// Listen address for links from peers.
    SocketAddress peerAddress;
    SocketAddress platformAddress;
    std::vector<SeedSettings> seeds;
    /// Shared secret that authenticates links between daemons.
    std::string peerSecret;
    /// Bearer token of operators.
    std::string operatorSecret;
    /// HMAC key under which callers' keys are hashed.
    std::string keySecret;
    /// How long callers may cache a /v1/hosts response. A stopping daemon keeps serving for this long.
    std::chrono::milliseconds hostsLifetime = std::chrono::seconds(5);
};

/// Reads a daemon's settings file (YAML). Secrets are given as file paths; the first word of the file is the
/// secret, so a line end at the end of the file doesn't matter.
class SettingsReader {
public:
    /// @param path of the settings file.
    /// @return nothing if the file is invalid; lastError() then holds the file, the line and the expected
    /// value.
    std::optional<DaemonSettings> read(const std::string& path);

    const std::string& lastError() const { return m_lastError; }

private:
    std::string m_lastError;
};

} // namespace lacewing
