#pragma once

#include "base/random.h"
#include "base/scheduler.h"
#include "gateway/configuration_tracker.h"
#include "gateway/peer_message.h"
#include "table_sync/catch_up.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace lacewing::gateway {

/// Fetches operators' rows from peers when this host does not long-poll the store, when the store rejects its
/// calls, or when its connection to the store has stalled.
///
/// Load pattern: a change concerns all hosts at the same time, and neither the store nor a single peer may
/// have to send the configuration to all of them. A host that learns of a newer row waits for a random delay,
/// during which the store may deliver the row and further peers receive it, and then requests it from one
/// random peer that has it.
class OperatorRowExchange {
public:
    using Send = std::function<void(const HostId& peer, const PeerMessage& message)>;

    /// @param scheduler, tracker, random must outlive the exchange.
    OperatorRowExchange(Scheduler& scheduler, ConfigurationTracker& tracker, Random& random, Send send);

    /// @param newest highest row version that the peer has.
    /// @param revision of the peer's configuration. It may be newer than this host's although the peer's rows
    ///     are not, if the store has come back from a copy that lacks it.
    void onHeartbeat(const HostId& peer, RowVersion newest, Revision revision);
    void onRequest(const HostId& peer, const PeerOperatorRequest& request);
    /// Applies rows that a peer has sent, and tells it which of its evacuations have been removed. After rows
    /// that this host has asked for, sends the peer the evacuations that were not among them, which the peer
    /// may know to be removed.
    void onRows(const HostId& peer, const std::vector<StoredRow>& rows);
    void peerLost(const HostId& peer) { m_catchUp.peerLost(peer); }

private:
    /// Revision of the configuration and highest version of the rows that a host has.
    using Offer = std::pair<Revision, RowVersion>;

    Offer own() const;
    void request(const HostId& peer);
    void sendRows(const HostId& peer, const std::vector<StoredRow>& rows);
    /// Sends a peer the evacuations that a copy of the store lacks, since versions alone don't tell a host
    /// that has started since of them.
    void sendMissingEvacuations(const HostId& peer);

    Scheduler& m_scheduler;
    ConfigurationTracker& m_tracker;
    Random& m_random;
    Send m_send;
    table_sync::RowPacker m_packer;
    table_sync::CatchUp<Offer> m_catchUp;
    /// When peers were last sent evacuations; empty unless some are missing from the store.
    std::map<HostId, MonotonicTime> m_evacuationsSent;
};

} // namespace lacewing::gateway
