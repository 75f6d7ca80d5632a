#include "reach/peer_reach.h"

#include <algorithm>

namespace lacewing::reach {

bool shouldHandOver(Duration cutFor, const std::vector<PeerReach>& peers)
{
    return std::any_of(peers.begin(), peers.end(), [cutFor](const PeerReach& peer) {
        return peer.reachesUpstreams && !peer.isStopping && peer.heardAge && *peer.heardAge < cutFor;
    });
}

} // namespace lacewing::reach
