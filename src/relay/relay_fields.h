#pragma once

#include <string>
#include <string_view>

namespace lacewing::relay {

// Header fields between the host that has taken a request and the one that passes it on.

/// Id of the upstream.
constexpr const char* upstreamField = "Relay-Upstream";
/// Proof that the sender is a host of the fleet.
constexpr const char* tokenField = "Relay-Token";
/// Present if the request needs a new connection to the upstream.
constexpr const char* newConnectionField = "Relay-New-Connection";
/// Status of the relay's own answer to a sender that isn't a host of the fleet.
constexpr int statusForbidden = 403;
/// Status of the relay's own answer to a request that it hasn't passed on.
constexpr int statusUnavailable = 503;
/// Present in answers of the upstream. An answer without it is the relay's own: the upstream has got nothing.
constexpr const char* answerField = "Relay-Answer";

/// @param secret shared by all hosts.
/// @param relayHost the host that is to pass requests on.
/// @return the token of requests to that host.
std::string relayToken(std::string_view secret, std::string_view relayHost);

} // namespace lacewing::relay
