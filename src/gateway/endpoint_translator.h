#pragma once

#include "transport/http_message.h"

#include <string>
#include <vector>

namespace lacewing::gateway {

/// Translates the questions that are put to a gateway itself. Implemented for each platform.
class EndpointTranslator {
public:
    virtual ~EndpointTranslator() = default;

    /// @return whether a path asks for the hosts that callers should use.
    virtual bool isDirectoryPath(const std::string& path) const = 0;
    /// @return whether a path asks if the host is ready.
    virtual bool isReadinessPath(const std::string& path) const = 0;
    /// @param lifetimeSeconds how long the answer may be used.
    /// @return the body of an answer that names hosts.
    virtual std::string directoryAnswer(
        const std::vector<SocketAddress>& addresses, double lifetimeSeconds) const = 0;
};

} // namespace lacewing::gateway
