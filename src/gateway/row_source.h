#pragma once

namespace lacewing::gateway {

/// Where a host has a row of the store from.
enum class RowSource {
    Store,
    /// A peer that was asked for all rows above a version.
    PeerReply,
    /// A peer that has sent the row by itself.
    Peer,
};

/// @return the source's name, for logs.
inline const char* toString(RowSource source)
{
    return source == RowSource::Store ? "store" : "peer";
}

} // namespace lacewing::gateway
