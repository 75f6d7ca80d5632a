#include "coordination/peer_revision_tracker.h"

#include <algorithm>

namespace lacewing {

namespace {

/// Reports older than this are ignored. A withdrawn key must stop working within 5 s, of which 2 s remain for
/// the report from the peer that knows of the withdrawal.
constexpr Duration reportLifetime = std::chrono::seconds(3);

/// Sessions are recorded only at intervals. A peer may have accepted a submission after it was last recorded
/// with a session, so it still counts for this time.
constexpr Duration sessionMargin = std::chrono::seconds(10);

} // namespace

void PeerRevisionTracker::recordSessions(const std::vector<SessionPeer>& peers, MonotonicTime now)
{
    m_sessionsKnown = true;
    for (const SessionPeer& peer : peers) {
        Peer& entry = m_peers[peer.host];
        entry.inSessionUntil = now;
        entry.stopped = peer.stopped;
    }
}

PeerRevisionTracker::Peer& PeerRevisionTracker::peerOf(const HostId& host, Incarnation incarnation)
{
    Peer& peer = m_peers[host];
    if (incarnation <= peer.incarnation)
        return peer;
    // A graceful shutdown reports the final revision of the earlier incarnation. Without one, that
    // incarnation may have accepted a submission between its last report and its end.
    const bool successive = incarnation == peer.incarnation + Incarnation(1);
    if (!peer.isShutDown || !successive)
        peer.coveredSince.reset();
    peer.incarnation = incarnation;
    peer.isShutDown = false;
    peer.reportedNoEarlierThan.reset();
    return peer;
}

void PeerRevisionTracker::report(const HostId& host, Incarnation incarnation, Revision revision, bool tableUp,
    MonotonicTime reportedNoEarlierThan, MonotonicTime now)
{
    Peer& peer = peerOf(host, incarnation);
    if (incarnation != peer.incarnation)
        return;
    if (peer.reportedNoEarlierThan && reportedNoEarlierThan <= *peer.reportedNoEarlierThan)
        return;
    peer.reportedNoEarlierThan = reportedNoEarlierThan;
    peer.revision = std::max(peer.revision, revision);
    peer.tableUp = tableUp;
    if (!peer.coveredSince)
        peer.coveredSince = now;
}

void PeerRevisionTracker::heartbeat(const HostId& host, Incarnation incarnation, Revision revision)
{
    Peer& peer = peerOf(host, incarnation);
    peer.revision = std::max(peer.revision, revision);
}

void PeerRevisionTracker::recordShutdown(const HostId& host, Incarnation incarnation)
{
    const auto found = m_peers.find(host);
    if (found != m_peers.end() && found->second.incarnation == incarnation)
        found->second.isShutDown = true;
}

bool PeerRevisionTracker::isStopped(const Peer& peer, MonotonicTime now)
{
    // A process may have started since an older connection attempt, for example while this one was paused.
    return peer.stopped && now - peer.stopped->last <= reportLifetime;
}

bool PeerRevisionTracker::confirmsRevision(
    const Peer& peer, Revision revision, MonotonicTime asOf, MonotonicTime now)
{
    if (!peer.coveredSince || *peer.coveredSince > asOf || peer.revision > revision)
        return false;
    if (peer.isShutDown)
        return isStopped(peer, now);
    return peer.reportedNoEarlierThan && now - *peer.reportedNoEarlierThan <= reportLifetime;
}

bool PeerRevisionTracker::acceptanceRuledOut(Revision revision, MonotonicTime asOf, MonotonicTime now) const
{
    if (!m_sessionsKnown)
        return false;
    int unaccounted = 0;
    for (const auto& [host, peer] : m_peers) {
        const bool stoppedBefore = isStopped(peer, now) && peer.stopped->first <= asOf;
        if (peer.inSessionUntil + sessionMargin < asOf || stoppedBefore)
            continue;
        if (!confirmsRevision(peer, revision, asOf, now)) {
            if (++unaccounted > 1)
                return false;
        } else if (peer.tableUp && !peer.isShutDown) {
            return false;
        }
    }
    return true;
}

bool PeerRevisionTracker::acceptanceConfirmed(Revision revision, MonotonicTime now) const
{
    bool isAlone = m_sessionsKnown;
    for (const auto& [host, peer] : m_peers) {
        if (peer.inSessionUntil + sessionMargin < now || isStopped(peer, now))
            continue;
        if (peer.revision >= revision)
            return true;
        isAlone = false;
    }
    return isAlone;
}

} // namespace lacewing
