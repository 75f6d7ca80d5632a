#pragma once

#include "base/periodic_timer.h"
#include "gateway/fleet_registry.h"
#include "gateway/peer_states.h"
#include "reach/peer_reach.h"
#include "stream_inquiry/stream_inquiry.h"
#include "transport/event_loop.h"
#include "transport/peer_links.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace lacewing::gateway {

/// The receivers of a heartbeat.
enum class HeartbeatAudience {
    /// All connected peers. They have received earlier heartbeats, so changes suffice.
    AllPeers,
    /// A peer that has just connected and needs the full state.
    NewPeer,
};

/// Maintains links to all live hosts, which carry heartbeats, run requests and rows.
///
/// Load pattern: each host sends heartbeats to all others, so the heartbeat interval grows with the number of
/// hosts, and each host receives a bounded number of heartbeats per second up to the maximum interval.
class PeerMesh {
public:
    struct Handlers {
        std::function<void(const HostId& peer, const PeerMessage& message)> onMessage;
        std::function<void(const HostId& peer)> onLost;
        /// @return the heartbeat to send now.
        std::function<PeerHeartbeat(HeartbeatAudience audience)> heartbeat;
    };

    /// @param loop must outlive the mesh.
    PeerMesh(EventLoop& loop, HostRecord self, Handlers handlers);

    /// Connects to the live hosts of the fleet; starts to listen once the link secret is known.
    void update(const FleetRegistry& registry);
    /// @return false if there is no link to the peer.
    bool send(const HostId& peer, const PeerMessage& message);
    void sendToAll(const PeerMessage& message);
    /// Sends a heartbeat at once, because of a change that peers must know soon.
    void sendHeartbeats();
    /// @return the peers in touch, that is, whose last heartbeat is more recent than the heartbeat timeout.
    std::map<HostId, const PeerStates::Peer*> peersInTouch() const;
    /// @return whether heartbeats indicate that an engine has a local copy of an adapter that it unloaded.
    bool hasCopy(const UpstreamId& engine, const AdapterRef& adapter) const
    {
        return m_states.hasCopy(engine, adapter);
    }
    bool isInTouch(const HostId& peer) const;
    /// @return what the peers in touch say of their links to upstreams.
    std::vector<reach::PeerReach> reaches() const;
    /// @return the live hosts except this one, by whether they can be asked.
    stream_inquiry::FleetReach reach() const;
    /// @return whether this incarnation of a peer is in touch.
    bool isInTouch(const HostId& peer, Incarnation incarnation) const;
    /// @return number of adapters that engines of peers in touch are fetching from the weight store.
    int fetchesInFlight() const { return m_states.fetchesInFlight(oldestHeartbeat()); }
    /// @return the engine's state as its owner last reported it, or null if no owner is in touch or it is
    ///     stopping.
    const PeerStates::Engine* engine(const UpstreamId& engine) const;
    /// @return the time between two heartbeats of a host; it grows with the number of hosts.
    Duration heartbeatInterval() const;
    const std::map<HostId, HostRecord>& hosts() const { return m_hosts; }

private:
    /// @return the time without a heartbeat after which a peer is out of touch.
    Duration heartbeatTimeout() const;
    /// @return the time without received data after which a link is closed.
    Duration linkIdleTimeout() const;
    Duration pingInterval() const;
    /// @return the time before which a last heartbeat is too old: its peer is out of touch.
    MonotonicTime oldestHeartbeat() const { return m_loop.now() - heartbeatTimeout(); }
    void listen(const std::string& secret);
    void connectMissing();
    void received(const HostId& peer, std::string_view frame);
    void disconnected(const HostId& peer, LinkError error);

    EventLoop& m_loop;
    HostRecord m_self;
    Handlers m_handlers;
    std::unique_ptr<PeerLinks> m_links;
    /// The live hosts except this one.
    std::map<HostId, HostRecord> m_hosts;
    PeerStates m_states;
    std::map<HostId, MonotonicTime> m_lastAttempt;
    std::set<HostId> m_connected;
    /// Peers whose last connection attempt was refused, since no process listens there.
    std::set<HostId> m_ended;
    PeriodicTimer m_heartbeatTimer;
    PeriodicTimer m_connectTimer;
};

} // namespace lacewing::gateway
