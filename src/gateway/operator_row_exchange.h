#pragma once

#include "base/lifetime.h"
#include "base/scheduler.h"
#include "gateway/configuration_keeper.h"
#include "gateway/peer_message.h"

#include <functional>

namespace lacewing::gateway {

/// Brings rows of operators from peers to a host that the store does not serve, or whose connection to the
/// store has gone silent.
///
/// Load pattern: usually the store tells all hosts of a change at the same moment, and a large fleet must not
/// send the configuration between all pairs of hosts as well. A host that hears of a newer row therefore
/// waits a moment for the store, and then asks one peer.
class OperatorRowExchange {
public:
    using Send = std::function<void(const HostId& peer, const PeerMessage& message)>;

    /// @param scheduler, keeper must outlive the exchange.
    OperatorRowExchange(Scheduler& scheduler, ConfigurationKeeper& keeper, Send send);

    /// @param newest version of the newest row that the peer has.
    void heartbeatArrived(const HostId& peer, RowVersion newest);
    void requested(const HostId& peer, const PeerOperatorRequest& request);

private:
    void askIfBehind(const HostId& peer, RowVersion newest);

    Scheduler& m_scheduler;
    ConfigurationKeeper& m_keeper;
    Send m_send;
    bool m_isWaiting = false;
    Lifetime m_lifetime;
};

} // namespace lacewing::gateway
