#include "gateway/peer_states.h"

namespace lacewing::gateway {

namespace {

/// The copies of engines that no peer owns are forgotten once the engines with copies exceed twice the owned
/// engines by more than this.
constexpr size_t retainedUnknownCopies = 16;

} // namespace

void PeerStates::forgetEngines(const HostId& peer, const PeerHeartbeat& heartbeat)
{
    for (const EngineSummary& summary : heartbeat.engines) {
        const auto known = m_engines.find(summary.engine);
        if (known != m_engines.end() && known->second.owner == peer)
            m_engines.erase(known);
    }
}

void PeerStates::recordHeartbeat(const HostId& peer, const PeerHeartbeat& heartbeat, MonotonicTime now)
{
    observeCopies(heartbeat);
    Peer& state = m_peers[peer];
    const auto digests = digestsOf(peer, heartbeat);
    forgetEngines(peer, state.heartbeat);
    state = { heartbeat, now };
    for (const EngineSummary& summary : heartbeat.engines) {
        Engine& engine = m_engines[summary.engine] = { peer, summary, now };
        const auto known = digests.find(summary.engine);
        if (known != digests.end())
            engine.summary.prefixes->digest = known->second;
    }
    if (m_copies.size() > 2 * m_engines.size() + retainedUnknownCopies)
        forgetUnknownCopies();
}

std::map<UpstreamId, affinity::PrefixDigest> PeerStates::digestsOf(
    const HostId& peer, const PeerHeartbeat& heartbeat) const
{
    std::map<UpstreamId, affinity::PrefixDigest> digests;
    for (const EngineSummary& summary : heartbeat.engines) {
        if (!summary.prefixes || summary.prefixes->digest)
            continue;
        const auto known = m_engines.find(summary.engine);
        const bool isFromPeer = known != m_engines.end() && known->second.owner == peer;
        const auto& prefixes = isFromPeer ? known->second.summary.prefixes : summary.prefixes;
        if (prefixes && prefixes->digest)
            digests.emplace(summary.engine, *prefixes->digest);
    }
    return digests;
}

void PeerStates::observeCopies(const PeerHeartbeat& heartbeat)
{
    for (const EngineSummary& summary : heartbeat.engines) {
        if (summary.models.empty()) {
            // The engine has restarted, or its contents are not known yet.
            m_copies.erase(summary.engine);
            continue;
        }
        const auto before = m_engines.find(summary.engine);
        if (before != m_engines.end())
            m_copies[summary.engine].observe(before->second.summary.adapters, summary.adapters);
    }
}

void PeerStates::forgetUnknownCopies()
{
    for (auto copies = m_copies.begin(); copies != m_copies.end();)
        copies = m_engines.count(copies->first) > 0 ? std::next(copies) : m_copies.erase(copies);
}

bool PeerStates::hasCopy(const UpstreamId& engine, const AdapterRef& adapter) const
{
    const auto copies = m_copies.find(engine);
    return copies != m_copies.end() && copies->second.has(adapter);
}

void PeerStates::forget(const HostId& peer)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end())
        return;
    forgetEngines(peer, found->second.heartbeat);
    m_peers.erase(found);
}

bool PeerStates::isInTouch(const HostId& peer, MonotonicTime oldest) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() && found->second.heard > oldest;
}

bool PeerStates::isInTouch(const HostId& peer, Incarnation incarnation, MonotonicTime oldest) const
{
    return isInTouch(peer, oldest) && m_peers.at(peer).heartbeat.incarnation == incarnation;
}

int PeerStates::fetchesInFlight(MonotonicTime oldest) const
{
    int fetches = 0;
    for (const auto& [host, state] : m_peers)
        fetches += state.heard > oldest ? state.heartbeat.fetchesInFlight : 0;
    return fetches;
}

const PeerStates::Engine* PeerStates::engine(const UpstreamId& engine, MonotonicTime oldest) const
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end())
        return nullptr;
    const Engine& state = found->second;
    const auto owner = m_peers.find(state.owner);
    const bool isUsable
        = owner != m_peers.end() && owner->second.heard > oldest && !owner->second.heartbeat.isStopping;
    return isUsable ? &state : nullptr;
}

} // namespace lacewing::gateway
