#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "state/peer_messages.h"

#include <map>
#include <optional>
#include <vector>

namespace lacewing {

/// Period in which every connection attempt to a peer was refused, so that no process ran there.
struct StoppedPeriod {
    /// First and last refused attempt.
    MonotonicTime first;
    MonotonicTime last;
};

/// A peer that has a session in the table.
struct SessionPeer {
    HostId host;
    /// std::nullopt if the last connection attempt was not refused.
    std::optional<StoppedPeriod> stopped;
};

/// Interface through which the fleet's membership is read.
class SessionPeers {
public:
    virtual ~SessionPeers() = default;

    /// @return all other daemons with a session, or std::nullopt if the table could not be read yet.
    virtual std::optional<std::vector<SessionPeer>> sessionPeers() const = 0;
};

/// Tracks the configuration revision in force at each peer, and decides from it whether a newer submission
/// can have been accepted unnoticed while the table is down.
///
/// Load pattern: a table outage, during which daemons go on serving with the last known configuration. A
/// submission counts as accepted only when the submitter and at least one other daemon have put it in force.
/// A peer confirms a revision if it has recently reported that no higher one is in force there, and if every
/// incarnation of it since a given time has made such a report. If all peers but one confirm, at most one
/// daemon can have put a newer submission in force, so none was accepted.
class PeerRevisionTracker {
public:
    /// Records the peers that have a session now.
    void recordSessions(const std::vector<SessionPeer>& peers, MonotonicTime now);

    /// Records a peer's report of its revision and of whether it reaches the table.
    ///
    /// @param reportedNoEarlierThan a lower bound of the time of the report.
    void report(const HostId& peer, Incarnation incarnation, Revision revision, bool tableUp,
        MonotonicTime reportedNoEarlierThan, MonotonicTime now);

    /// Records that a peer has shut down gracefully. Its last heartbeat before must have carried its final
    /// revision.
    void recordShutdown(const HostId& peer, Incarnation incarnation);
    /// Records the revision in a heartbeat, whose age is unknown.
    void heartbeat(const HostId& peer, Incarnation incarnation, Revision revision);

    /// @param revision the revision in force here.
    /// @param asOf a time at which no higher revision existed.
    /// @return whether at most one peer with a session since then fails to confirm the revision, and all
    /// running peers that confirm it report the table down.
    bool acceptanceRuledOut(Revision revision, MonotonicTime asOf, MonotonicTime now) const;

    /// @return whether a peer with a session has put a revision in force, or no peer with a session runs.
    bool acceptanceConfirmed(Revision revision, MonotonicTime now) const;

private:
    struct Peer {
        MonotonicTime inSessionUntil {};
        std::optional<StoppedPeriod> stopped;
        Incarnation incarnation;
        /// All incarnations since this time have reported their revisions; std::nullopt before the first
        /// report.
        std::optional<MonotonicTime> coveredSince;
        Revision revision;
        bool tableUp = true;
        bool isShutDown = false;
        std::optional<MonotonicTime> reportedNoEarlierThan;
    };

    static bool isStopped(const Peer& peer, MonotonicTime now);
    static bool confirmsRevision(const Peer& peer, Revision revision, MonotonicTime asOf, MonotonicTime now);
    Peer& peerOf(const HostId& host, Incarnation incarnation);

    bool m_sessionsKnown = false;
    std::map<HostId, Peer> m_peers;
};

} // namespace lacewing
