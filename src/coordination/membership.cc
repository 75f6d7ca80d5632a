#include "coordination/membership.h"

#include "base/log.h"
#include "base/stable_hash.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

constexpr Duration shortestReconnect = std::chrono::milliseconds(500);
constexpr Duration longestReconnect = std::chrono::seconds(4);
/// Number of heartbeats whose send times are kept; the acknowledgement of an older one does not extend the
/// session. With one heartbeat per second they cover about 30 s, compared with a default guard TTL of 6 s.
/// Heartbeats sent on a new link or a change of state shorten that time.
constexpr size_t maximumSentHeartbeats = 32;
/// An ended session may belong to a host that was removed permanently. Links to hosts whose session ended
/// within this time are kept, because a live daemon starts a new incarnation within seconds.
constexpr Duration endedLinkTime = std::chrono::seconds(30);

uint64_t ringPosition(const HostId& host)
{
    return Random(fnv1a(host.value())).next();
}

} // namespace

Membership::Membership(MembershipSettings settings, Scheduler& scheduler, PeerMessenger& messenger,
    PeerConnector& connector, SessionDirectory& directory, std::function<LocalStatus()> status,
    std::function<Incarnation()> incarnation, std::function<bool()> tableUp, uint64_t seed)
    : m_settings(std::move(settings))
    , m_scheduler(scheduler)
    , m_messenger(messenger)
    , m_connector(connector)
    , m_directory(directory)
    , m_status(std::move(status))
    , m_incarnation(std::move(incarnation))
    , m_tableUp(std::move(tableUp))
    , m_random(seed)
    , m_timer(
          scheduler, [this] { return m_settings.heartbeatInterval; }, [this] { tick(); })
{
    for (const PeerSeed& seedPeer : m_settings.seeds) {
        if (seedPeer.host != m_settings.host)
            peer(seedPeer.host).address = seedPeer.address;
    }
    m_directory.addListener([this](const SessionEntry& entry) { sessionSeen(entry); });
}

void Membership::start()
{
    m_timer.start();
    updateLinks();
}

void Membership::connected(const HostId& host)
{
    PeerInfo& info = peer(host);
    info.linked = true;
    info.tried = true;
    info.refusedSince.reset();
    info.lastAnswer = m_scheduler.now();
    Attempt& tried = attempt(host);
    tried.connecting = false;
    tried.backoff.reset();
    setState(info, PeerState::Alive);
    m_messenger.send(host, makeHeartbeat());
}

void Membership::disconnected(const HostId& host, DisconnectReason reason)
{
    PeerInfo& info = peer(host);
    info.linked = false;
    if (reason != DisconnectReason::Refused) {
        info.refusedSince.reset();
    } else {
        info.lastRefused = m_scheduler.now();
        info.refusedSince = info.refusedSince.value_or(info.lastRefused);
    }
    Attempt& tried = attempt(host);
    tried.connecting = false;
    tried.notBefore = m_scheduler.now() + tried.backoff.afterFailure(m_random);
    // A refused connection shows that no process listens. After a goodbye, a broken link adds no information.
    if (reason == DisconnectReason::Refused || info.state == PeerState::Stopped)
        setState(info, PeerState::Stopped);
    else
        setState(info, PeerState::Unreachable);
}

void Membership::heartbeatReceived(const HostId& host, const Heartbeat& heartbeat, bool guarding)
{
    PeerInfo& info = peer(host);
    const bool changed = info.incarnation != heartbeat.incarnation || info.daemonState != heartbeat.state;
    info.incarnation = heartbeat.incarnation;
    info.daemonState = heartbeat.state;
    info.revision = heartbeat.revision;
    info.configurationHash = heartbeat.configurationHash;
    info.headAgeMs = heartbeat.headAgeMs;
    info.headAgeAt = m_scheduler.now();
    info.tableUp = heartbeat.tableUp;
    info.load = heartbeat.load;
    const LocalStatus status = m_status();
    HeartbeatAck ack;
    ack.seq = heartbeat.seq;
    ack.incarnation = m_incarnation();
    ack.peerIncarnation = heartbeat.incarnation;
    ack.guarding = guarding;
    ack.revision = status.revision;
    ack.configurationHash = status.configurationHash;
    ack.headAgeMs = status.headAgeMs;
    ack.tableUp = m_tableUp();
    m_messenger.send(host, ack);
    if (changed)
        notify(info);
}

