#pragma once

#include "base/lifetime.h"
#include "base/periodic_timer.h"
#include "base/random.h"
#include "coordination/backoff.h"
#include "coordination/peer_info.h"
#include "coordination/session_directory.h"
#include "state/peer_messages.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lacewing {

/// Opens and closes links to peers. Attempts end with Membership::connected() or Membership::disconnected().
class PeerConnector {
public:
    virtual ~PeerConnector() = default;

    virtual void connect(const HostId& peer, const std::string& address) = 0;
    virtual void disconnect(const HostId& peer) = 0;
};

/// A peer from the settings.
struct PeerSeed {
    HostId host;
    std::string address;
};

struct MembershipSettings {
    HostId host;
    std::vector<PeerSeed> seeds;
    Duration heartbeatInterval = std::chrono::seconds(1);
    /// A linked peer that has not answered a heartbeat for this long is considered paused.
    Duration heartbeatTimeout = std::chrono::seconds(3);
    /// Fleets of up to this many daemons are fully meshed.
    size_t fullMeshLimit = 16;
    /// Neighbours on the ring in a larger fleet, half of them on each side.
    size_t ringNeighbours = 8;
};

/// Tracks the state of each peer and decides which peers to link with (section 4.2 of docs/design.md).
///
/// Small fleets are fully meshed. In larger ones each daemon opens links only to a fixed number of ring
/// neighbours and to the peers requested by retainLink(), which limits its heartbeat traffic. Links that are
/// no longer wanted are not closed by this class, only not reopened.
class Membership {
public:
    using Listener = std::function<void(const PeerInfo& peer)>;

    /// All references must outlive the object.
    ///
    /// @param status describes this daemon; called for each heartbeat.
    /// @param incarnation this daemon's current incarnation, 0 without a session.
    /// @param tableUp whether the last call to the table reached it.
    Membership(MembershipSettings settings, Scheduler& scheduler, PeerMessenger& messenger,
        PeerConnector& connector, SessionDirectory& directory, std::function<LocalStatus()> status,
        std::function<Incarnation()> incarnation, std::function<bool()> tableUp, uint64_t seed);

    void start();

    void connected(const HostId& peer);
    void disconnected(const HostId& peer, DisconnectReason reason);

    /// Records a heartbeat and acknowledges it.
    ///
    /// @param guarding the value for HeartbeatAck::guarding.
    void heartbeatReceived(const HostId& peer, const Heartbeat& heartbeat, bool guarding);
    /// Records an acknowledgement.
    ///
    /// @return when the acknowledged heartbeat was sent, or std::nullopt if its time is no longer stored.
    std::optional<MonotonicTime> ackReceived(const HostId& peer, const HeartbeatAck& ack);
    /// @return when a heartbeat was sent, or std::nullopt if its time is no longer stored.
    std::optional<MonotonicTime> sentAt(uint64_t seq) const;
    void goodbyeReceived(const HostId& peer, const Goodbye& goodbye);

    /// Sends a heartbeat immediately after a change of the state that it reports.
    void sendHeartbeatNow() { sendHeartbeats(); }
    /// Notifies all linked peers that this daemon is stopping.
    void sendGoodbye();

    /// Opens and reopens a link to a peer even if it is not a ring neighbour. Calls are reference-counted:
    /// each must be matched by one of releaseLink().
    void retainLink(const HostId& peer);
    void releaseLink(const HostId& peer);

    const std::map<HostId, PeerInfo>& peers() const { return m_peers; }
    /// @return nullptr for an unknown peer.
    const PeerInfo* find(const HostId& peer) const;
    /// @return the number of sessions that have not ended, including this daemon's own; at least 1.
    size_t fleetSize() const;
    /// @param listener is called after each change of a peer's state, incarnation or daemon state.
    void addListener(Listener listener) { m_listeners.push_back(std::move(listener)); }

private:
    struct Attempt {
        Backoff backoff;
        MonotonicTime notBefore {};
        bool connecting = false;
    };

    void tick();
    void sendHeartbeats();
    Heartbeat makeHeartbeat();
    void updateStates();
    void updateLinks();
    void updateLink(PeerInfo& peer, bool wanted);
    std::set<HostId> wantedLinks() const;
    void addRingNeighbours(std::vector<HostId> hosts, std::set<HostId>& wanted) const;
    bool isCandidate(const HostId& host) const;
    void sessionSeen(const SessionEntry& entry);
    void setState(PeerInfo& peer, PeerState state);
    void notify(const PeerInfo& peer);
    PeerInfo& peer(const HostId& host);
    Attempt& attempt(const HostId& host);

    MembershipSettings m_settings;
    Scheduler& m_scheduler;
    PeerMessenger& m_messenger;
    PeerConnector& m_connector;
    SessionDirectory& m_directory;
    std::function<LocalStatus()> m_status;
    std::function<Incarnation()> m_incarnation;
    std::function<bool()> m_tableUp;
    Random m_random;
    PeriodicTimer m_timer;
    std::map<HostId, PeerInfo> m_peers;
    std::map<HostId, Attempt> m_attempts;
    std::map<HostId, int> m_linkReferences;
    std::vector<Listener> m_listeners;
    uint64_t m_seq = 0;
    /// Sequence numbers and send times of the last heartbeats.
    std::deque<std::pair<uint64_t, MonotonicTime>> m_sent;
};

} // namespace lacewing
