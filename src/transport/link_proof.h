#pragma once

#include "base/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace lacewing {

/// Which side of a connection a host is.
enum class LinkRole {
    /// Made the connection.
    Connector,
    Acceptor,
};

/// First frame of a link in each direction: what a host says about itself.
struct LinkHello {
    HostId host;
    Incarnation incarnation;
    DataCentreId dataCentre;
    /// Random bytes that are never used again.
    std::string nonce;
};

/// Largest frame that is accepted before the peer is authenticated.
constexpr size_t maximumHelloBytes = 1024;

/// @return fresh random bytes, or nothing if the random generator fails.
std::optional<std::string> makeLinkNonce();

std::string encodeLinkHello(const LinkHello& hello);
/// @return nothing if the frame is not a Hello with a host id and a nonce of full length.
std::optional<LinkHello> decodeLinkHello(std::string_view frame);

/// Computes HMAC-SHA-256 over the role of the prover and everything that both sides said. A proof is valid
/// for one direction of one connection only, because it covers both nonces and the role.
///
/// @param secret shared by all daemons.
/// @param role role of the side that proves.
std::string linkProof(
    std::string_view secret, LinkRole role, const LinkHello& prover, const LinkHello& verifier);

std::string encodeLinkProof(std::string_view proof);
/// @return true if the frame is a HelloProof with exactly this proof. Takes constant time for the comparison.
bool matchesLinkProof(std::string_view frame, std::string_view proof);

} // namespace lacewing
