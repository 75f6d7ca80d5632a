#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "state/peer_messages.h"

#include <optional>
#include <string>

namespace lacewing {

/// State of a peer as detected by heartbeats and connection attempts.
enum class PeerState {
    /// The peer answers heartbeats.
    Alive,
    /// The connection is open, but the peer does not answer.
    Paused,
    /// Connecting fails or times out, or was not attempted yet.
    Unreachable,
    /// The connection is refused, or the peer sent a goodbye.
    Stopped,
};

/// @return the state's name in snake_case, for logs and metrics.
constexpr const char* toString(PeerState state)
{
    switch (state) {
    case PeerState::Alive:
        return "alive";
    case PeerState::Paused:
        return "paused";
    case PeerState::Unreachable:
        return "unreachable";
    case PeerState::Stopped:
        return "stopped";
    }
    return "invalid";
}

/// Why a link was closed or could not be established.
enum class DisconnectReason {
    Refused,
    Unreachable,
};

/// How this daemon describes itself in heartbeats.
struct LocalStatus {
    DaemonState state = DaemonState::Starting;
    Revision revision;
    ContentHash configurationHash;
    int64_t headAgeMs = 0;
    int64_t load = 0;
};

/// A peer as seen by this daemon.
struct PeerInfo {
    HostId host;
    std::string address;
    DataCentreId dataCentre;
    RegionId region;
    PeerState state = PeerState::Unreachable;
    bool linked = false;
    /// Whether a link was established or attempted. In a large fleet most peers are known only by their rows.
    bool tried = false;
    /// When the peer entered its current state.
    MonotonicTime stateSince {};
    /// Times of the first and last in an uninterrupted sequence of refused connection attempts.
    std::optional<MonotonicTime> refusedSince;
    MonotonicTime lastRefused {};
    /// When its last answer to a heartbeat arrived.
    MonotonicTime lastAnswer {};
    /// From the peer's last message; 0 while it has no session.
    Incarnation incarnation;
    /// The last incarnation that sent a goodbye.
    Incarnation goodbyeIncarnation;
    DaemonState daemonState = DaemonState::Starting;
    Revision revision;
    ContentHash configurationHash;
    int64_t headAgeMs = 0;
    /// When headAgeMs was received.
    MonotonicTime headAgeAt {};
    bool tableUp = false;
    int64_t load = 0;
};

} // namespace lacewing
