#pragma once

#include "gateway/cached_adapters.h"
#include "gateway/peer_message.h"

#include <map>

namespace lacewing::gateway {

/// What the last heartbeats of the peers said, by peer and by engine.
///
/// Load pattern: each request looks at all engines of its service, so the latest state of an engine is found
/// without a search in the heartbeats.
class PeerStates {
public:
    /// What the last heartbeat of a peer said, and when it arrived.
    struct Peer {
        PeerHeartbeat heartbeat;
        MonotonicTime heard;
    };

    /// What the owner of an engine last said about it, and when that arrived.
    struct Engine {
        HostId owner;
        EngineSummary summary;
        MonotonicTime heard;
    };

    void heard(const HostId& peer, const PeerHeartbeat& heartbeat, MonotonicTime now);
    /// The peer is gone, or may come back as another start of its host.
    void forget(const HostId& peer);

    const std::map<HostId, Peer>& peers() const { return m_peers; }
    /// @param oldest peers that were heard before this time are out of touch.
    bool isInTouch(const HostId& peer, MonotonicTime oldest) const;
    /// @return whether a certain start of a peer's process is in touch.
    bool isInTouch(const HostId& peer, Incarnation incarnation, MonotonicTime oldest) const;
    /// @return adapters that the engines of all peers in touch fetch from the weight store.
    int fetchesInFlight(MonotonicTime oldest) const;
    /// @return what a peer in touch that owns an engine and is not stopping says about it, or null.
    const Engine* engine(const UpstreamId& engine, MonotonicTime oldest) const;
    /// @return whether an engine has a copy of an adapter that it dropped, as far as heartbeats told.
    bool hasCopy(const UpstreamId& engine, const AdapterRef& adapter) const;

private:
    void forgetEngines(const HostId& peer, const PeerHeartbeat& heartbeat);
    void observeCopies(const PeerHeartbeat& heartbeat);
    void forgetUnknownCopies();

    std::map<HostId, Peer> m_peers;
    std::map<UpstreamId, Engine> m_engines;
    std::map<UpstreamId, CachedAdapters> m_copies;
};

} // namespace lacewing::gateway
