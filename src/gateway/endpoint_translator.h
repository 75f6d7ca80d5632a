#pragma once

#include "region/host_directory.h"
#include "transport/http_message.h"

#include <string>
#include <vector>

namespace lacewing::gateway {

/// What a caller states when it looks hosts up.
struct DirectoryQuery {
    /// Host name of the routes that it will use; empty if it does not state it.
    std::string hostName;
    region::CallerLocation caller;
};

/// Defines the paths and response bodies of the gateway's own endpoints: host discovery and readiness.
/// Implemented for each platform.
class EndpointTranslator {
public:
    virtual ~EndpointTranslator() = default;

    /// @return whether the path is the discovery endpoint, which lists the hosts that callers should use.
    virtual bool isDirectoryPath(const std::string& path) const = 0;
    /// @param query raw query of a discovery request.
    virtual DirectoryQuery readDirectoryQuery(const std::string& query) const = 0;
    /// @return whether the path is the readiness endpoint.
    virtual bool isReadinessPath(const std::string& path) const = 0;
    /// @param lifetimeSeconds time for which callers may cache the response, in seconds.
    /// @return the body of a discovery response that lists the addresses.
    virtual std::string directoryAnswer(
        const std::vector<SocketAddress>& addresses, double lifetimeSeconds) const = 0;
};

} // namespace lacewing::gateway
