#include "gateway/peer_mesh.h"

#include "base/log.h"
#include "gateway/heartbeat_interval.h"

#include <algorithm>

namespace lacewing::gateway {

namespace {

constexpr Duration connectInterval = std::chrono::milliseconds(100);
/// Time between two attempts to connect to the same peer.
constexpr Duration attemptInterval = std::chrono::milliseconds(200);
constexpr Duration connectTimeout = std::chrono::milliseconds(500);
/// The host with the higher ID delays its attempts by this time, so that the other one connects first and the
/// two do not open a link to each other at once.
constexpr Duration connectYieldTime = std::chrono::milliseconds(600);

} // namespace

PeerMesh::PeerMesh(EventLoop& loop, HostRecord self, Handlers handlers)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_handlers(std::move(handlers))
    , m_heartbeatTimer(
          loop, [this] { return heartbeatInterval(); }, [this] { sendHeartbeats(); })
    , m_connectTimer(
          loop, [] { return connectInterval; }, [this] { connectMissing(); })
{
}

Duration PeerMesh::heartbeatInterval() const
{
    return heartbeatIntervalFor(m_hosts.size());
}

Duration PeerMesh::linkIdleTimeout() const
{
    return std::max(minimumHeartbeatTimeout, heartbeatInterval()) * 2;
}

// Longer than the heartbeat interval, so that heartbeats make pings unnecessary on a working link.
Duration PeerMesh::pingInterval() const
{
    return linkIdleTimeout() * 3 / 4;
}

Duration PeerMesh::heartbeatTimeout() const
{
    return heartbeatTimeoutFor(heartbeatInterval());
}

void PeerMesh::update(const FleetRegistry& registry)
{
    const auto& secret = registry.linkSecret();
    if (!m_links && secret)
        listen(*secret);
    // A host that started when the store had lost the secret may have made another one.
    else if (m_links && secret && !secret->empty())
        m_links->setSecret(*secret);
    std::map<HostId, HostRecord> hosts;
    for (const HostRecord& record : registry.liveHosts(m_loop.now())) {
        if (record.host != m_self.host)
            hosts.emplace(record.host, record);
    }
    for (const auto& [host, record] : m_hosts) {
        if (hosts.count(host) == 0 && m_links && !m_links->isConnected(host))
            m_states.forget(host);
    }
    m_hosts = std::move(hosts);
    if (m_links)
        m_links->setSilence(linkIdleTimeout(), pingInterval());
    connectMissing();
}

void PeerMesh::listen(const std::string& secret)
{
    PeerLinkOptions options;
    options.self = m_self.host;
    options.incarnation = m_self.incarnation;
    options.dataCentre = m_self.dataCentre;
    options.listenAddress = m_self.peerAddress;
    options.secret = secret;
    options.connectTimeout = connectTimeout;
    options.silenceTimeout = linkIdleTimeout();
    options.pingInterval = pingInterval();
    PeerLinkHandlers handlers;
    handlers.onConnected = [this](const PeerIdentity& peer) {
        LogEvent(LogLevel::Info, "peer_connected").with("peer", peer.host);
        m_connected.insert(peer.host);
        m_ended.erase(peer.host);
        send(peer.host, m_handlers.heartbeat(HeartbeatAudience::NewPeer));
    };
    handlers.onDisconnected = [this](const HostId& peer, LinkError error) { disconnected(peer, error); };
    handlers.onFrame = [this](const HostId& peer, std::string_view frame) { received(peer, frame); };
    handlers.onRejected = [](LinkError error) {
        LogEvent(LogLevel::Warning, "peer_rejected").with("reason", toString(error));
    };
    std::string error;
    m_links = PeerLinks::listen(m_loop, options, std::move(handlers), error);
    if (!m_links) {
        LogEvent(LogLevel::Error, "peer_listen_failed").with("reason", error);
        return;
    }
    m_heartbeatTimer.start();
    m_connectTimer.start();
}

void PeerMesh::connectMissing()
{
    if (!m_links)
        return;
    const MonotonicTime now = m_loop.now();
    for (const auto& [host, record] : m_hosts) {
        if (m_links->isConnected(host))
            continue;
        const auto [last, isFirst] = m_lastAttempt.try_emplace(host, now);
        const bool yieldsConnect = host < m_self.host;
        const Duration pause = yieldsConnect ? connectYieldTime : attemptInterval;
        const bool isTooSoon = now - last->second < pause;
        if (isTooSoon && (yieldsConnect || !isFirst))
            continue;
        last->second = now;
        m_links->connect(host, record.peerAddress);
    }
}

void PeerMesh::disconnected(const HostId& peer, LinkError error)
{
    if (error == LinkError::Refused)
        m_ended.insert(peer);
    else
        m_ended.erase(peer);
    if (m_connected.erase(peer) == 0)
        return;
    LogEvent(LogLevel::Info, "peer_disconnected").with("peer", peer).with("reason", toString(error));
    m_states.forget(peer);
    m_lastAttempt[peer] = m_loop.now();
    m_handlers.onLost(peer);
}

void PeerMesh::received(const HostId& peer, std::string_view frame)
{
    const auto message = decodePeerMessage(frame);
    if (!message) {
        LogEvent(LogLevel::Warning, "peer_frame_skipped").with("peer", peer).with("bytes", frame.size());
        return;
    }
    if (const auto* heartbeat = std::get_if<PeerHeartbeat>(&*message))
        m_states.recordHeartbeat(peer, *heartbeat, m_loop.now());
    m_handlers.onMessage(peer, *message);
}

bool PeerMesh::send(const HostId& peer, const PeerMessage& message)
{
    return m_links && m_links->send(peer, encodePeerMessage(message));
}

void PeerMesh::sendHeartbeats()
{
    if (m_links && !m_connected.empty())
        sendToAll(m_handlers.heartbeat(HeartbeatAudience::AllPeers));
}

void PeerMesh::sendToAll(const PeerMessage& message)
{
    if (!m_links)
        return;
    const std::string frame = encodePeerMessage(message);
    const std::set<HostId> peers = m_connected;
    for (const HostId& peer : peers)
        m_links->send(peer, frame);
}

stream_inquiry::FleetReach PeerMesh::reach() const
{
    stream_inquiry::FleetReach reach;
    reach.connected = m_connected;
    for (const auto& [host, record] : m_hosts) {
        if (m_connected.count(host) > 0)
            continue;
        if (m_ended.count(host) > 0)
            ++reach.ended;
        else
            ++reach.unreachable;
    }
    return reach;
}

std::vector<reach::PeerReach> PeerMesh::reaches() const
{
    const MonotonicTime now = m_loop.now();
    std::vector<reach::PeerReach> reaches;
    for (const auto& [host, state] : peersInTouch()) {
        const PeerHeartbeat& heartbeat = state->heartbeat;
        const auto record = m_hosts.find(host);
        reach::PeerReach reach;
        reach.host = host;
        reach.dataCentre = record == m_hosts.end() ? DataCentreId() : record->second.dataCentre;
        reach.relayAddress = heartbeat.relayAddress;
        reach.reachesUpstreams = heartbeat.reachesUpstreams;
        reach.ownsEngines = !heartbeat.engines.empty();
        reach.isStopping = heartbeat.isStopping;
        if (heartbeat.upstreamsHeardAge)
            reach.heardAge = *heartbeat.upstreamsHeardAge + (now - state->heard);
        reaches.push_back(std::move(reach));
    }
    return reaches;
}

bool PeerMesh::isInTouch(const HostId& peer) const
{
    return m_states.isInTouch(peer, oldestHeartbeat());
}

bool PeerMesh::isInTouch(const HostId& peer, Incarnation incarnation) const
{
    return m_states.isInTouch(peer, incarnation, oldestHeartbeat());
}

const PeerStates::Engine* PeerMesh::engine(const UpstreamId& engine) const
{
    return m_states.engine(engine, oldestHeartbeat());
}

std::map<HostId, const PeerStates::Peer*> PeerMesh::peersInTouch() const
{
    std::map<HostId, const PeerStates::Peer*> peers;
    for (const auto& [host, state] : m_states.peers()) {
        if (state.heard > oldestHeartbeat())
            peers.emplace(host, &state);
    }
    return peers;
}

} // namespace lacewing::gateway
