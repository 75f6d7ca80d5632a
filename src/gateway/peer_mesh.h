#pragma once

#include "base/periodic_timer.h"
#include "gateway/fleet_registry.h"
#include "gateway/peer_states.h"
#include "transport/event_loop.h"
#include "transport/peer_links.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace lacewing::gateway {

/// Whom a heartbeat is for.
enum class HeartbeatAudience {
    /// All peers in touch, which know what earlier heartbeats said.
    AllPeers,
    /// A peer that has just connected and knows nothing yet.
    NewPeer,
};

/// Links to all living hosts, over which heartbeats and requests for runs go.
class PeerMesh {
public:
    struct Handlers {
        std::function<void(const HostId& peer, const PeerMessage& message)> onMessage;
        std::function<void(const HostId& peer)> onLost;
        /// @return what this host tells its peers now.
        std::function<PeerHeartbeat(HeartbeatAudience audience)> heartbeat;
    };

    /// @param loop must outlive the mesh.
    PeerMesh(EventLoop& loop, HostRecord self, Handlers handlers);

    /// Links to the hosts of the fleet; listens once the link secret is known.
    void update(const FleetRegistry& registry);
    /// @return false if there is no link to the peer.
    bool send(const HostId& peer, const PeerMessage& message);
    void sendToAll(const PeerMessage& message);
    /// Sends a heartbeat now, because something has changed that peers must know soon.
    void sendHeartbeats();
    /// @return peers whose heartbeats arrive.
    std::map<HostId, const PeerStates::Peer*> peersInTouch() const;
    /// @return whether an engine has a copy of an adapter that it dropped, as far as heartbeats told.
    bool hasCopy(const UpstreamId& engine, const AdapterRef& adapter) const
    {
        return m_states.hasCopy(engine, adapter);
    }
    bool isInTouch(const HostId& peer) const;
    /// @return whether heartbeats of a certain start of a peer's process arrive.
    bool isInTouch(const HostId& peer, Incarnation incarnation) const;
    /// @return adapters that the engines of all peers in touch fetch from the weight store.
    int fetchesInFlight() const { return m_states.fetchesInFlight(oldestHeartbeat()); }
    /// @return what a peer in touch that owns an engine and is not stopping says about it, or null.
    const PeerStates::Engine* engine(const UpstreamId& engine) const;
    /// @return the time between two heartbeats of a host.
    Duration heartbeatInterval() const;
    const std::map<HostId, HostRecord>& hosts() const { return m_hosts; }

private:
    Duration heartbeatTimeout() const;
    /// @return the time after which a link on which nothing arrives is closed.
    Duration linkIdleTimeout() const;
    Duration pingInterval() const;
    /// @return peers that were heard before this time are out of touch.
    MonotonicTime oldestHeartbeat() const { return m_loop.now() - heartbeatTimeout(); }
    void listen(const std::string& secret);
    void connectMissing();
    void received(const HostId& peer, std::string_view frame);
    void disconnected(const HostId& peer, LinkError error);

    EventLoop& m_loop;
    HostRecord m_self;
    Handlers m_handlers;
    std::unique_ptr<PeerLinks> m_links;
    /// Hosts that live, without this one.
    std::map<HostId, HostRecord> m_hosts;
    PeerStates m_states;
    std::map<HostId, MonotonicTime> m_lastAttempt;
    std::set<HostId> m_connected;
    PeriodicTimer m_heartbeatTimer;
    PeriodicTimer m_connectTimer;
};

} // namespace lacewing::gateway