std::optional<MonotonicTime> Membership::ackReceived(const HostId& host, const HeartbeatAck& ack)
{
    PeerInfo& info = peer(host);
    info.lastAnswer = m_scheduler.now();
    info.incarnation = std::max(info.incarnation, ack.incarnation);
    info.revision = ack.revision;
    info.configurationHash = ack.configurationHash;
    info.headAgeMs = ack.headAgeMs;
    info.headAgeAt = m_scheduler.now();
    info.tableUp = ack.tableUp;
    if (info.linked && (info.state != PeerState::Stopped || ack.incarnation > info.goodbyeIncarnation))
        setState(info, PeerState::Alive);
    return sentAt(ack.seq);
}

std::optional<MonotonicTime> Membership::sentAt(uint64_t seq) const
{
    for (const auto& [sentSeq, time] : m_sent) {
        if (sentSeq == seq)
            return time;
    }
    return std::nullopt;
}

void Membership::goodbyeReceived(const HostId& host, const Goodbye& goodbye)
{
    PeerInfo& info = peer(host);
    info.goodbyeIncarnation = std::max(info.goodbyeIncarnation, goodbye.incarnation);
    if (goodbye.incarnation >= info.incarnation)
        setState(info, PeerState::Stopped);
}

void Membership::sendGoodbye()
{
    for (const auto& [host, info] : m_peers) {
        if (info.linked)
            m_messenger.send(host, Goodbye { m_incarnation() });
    }
}

void Membership::retainLink(const HostId& host)
{
    if (++m_linkReferences[host] == 1)
        updateLinks();
}

void Membership::releaseLink(const HostId& host)
{
    const auto found = m_linkReferences.find(host);
    if (found != m_linkReferences.end() && --found->second == 0)
        m_linkReferences.erase(found);
}

const PeerInfo* Membership::find(const HostId& host) const
{
    const auto found = m_peers.find(host);
    return found == m_peers.end() ? nullptr : &found->second;
}

size_t Membership::fleetSize() const
{
    return m_directory.activeCountExcept(m_settings.host) + 1;
}

void Membership::tick()
{
    updateStates();
    updateLinks();
    sendHeartbeats();
}

void Membership::sendHeartbeats()
{
    const Heartbeat heartbeat = makeHeartbeat();
    for (const auto& [host, info] : m_peers) {
        if (info.linked)
            m_messenger.send(host, heartbeat);
    }
}

Heartbeat Membership::makeHeartbeat()
{
    const LocalStatus status = m_status();
    Heartbeat heartbeat;
    heartbeat.seq = ++m_seq;
    heartbeat.incarnation = m_incarnation();
    heartbeat.state = status.state;
    heartbeat.revision = status.revision;
    heartbeat.configurationHash = status.configurationHash;
    heartbeat.headAgeMs = status.headAgeMs;
    heartbeat.tableUp = m_tableUp();
    heartbeat.load = status.load;
    m_sent.emplace_back(heartbeat.seq, m_scheduler.now());
    if (m_sent.size() > maximumSentHeartbeats)
        m_sent.pop_front();
    return heartbeat;
}

void Membership::updateStates()
{
    const MonotonicTime now = m_scheduler.now();
    for (auto& [host, info] : m_peers) {
        if (info.linked && info.state == PeerState::Alive
            && now - info.lastAnswer >= m_settings.heartbeatTimeout)
            setState(info, PeerState::Paused);
        if (info.state == PeerState::Alive || !info.tried)
            continue;
        const SessionEntry* entry = m_directory.find(host);
        // The guardian needs the newest row version, and other daemons should learn of the session's end
        // soon.
        if (entry && entry->row.state != SessionState::Ended
            && now - info.stateSince < m_settings.heartbeatTimeout * 10)
            m_directory.refresh(host);
    }
}

