#pragma once

#include "gateway/cached_adapters.h"
#include "gateway/peer_message.h"

#include <map>

namespace lacewing::gateway {

/// State from the last heartbeat of each peer, indexed by peer and by engine.
///
/// Load pattern: each request examines all engines of its service, so the state of an engine is looked up by
/// its ID instead of by a search through the heartbeats.
class PeerStates {
public:
    /// The last heartbeat of a peer and its time of arrival.
    struct Peer {
        PeerHeartbeat heartbeat;
        MonotonicTime heard;
    };

    /// The state of an engine as its owner last reported it, and the report's time of arrival.
    struct Engine {
        HostId owner;
        EngineSummary summary;
        MonotonicTime heard;
    };

    void recordHeartbeat(const HostId& peer, const PeerHeartbeat& heartbeat, MonotonicTime now);
    /// Removes the state of a peer that has disconnected. It may return as another incarnation.
    void forget(const HostId& peer);

    const std::map<HostId, Peer>& peers() const { return m_peers; }
    /// @param oldest peers whose last heartbeat arrived at or before this time are out of touch.
    bool isInTouch(const HostId& peer, MonotonicTime oldest) const;
    /// @return whether this incarnation of a peer is in touch.
    bool isInTouch(const HostId& peer, Incarnation incarnation, MonotonicTime oldest) const;
    /// @return number of adapters that engines of peers in touch are fetching from the weight store.
    int fetchesInFlight(MonotonicTime oldest) const;
    /// @return the engine's state as its owner last reported it, or null if no owner is in touch or it is
    ///     stopping.
    const Engine* engine(const UpstreamId& engine, MonotonicTime oldest) const;
    /// @return whether heartbeats indicate that an engine has a local copy of an adapter that it unloaded.
    bool hasCopy(const UpstreamId& engine, const AdapterRef& adapter) const;

private:
    void forgetEngines(const HostId& peer, const PeerHeartbeat& heartbeat);
    /// @return the known digests of the engines whose digest has not changed with a peer's heartbeat.
    std::map<UpstreamId, affinity::PrefixDigest> digestsOf(
        const HostId& peer, const PeerHeartbeat& heartbeat) const;
    void observeCopies(const PeerHeartbeat& heartbeat);
    void forgetUnknownCopies();

    std::map<HostId, Peer> m_peers;
    std::map<UpstreamId, Engine> m_engines;
    std::map<UpstreamId, CachedAdapters> m_copies;
};

} // namespace lacewing::gateway
