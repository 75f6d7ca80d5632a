#pragma once

#include <cstdint>
#include <string_view>

namespace lacewing::gateway {

/// Set in hashes of requests, and clear in those of prompt parts.
constexpr uint64_t requestHashBit = uint64_t(1) << 63;

/// What makes two requests the same: they may come at different hosts, with other ids and other fields.
struct RequestIdentity {
    std::string_view method;
    /// The host that the caller addresses.
    std::string_view authority;
    std::string_view path;
    std::string_view query;
    /// The caller's credentials; empty for a caller without any.
    std::string_view caller;
    std::string_view body;
};

/// @return a hash of the request that tells nothing of its body or its caller. It differs from the hashes of
///     prompt parts.
uint64_t requestHash(const RequestIdentity& request);

/// @return whether a hash is that of a request rather than of a prompt part.
bool isRequestHash(uint64_t hash);

} // namespace lacewing::gateway
