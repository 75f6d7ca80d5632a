#include "relay/relay_chooser.h"

#include <algorithm>

namespace lacewing::relay {

namespace {

/// Time for which a peer that failed gets no requests.
constexpr Duration failurePause = std::chrono::milliseconds(500);
/// Requests that a peer of the same data centre may have in hand beyond one of another data centre.
constexpr int remoteDataCentreCost = 4;

} // namespace

bool RelayChooser::mayUse(const reach::PeerReach& peer, MonotonicTime now) const
{
    const auto failed = m_failedAt.find(peer.host);
    const bool isPaused = failed != m_failedAt.end() && now - failed->second < failurePause;
    return peer.reachesUpstreams && !peer.isStopping && peer.relayAddress.port != 0 && !isPaused;
}

int RelayChooser::cost(const reach::PeerReach& peer) const
{
    const auto inHand = m_inHand.find(peer.host);
    const int requests = inHand == m_inHand.end() ? 0 : inHand->second;
    return requests + (peer.dataCentre == m_dataCentre ? 0 : remoteDataCentreCost);
}

std::optional<reach::PeerReach> RelayChooser::choose(
    const std::vector<reach::PeerReach>& peers, MonotonicTime now)
{
    std::vector<const reach::PeerReach*> best;
    for (const reach::PeerReach& peer : peers) {
        if (!mayUse(peer, now))
            continue;
        if (!best.empty() && cost(peer) > cost(*best.front()))
            continue;
        if (!best.empty() && cost(peer) < cost(*best.front()))
            best.clear();
        best.push_back(&peer);
    }
    if (best.empty())
        return std::nullopt;
    return *best[m_random.below(best.size())];
}

void RelayChooser::ended(const HostId& relay)
{
    const auto found = m_inHand.find(relay);
    if (found != m_inHand.end() && --found->second <= 0)
        m_inHand.erase(found);
}

} // namespace lacewing::relay
