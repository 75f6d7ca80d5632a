#include "daemon/daemon.h"

#include "base/log.h"
#include "daemon/daemon_http.h"

#include <algorithm>
#include <chrono>

namespace lacewing {

namespace {

constexpr Duration refreshInterval = std::chrono::seconds(1);
/// Minimum interval between the upstream reports that owners send to entries.
constexpr Duration reportInterval = std::chrono::milliseconds(250);
/// Unchanged reports are repeated after this many intervals, for peers that have missed one.
constexpr int reportRepeatIntervals = 8;
constexpr Duration drainCheckInterval = std::chrono::milliseconds(50);
/// Longest wait for the table at the end of a graceful stop. While the table is down the session can't be
/// ended; it expires by itself.
constexpr Duration handOverTimeout = std::chrono::seconds(10);
/// Number of daemons in each data centre that poll the head of the configuration in the table.
constexpr size_t pollersPerDataCentre = 2;
constexpr std::string_view upstreamLeasePrefix = "upstream/";
constexpr std::string_view quotaLeasePrefix = "allotment/";

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

UpstreamId upstreamOf(const std::string& leaseName)
{
    return UpstreamId(leaseName.substr(upstreamLeasePrefix.size()));
}

int partitionOf(const std::string& leaseName)
{
    return std::stoi(leaseName.substr(quotaLeasePrefix.size()));
}

std::string leaseNameOf(const UpstreamId& upstream)
{
    return std::string(upstreamLeasePrefix) + upstream.value();
}

/// @return a number that increases with each start of the daemon on a host. Numbers are only compared with
/// those of the same host.
Incarnation makeIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return Incarnation(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

uint64_t seedOf(const DaemonSettings& settings, Incarnation start)
{
    return std::hash<HostId>()(settings.host) ^ static_cast<uint64_t>(start.value());
}

FleetMemberSettings memberSettings(const DaemonSettings& settings)
{
    FleetMemberSettings member;
    member.session.host = settings.host;
    member.session.dataCentre = settings.dataCentre;
    member.session.region = settings.region;
    for (const SeedSettings& seed : settings.seeds) {
        if (seed.host != settings.host)
            member.seeds.push_back({ seed.host, seed.peerAddress.text() });
    }
    return member;
}

ConfigurationStoreOptions storeOptions(const DaemonSettings& settings, Incarnation start)
{
    ConfigurationStoreOptions options;
    options.self = settings.host;
    options.incarnation = start;
    return options;
}

} // namespace

Daemon::Daemon(EventLoop& loop, DaemonSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_incarnation(makeIncarnation())
    , m_client(HttpClient::create(loop, callIdField))
    , m_callIds(m_settings.host.value() + "-" + std::to_string(m_incarnation.value()))
    , m_tableService(*m_client, m_callIds, m_settings.platformAddress, m_metrics)
    , m_objectStore(*m_client, m_callIds, m_settings.platformAddress)
    , m_network(loop, m_metrics, m_settings.host,
          { [this](const HostId& peer, const PeerMessage& message) { received(peer, message); },
              [this](const HostId& peer) { m_member.connected(peer); },
              [this](const HostId& peer, DisconnectReason reason) { peerDisconnected(peer, reason); },
              [this](const HostId& peer) { m_linkDemand.recordSendAttempt(peer); } })
    , m_member(
          memberSettings(m_settings), loop, m_tableService, m_network, m_network, *this,
          [this] { return localStatus(); }, m_safetyRules, seedOf(m_settings, m_incarnation))
    , m_linkDemand(loop, m_member.membership())
    , m_ranking(m_member, seedOf(m_settings, m_incarnation) + 1)
    , m_configurations(storeOptions(m_settings, m_incarnation),
          { loop, m_member.table(), m_objectStore, m_network, m_codec, *this })
    , m_keys(m_settings.keySecret)
    , m_retryBudget(loop)
    , m_claims(loop, m_tableService, m_settings.host, Incarnation(0),
          [this](const HostId& host, Incarnation incarnation) { return mayBeRunning(host, incarnation); })
    , m_quota(
          loop, m_network, m_settings.host, m_incarnation, [this] { return m_member.session().isValid(); })
    , m_loadLimiter(loop, m_quota.client())
    , m_router(
          loop, m_settings.dataCentre,
          [this](const UpstreamId& upstream) { return m_member.leases().holderOf(leaseNameOf(upstream)); },
          seedOf(m_settings, m_incarnation) + 2)
    , m_owners({ loop, *m_client, m_network, m_metrics, m_callIds }, m_loadLimiter,
          { [this](const UpstreamId& upstream, Duration margin) {
               return m_member.leases().mayAct(leaseNameOf(upstream), margin);
           },
              [this](const UpstreamId& upstream) { m_member.leases().release(leaseNameOf(upstream)); } })
    , m_entries({ loop, m_network, m_metrics, m_quota.client(), m_router, m_retryBudget, m_claims, {}, {} },
          m_settings.host, m_keys,
          { [this]() -> const Configuration& { return m_configurations.configuration(); },
              [this] { return m_configurations.keyedRoutesOpen(); } })
    , m_http(std::make_unique<DaemonHttp>(*this))
    , m_refreshTimer(
          loop, [] { return refreshInterval; }, [this] { refresh(); })
    , m_reportTimer(
          loop, [] { return reportInterval; }, [this] { sendReports(); })
{
    m_configurations.onApplied([this](const ConfigurationDelta&) { configurationApplied(); });
    m_member.session().addListener(*this);
}

Daemon::~Daemon()
{
    m_loop.cancel(m_stopTimer);
}

bool Daemon::start(std::string& error)
{
    PeerLinkOptions links;
    links.self = m_settings.host;
    links.incarnation = m_incarnation;
    links.dataCentre = m_settings.dataCentre;
    links.listenAddress = m_settings.peerAddress;
    links.secret = m_settings.peerSecret;
    if (!m_network.listen(m_loop, links, error))
        return false;
    HttpServerOptions options;
    options.address = m_settings.callerAddress;
    m_server = HttpServer::listen(
        m_loop, options, [this](std::shared_ptr<HttpExchange> exchange) { m_http->handle(exchange); },
        [this](const std::string& reason) {
            ++m_metrics.counter("lacewing_refusals_total", { { "reason", "http_" + reason } });
        },
        error);
    if (!m_server)
        return false;
    m_member.session().setAddresses(peerAddress().text(), callerAddress().text());
    m_member.start();
    m_configurations.start();
    m_refreshTimer.start();
    m_reportTimer.start();
    return true;
}

void Daemon::leaseAcquired(const std::string& name, FencingNumber fencingNumber)
{
    if (startsWith(name, upstreamLeasePrefix))
        m_owners.leaseAcquired(upstreamOf(name), fencingNumber);
    else if (startsWith(name, quotaLeasePrefix))
        m_quota.partitionAcquired(partitionOf(name));
}

void Daemon::leaseLost(const std::string& name)
{
    if (startsWith(name, upstreamLeasePrefix))
        m_owners.leaseLost(upstreamOf(name));
    else if (startsWith(name, quotaLeasePrefix))
        m_quota.partitionLost(partitionOf(name));
}

void Daemon::handOverRequested(const std::string& name)
{
    if (startsWith(name, upstreamLeasePrefix))
        return m_owners.handOver(upstreamOf(name));
    m_quota.partitionLost(partitionOf(name));
    m_member.leases().release(name);
}

void Daemon::sessionBecameValid()
{
    m_claims.setIncarnation(m_member.session().incarnation());
}

bool Daemon::mayBeRunning(const HostId& host, Incarnation incarnation) const
{
    const SessionEntry* entry = m_member.directory().find(host);
    return !entry || !m_safetyRules.isGone(entry->row, incarnation);
}

void Daemon::sessionEnded()
{
    LogEvent(LogLevel::Warning, "session_ended").with("replaced", m_member.session().wasReplaced());
}

std::optional<std::vector<SessionPeer>> Daemon::sessionPeers() const
{
    if (!m_member.directory().isLoaded())
        return std::nullopt;
    std::vector<SessionPeer> peers;
    for (const auto& [host, entry] : m_member.directory().entries()) {
        if (host == m_settings.host || entry.row.state == SessionState::Ended)
            continue;
        SessionPeer peer { host, std::nullopt };
        const PeerInfo* info = m_member.membership().find(host);
        if (info && info->refusedSince)
            peer.stopped = StoppedPeriod { *info->refusedSince, info->lastRefused };
        peers.push_back(std::move(peer));
    }
    return peers;
}

void Daemon::received(const HostId& peer, const PeerMessage& message)
{
    if (const auto* request = std::get_if<RunRequest>(&message))
        return m_owners.received(peer, *request);
    if (const auto* chunk = std::get_if<RunChunk>(&message))
        return m_entries.received(peer, *chunk);
    if (const auto* end = std::get_if<RunEnd>(&message))
        return m_entries.received(peer, *end);
    if (const auto* cancel = std::get_if<RunCancel>(&message))
        return m_owners.received(peer, *cancel);
    if (const auto* window = std::get_if<RunWindow>(&message))
        return m_owners.received(peer, *window);
    if (const auto* reports = std::get_if<UpstreamReports>(&message))
        return m_router.reported(peer, *reports);
    if (!m_quota.received(peer, message))
        receivedFleetMessage(peer, message);
}

void Daemon::receivedFleetMessage(const HostId& peer, const PeerMessage& message)
{
    if (const auto* fetch = std::get_if<ConfigFetch>(&message))
        return m_configurations.onConfigFetch(peer, *fetch);
    if (const auto* data = std::get_if<ConfigData>(&message))
        return m_configurations.onConfigData(peer, *data);
    if (const auto* heartbeat = std::get_if<Heartbeat>(&message))
        m_configurations.onHeartbeat(peer, *heartbeat);
    if (const auto* goodbye = std::get_if<Goodbye>(&message))
        m_configurations.onGoodbye(peer, *goodbye);
    if (const auto* ack = std::get_if<HeartbeatAck>(&message)) {
        if (const auto sentAt = m_member.membership().sentAt(ack->seq))
            m_configurations.onHeartbeatAck(peer, *ack, *sentAt);
    }
    m_member.received(peer, message);
}

void Daemon::peerDisconnected(const HostId& peer, DisconnectReason reason)
{
    m_member.disconnected(peer, reason);
    m_router.ownerLost(peer);
    m_entries.ownerLost(peer);
    m_owners.entryLost(peer);
}

LocalStatus Daemon::localStatus() const
{
    LocalStatus status;
    status.state = m_hasBeenReady ? DaemonState::Live : DaemonState::Starting;
    status.revision = m_configurations.revision();
    status.configurationHash = m_configurations.hash();
    Heartbeat described;
    m_configurations.fillStatus(described);
    status.headAgeMs = described.headAgeMs;
    status.load = static_cast<int64_t>(m_entries.requestCount());
    return status;
}

void Daemon::configurationApplied()
{
    const Configuration& configuration = m_configurations.configuration();
    LogEvent(LogLevel::Info, "configuration_applied")
        .with("revision", m_configurations.revision())
        .with("hash", m_configurations.hash());
    m_quota.setConfiguration(configuration);
    m_router.setConfiguration(configuration);
    m_owners.setConfiguration(configuration);
    std::vector<LeaseName> names = QuotaService::leaseNames();
    for (const auto& [id, upstream] : configuration.upstreams)
        names.push_back({ leaseNameOf(id), upstream.dataCentre });
    m_member.leases().setNames(std::move(names));
    if (!m_keys.update(configuration.keys).empty())
        m_entries.stopRequestsWithWithdrawnKeys();
    m_member.membership().sendHeartbeatNow();
}

void Daemon::refresh()
{
    updatePolling();
    m_linkDemand.expire();
    m_quota.refreshHolders(m_member.leases());
    if (!m_hasBeenReady && m_configurations.revision() > Revision(0) && m_quota.isReady()) {
        m_hasBeenReady = true;
        m_member.membership().sendHeartbeatNow();
    }
    m_entries.checkConfigurationFreshness();
}

void Daemon::updatePolling()
{
    // The daemons with the lowest ids among the reachable ones of a data centre poll.
    size_t before = 0;
    for (const auto& [host, peer] : m_member.membership().peers()) {
        const bool isCandidate = peer.state == PeerState::Alive && peer.dataCentre == m_settings.dataCentre;
        if (isCandidate && host < m_settings.host)
            ++before;
    }
    m_configurations.setPolling(before < pollersPerDataCentre);
}

void Daemon::sendReports()
{
    const UpstreamReports reports = m_owners.reports();
    const std::string encoded = PeerCodec::encode(reports);
    ++m_intervalsSinceReport;
    if (encoded == m_lastReports && m_intervalsSinceReport < reportRepeatIntervals)
        return;
    m_lastReports = encoded;
    m_intervalsSinceReport = 0;
    m_router.reported(m_settings.host, reports);
    for (const auto& [host, peer] : m_member.membership().peers()) {
        if (peer.linked)
            m_network.send(host, reports);
    }
}

void Daemon::updateGauges()
{
    m_metrics.gauge("lacewing_configuration_revision")
        = static_cast<double>(m_configurations.revision().value());
    m_metrics.gauge("lacewing_entry_requests") = static_cast<double>(m_entries.requestCount());
    m_metrics.gauge("lacewing_owner_requests") = static_cast<double>(m_owners.requestCount());
    m_metrics.gauge("lacewing_allotment_partitions") = static_cast<double>(m_quota.partitionCount());
    m_metrics.gauge("lacewing_session_valid") = m_member.session().isValid() ? 1 : 0;
    m_metrics.gauge("lacewing_keyed_routes_open") = m_configurations.keyedRoutesOpen() ? 1 : 0;
    m_metrics.gauge("lacewing_peer_sent_bytes") = static_cast<double>(m_network.links().sentBytes());
    m_metrics.gauge("lacewing_peer_received_bytes") = static_cast<double>(m_network.links().receivedBytes());
    m_metrics.gauge("lacewing_table_budget_calls") = static_cast<double>(m_member.budget().callCount());
}

bool Daemon::isReady()
{
    return m_hasBeenReady && m_configurations.keyedRoutesOpen() && !m_member.session().isLeaving();
}

void Daemon::stop(std::function<void()> done)
{
    if (m_stopCallback)
        return;
    m_stopCallback = std::move(done);
    LogEvent(LogLevel::Info, "stop_requested").with("requests", m_entries.requestCount());
    m_member.leave();
    // Callers may cache the addresses in a /v1/hosts response for its lifetime and use them until then.
    m_stopTimer = m_loop.runAfter(m_settings.hostsLifetime, [this] {
        m_server->beginDrain();
        waitForRequests();
    });
}

void Daemon::waitForRequests()
{
    if (m_entries.requestCount() + m_server->openExchangeCount() > 0) {
        m_stopTimer = m_loop.runAfter(drainCheckInterval, [this] { waitForRequests(); });
        return;
    }
    m_server->stopListening();
    handOverAll();
}

void Daemon::handOverAll()
{
    if (m_owners.requestCount() > 0) {
        m_stopTimer = m_loop.runAfter(drainCheckInterval, [this] { handOverAll(); });
        return;
    }
    m_quota.client().stop();
    m_stopTimer = m_loop.runAfter(handOverTimeout, [this] {
        LogEvent(LogLevel::Warning, "stop_without_table").with("host", m_settings.host);
        finishStop();
    });
    m_member.finishLeaving([this] { finishStop(); });
}

void Daemon::finishStop()
{
    m_loop.cancel(m_stopTimer);
    LogEvent(LogLevel::Info, "stopped").with("host", m_settings.host);
    m_stopCallback();
}

} // namespace lacewing
