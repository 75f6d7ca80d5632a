#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cstddef>

namespace lacewing::gateway {

constexpr Duration minimumHeartbeatInterval = std::chrono::milliseconds(200);
constexpr Duration maximumHeartbeatInterval = std::chrono::milliseconds(1500);
/// Average time between two heartbeats that a host receives, whatever the number of hosts, unless one of the
/// bounds above applies.
constexpr Duration heartbeatSpacing = std::chrono::milliseconds(8);
/// A peer is out of touch after the longer of this time and missedHeartbeatLimit intervals without a
/// heartbeat.
constexpr Duration minimumHeartbeatTimeout = std::chrono::milliseconds(1000);
constexpr int missedHeartbeatLimit = 3;

/// @return the time between two heartbeats of a host that has so many peers.
inline Duration heartbeatIntervalFor(size_t peers)
{
    const Duration spaced = heartbeatSpacing * static_cast<int64_t>(peers);
    return std::clamp(spaced, minimumHeartbeatInterval, maximumHeartbeatInterval);
}

/// @return the time without a heartbeat after which a peer is out of touch.
inline Duration heartbeatTimeoutFor(Duration heartbeatInterval)
{
    return std::max(minimumHeartbeatTimeout, heartbeatInterval * missedHeartbeatLimit);
}

} // namespace lacewing::gateway
