#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "transport/http_message.h"

#include <optional>
#include <set>
#include <vector>

namespace lacewing::reach {

/// What a peer in touch has said of its links to the upstreams.
struct PeerReach {
    HostId host;
    DataCentreId dataCentre;
    /// Where the peer takes requests that it passes on to upstreams; port 0 if it takes none.
    SocketAddress relayAddress;
    bool reachesUpstreams = true;
    bool ownsEngines = false;
    bool isStopping = false;
    /// Time since the peer last heard an upstream; nothing if it has heard none.
    std::optional<Duration> heardAge;
};

/// @return whether a host that can't reach the upstreams should leave its engines to others: a peer must have
///     heard upstreams since, or else all upstreams may be silent, and no owner is better than another.
///
/// @param cutFor time for which this host has been cut off.
bool shouldHandOver(Duration cutFor, const std::vector<PeerReach>& peers);

/// @return whether a host of the fleet reaches the upstreams.
///
/// @param reachesUpstreams whether this host does.
bool isAnyReaching(bool reachesUpstreams, const std::vector<PeerReach>& peers);

/// @return the peers that have given up their engines because they can't reach the upstreams.
std::set<HostId> hostsWithoutEngines(const std::vector<PeerReach>& peers);

} // namespace lacewing::reach
