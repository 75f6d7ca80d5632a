#pragma once

#include "transport/http_message.h"

#include <string>
#include <vector>

namespace lacewing::gateway {

/// Defines the paths and response bodies of the gateway's own endpoints: host discovery and readiness.
/// Implemented for each platform.
class EndpointTranslator {
public:
    virtual ~EndpointTranslator() = default;

    /// @return whether the path is the discovery endpoint, which lists the hosts that callers should use.
    virtual bool isDirectoryPath(const std::string& path) const = 0;
    /// @return whether the path is the readiness endpoint.
    virtual bool isReadinessPath(const std::string& path) const = 0;
    /// @param lifetimeSeconds time for which callers may cache the response, in seconds.
    /// @return the body of a discovery response that lists the addresses.
    virtual std::string directoryAnswer(
        const std::vector<SocketAddress>& addresses, double lifetimeSeconds) const = 0;
};

} // namespace lacewing::gateway