void Membership::updateLinks()
{
    const std::set<HostId> wanted = wantedLinks();
    for (auto& [host, info] : m_peers)
        updateLink(info, wanted.count(host) != 0);
}

void Membership::updateLink(PeerInfo& info, bool wanted)
{
    Attempt& tried = attempt(info.host);
    // Without a permanent link, only the session row shows whether the peer is alive.
    if (!wanted && !info.linked && !tried.connecting)
        info.tried = false;
    if (!wanted || info.linked || tried.connecting || info.address.empty()
        || m_scheduler.now() < tried.notBefore)
        return;
    tried.connecting = true;
    info.tried = true;
    m_connector.connect(info.host, info.address);
}

std::set<HostId> Membership::wantedLinks() const
{
    std::set<HostId> wanted;
    std::vector<HostId> hosts;
    for (const auto& [host, info] : m_peers) {
        if (isCandidate(host))
            hosts.push_back(host);
        if (m_linkReferences.count(host) != 0)
            wanted.insert(host);
    }
    if (hosts.size() + 1 <= m_settings.fullMeshLimit)
        wanted.insert(hosts.begin(), hosts.end());
    else
        addRingNeighbours(std::move(hosts), wanted);
    return wanted;
}

void Membership::addRingNeighbours(std::vector<HostId> hosts, std::set<HostId>& wanted) const
{
    std::vector<std::pair<uint64_t, HostId>> ring;
    ring.reserve(hosts.size());
    for (const HostId& host : hosts)
        ring.emplace_back(ringPosition(host), host);
    std::sort(ring.begin(), ring.end());
    const std::pair<uint64_t, HostId> self(ringPosition(m_settings.host), m_settings.host);
    const auto after = static_cast<size_t>(std::lower_bound(ring.begin(), ring.end(), self) - ring.begin());
    const size_t side = std::min(m_settings.ringNeighbours / 2, ring.size() / 2);
    for (size_t step = 0; step < side; ++step) {
        wanted.insert(ring[(after + step) % ring.size()].second);
        wanted.insert(ring[(after + ring.size() - 1 - step) % ring.size()].second);
    }
}

bool Membership::isCandidate(const HostId& host) const
{
    const SessionEntry* entry = m_directory.find(host);
    if (entry) {
        return entry->row.state != SessionState::Ended
            || m_scheduler.now() - entry->firstSeen < endedLinkTime;
    }
    return !m_directory.isLoaded();
}

void Membership::sessionSeen(const SessionEntry& entry)
{
    if (entry.row.host == m_settings.host)
        return;
    PeerInfo& info = peer(entry.row.host);
    info.address = entry.row.address;
    info.dataCentre = entry.row.dataCentre;
    info.region = entry.row.region;
    if (entry.row.incarnation > info.incarnation && info.state == PeerState::Stopped)
        attempt(entry.row.host).notBefore = MonotonicTime {};
    notify(info);
}

void Membership::setState(PeerInfo& info, PeerState state)
{
    if (info.state == state)
        return;
    LogEvent(LogLevel::Info, "peer_state_changed")
        .with("host", m_settings.host)
        .with("peer", info.host)
        .with("from", toString(info.state))
        .with("to", toString(state));
    info.state = state;
    info.stateSince = m_scheduler.now();
    notify(info);
}

void Membership::notify(const PeerInfo& info)
{
    for (const Listener& listener : m_listeners)
        listener(info);
}

PeerInfo& Membership::peer(const HostId& host)
{
    PeerInfo& info = m_peers[host];
    info.host = host;
    return info;
}

Membership::Attempt& Membership::attempt(const HostId& host)
{
    return m_attempts.try_emplace(host, Attempt { Backoff(shortestReconnect, longestReconnect) })
        .first->second;
}

} // namespace lacewing
