#include "reach/peer_reach.h"

#include <algorithm>

namespace lacewing::reach {

bool shouldHandOver(Duration cutFor, const std::vector<PeerReach>& peers)
{
    return std::any_of(peers.begin(), peers.end(), [cutFor](const PeerReach& peer) {
        return peer.reachesUpstreams && !peer.isStopping && peer.heardAge && *peer.heardAge < cutFor;
    });
}

bool isAnyReaching(bool reachesUpstreams, const std::vector<PeerReach>& peers)
{
    return reachesUpstreams || std::any_of(peers.begin(), peers.end(), [](const PeerReach& peer) {
        return peer.reachesUpstreams;
    });
}

std::set<HostId> hostsWithoutEngines(const std::vector<PeerReach>& peers)
{
    std::set<HostId> hosts;
    for (const PeerReach& peer : peers) {
        if (!peer.reachesUpstreams && !peer.ownsEngines)
            hosts.insert(peer.host);
    }
    return hosts;
}

} // namespace lacewing::reach
