#pragma once

#include "base/random.h"
#include "reach/peer_reach.h"

#include <map>
#include <optional>
#include <vector>

namespace lacewing::relay {

/// Chooses the peer that passes a request on to an upstream.
///
/// Load pattern: most hosts, or all of a data centre, lose their links to the upstreams, so that few hosts
/// carry the requests of many. The requests are spread over those that are left, first within the data
/// centre, by the number that each of them has in hand for this host. A peer that could not be reached is
/// left alone for a short time.
class RelayChooser {
public:
    /// @param random must outlive the chooser.
    RelayChooser(DataCentreId dataCentre, Random& random)
        : m_dataCentre(std::move(dataCentre))
        , m_random(random)
    {
    }

    /// @return nothing if no peer can pass requests on.
    std::optional<reach::PeerReach> choose(const std::vector<reach::PeerReach>& peers, MonotonicTime now);
    void started(const HostId& relay) { ++m_inHand[relay]; }
    void ended(const HostId& relay);
    /// The peer could not be reached, or takes no requests of this host.
    void failed(const HostId& relay, MonotonicTime now) { m_failedAt[relay] = now; }

private:
    bool mayUse(const reach::PeerReach& peer, MonotonicTime now) const;
    /// @return what the choice of a peer costs, in requests in hand.
    int cost(const reach::PeerReach& peer) const;

    DataCentreId m_dataCentre;
    Random& m_random;
    std::map<HostId, int> m_inHand;
    std::map<HostId, MonotonicTime> m_failedAt;
};

} // namespace lacewing::relay
