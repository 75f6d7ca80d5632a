#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "state/peer_messages.h"

#include <map>
#include <optional>
#include <vector>

namespace lacewing {

/// Time in which each attempt to connect to a peer was refused, so that no process ran there.
struct StoppedPeriod {
    /// First and last refused attempt.
    MonotonicTime first;
    MonotonicTime last;
};

/// A peer that has a session in the table.
struct SessionPeer {
    HostId host;
    /// Nothing if the last attempt to connect was not refused.
    std::optional<StoppedPeriod> stopped;
};

/// Port to the membership.
class SessionPeers {
public:
    virtual ~SessionPeers() = default;

    /// @return all other daemons with a session, or nothing if the table could not be read yet.
    virtual std::optional<std::vector<SessionPeer>> sessionPeers() const = 0;
};

/// Decides whether the peers rule out that a submission was accepted unnoticed while the table is down.
///
/// A submission counts as accepted only when the submitter and at least one more daemon have put it in force.
/// A peer vouches for a revision if it has just reported that no higher one is in force there, and if none of
/// its incarnations since a given time has gone without such a report. If all peers but one vouch, at most
/// one daemon can be in the know, so nothing was accepted.
class PeerRevisionTracker {
public:
    /// Notes the peers that have a session now.
    void recordSessions(const std::vector<SessionPeer>& peers, MonotonicTime now);

    /// Notes what a peer said.
    ///
    /// @param reportedNoEarlierThan a time before the peer said it.
    void report(const HostId& peer, Incarnation incarnation, Revision revision, bool tableUp,
        MonotonicTime reportedNoEarlierThan, MonotonicTime now);

    /// Notes that a peer has stopped gracefully. Its heartbeat just before must have told its last revision.
    void recordShutdown(const HostId& peer, Incarnation incarnation);
    /// Notes the revision in a heartbeat, whose age is not known.
    void heartbeat(const HostId& peer, Incarnation incarnation, Revision revision);

    /// @param revision the revision in force here.
    /// @param asOf a time at which no higher revision existed.
    /// @return whether at most one peer with a session since then does not vouch for the revision, and all
    /// who vouch and run report the table down.
    bool acceptanceRuledOut(Revision revision, MonotonicTime asOf, MonotonicTime now) const;

    /// @return whether a peer with a session has put a revision in force, or no peer with a session runs.
    bool acceptanceConfirmed(Revision revision, MonotonicTime now) const;

private:
    struct Peer {
        MonotonicTime inSessionUntil {};
        std::optional<StoppedPeriod> stopped;
        Incarnation incarnation;
        /// All incarnations since this time have told their revisions; nothing before the first report.
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
