#pragma once

#include "base/metrics.h"
#include "base/random.h"
#include "base/scheduler.h"
#include "gateway/peer_message.h"
#include "gateway/upstream_directory.h"
#include "table_sync/catch_up.h"

#include <functional>

namespace lacewing::gateway {

/// Fetches changes of the table of upstreams from peers if relays of them have not arrived, for example
/// because their sender has ended or a link was down.
///
/// Load pattern: see ChangeLog and CatchUp.
class UpstreamRowExchange {
public:
    using Send = std::function<void(const HostId& peer, const PeerMessage& message)>;

    /// @param scheduler, upstreams, random, metrics must outlive the exchange.
    UpstreamRowExchange(Scheduler& scheduler, UpstreamDirectory& upstreams, Random& random,
        MetricsRegistry& metrics, Send send);

    /// Handles the messages of peers that concern the table, and ignores the others.
    void onMessage(const HostId& peer, const PeerMessage& message);
    void peerLost(const HostId& peer) { m_catchUp.peerLost(peer); }

private:
    void request(const HostId& peer);

    UpstreamDirectory& m_upstreams;
    Random& m_random;
    MetricsRegistry& m_metrics;
    Send m_send;
    table_sync::CatchUp<RowVersion> m_catchUp;
};

} // namespace lacewing::gateway
