#pragma once

#include "base/metrics.h"
#include "base/scheduler.h"
#include "coordination/membership.h"
#include "protocol/peer_codec.h"
#include "state/peer_messages.h"
#include "transport/peer_links.h"

#include <deque>
#include <functional>
#include <memory>

namespace lacewing {

/// Sends and receives typed messages over peer links. Messages to this daemon itself are delivered in order
/// in the next iteration of the event loop, so that callers treat local and remote peers alike.
class PeerNetwork : public PeerMessenger, public PeerConnector {
public:
    struct Handlers {
        std::function<void(const HostId& peer, const PeerMessage& message)> onMessage;
        std::function<void(const HostId& peer)> onConnected;
        std::function<void(const HostId& peer, DisconnectReason reason)> onDisconnected;
        /// Called before a run or quota request is sent to a peer, whether or not a link exists.
        std::function<void(const HostId& peer)> onPeerNeeded;
    };

    /// @param scheduler, metrics must outlive the network.
    PeerNetwork(Scheduler& scheduler, MetricsRegistry& metrics, HostId self, Handlers handlers);
    ~PeerNetwork() override;

    /// Starts to listen for links from peers.
    ///
    /// @return false if the address can't be bound; error then holds the reason.
    bool listen(EventLoop& loop, const PeerLinkOptions& options, std::string& error);

    bool send(const HostId& peer, const PeerMessage& message) override;
    void connect(const HostId& peer, const std::string& address) override;
    void disconnect(const HostId& peer) override;

    PeerLinks& links() { return *m_links; }

private:
    void received(const HostId& peer, std::string_view frame);
    void deliverLocal();

    Scheduler& m_scheduler;
    MetricsRegistry& m_metrics;
    HostId m_self;
    Handlers m_handlers;
    PeerCodec m_codec;
    std::deque<PeerMessage> m_local;
    TimerId m_localTimer = 0;
    std::unique_ptr<PeerLinks> m_links;
};

} // namespace lacewing
