#pragma once

#include "base/lifetime.h"
#include "base/random.h"
#include "base/scheduler.h"
#include "gateway/configuration_tracker.h"
#include "gateway/peer_message.h"

#include <functional>
#include <vector>

namespace lacewing::gateway {

/// Brings rows of operators from peers to a host that does not follow the store closely, that the store does
/// not serve, or whose connection to the store has gone silent.
///
/// Load pattern: a change concerns all hosts at the same moment, and neither the store nor one peer may have
/// to send the configuration to all of them. A host that hears of a newer row waits for a random time, in
/// which the store may tell it and further peers get the row, and then asks one of those that have it.
class OperatorRowExchange {
public:
    using Send = std::function<void(const HostId& peer, const PeerMessage& message)>;

    /// @param scheduler, tracker, random must outlive the exchange.
    OperatorRowExchange(Scheduler& scheduler, ConfigurationTracker& tracker, Random& random, Send send);

    /// @param newest version of the newest row that the peer has.
    void onHeartbeat(const HostId& peer, RowVersion newest);
    void onRequest(const HostId& peer, const PeerOperatorRequest& request);

private:
    void requestIfBehind();
    Duration requestDelay();

    Scheduler& m_scheduler;
    ConfigurationTracker& m_tracker;
    Random& m_random;
    Send m_send;
    bool m_isWaiting = false;
    /// Newest version that a peer has told of, and the peers that have it.
    RowVersion m_newestPeerVersion;
    std::vector<HostId> m_sources;
    Lifetime m_lifetime;
};

} // namespace lacewing::gateway
