#include "gateway/gateway.h"

#include "base/log.h"
#include "table_sync/reader_election.h"

#include <algorithm>
#include <random>

namespace lacewing::gateway {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

/// Number of lifetimes of a discovery response for which callers may still use it.
constexpr int directoryGraceLifetimes = 3;
/// Time reserved for final writes before the platform kills the process.
constexpr Duration exitMargin = std::chrono::milliseconds(400);
constexpr Duration idleCheckInterval = std::chrono::milliseconds(50);
constexpr Duration openOrderInterval = std::chrono::milliseconds(10);
/// Software versions of engines that are remembered.
constexpr size_t maximumEngineVersions = 64;
/// Interval at which one host looks for records of streams that hosts have left behind.
constexpr Duration recordSweepInterval = std::chrono::seconds(60);
/// Callers try to take a stream up until their deadline, which counts from their first try.
constexpr int triesPerStream = 2;
constexpr Duration shortestStreamLifetime = std::chrono::seconds(30);
constexpr Duration memberInterval = std::chrono::milliseconds(500);
/// Callers reuse idle connections for almost the whole timeout as measured on their side, so the server waits
/// longer than that.
constexpr Duration idleSlack = std::chrono::milliseconds(1000);

/// Part of the memory for messages that bodies of requests may take, so that responses to them find room.
constexpr double requestBodyShare = 0.6;
/// A caller that takes nothing of its answers for this time is disconnected if memory is short.
constexpr Duration longestReadStall = std::chrono::seconds(1);

Incarnation randomIncarnation()
{
    std::random_device device;
    const uint64_t high = device();
    return Incarnation(static_cast<int64_t>(((high << 32) | device()) >> 1));
}

HostRecord recordOf(const GatewaySettings& settings, Incarnation incarnation)
{
    return { settings.host, incarnation, settings.peerAddress, settings.callerAddress, settings.dataCentre,
        0 };
}

/// Without fencing, owners must stop when their lease expires, so the lease is longer, to outlast a short
/// outage of the store.
constexpr int leaseMultiplierWithoutFencing = 2;

Duration ownerLease(const GatewaySettings& settings)
{
    return settings.enginesCheckFencing ? settings.leaseTime
                                        : settings.leaseTime * leaseMultiplierWithoutFencing;
}

} // namespace

Gateway::Gateway(EventLoop& loop, HttpClient& client, MemoryAccount& memory,
    const PlatformInterfaces& platform, GatewaySettings settings)
    : m_loop(loop)
    , m_platform(platform)
    , m_settings(std::move(settings))
    , m_incarnation(randomIncarnation())
    , m_started(loop.now())
    , m_random(static_cast<uint64_t>(m_incarnation.value()))
    , m_configuration(loop, platform.store, platform.rows,
          { [this] { configurationChanged(); },
              [this](const AdapterRelease& release) { m_owners.released(release); },
              [this](const region::EvacuationChange& change, const char* source) {
                  evacuationChanged(change, source);
              } })
    , m_upstreams(loop, platform.store, platform.rows,
          { [this] { upstreamsChanged(); },
              [this](
                  const table_sync::ChangeSet& changes) { m_mesh.sendToAll(PeerUpstreamRows { changes }); },
              [this](const DataCentreId& dataCentre) {
                  return m_configuration.evacuations().isEvacuated(dataCentre);
              } },
          m_settings.regions, m_random.next())
    , m_picker(m_random.next())
    , m_limits(m_settings.host, &m_warmUpLimits)
    , m_usage(m_settings.usageWindow, m_settings.host,
          m_settings.isFirstStart ? m_started - m_settings.usageWindow : m_started)
    , m_retries(m_settings.retries)
    , m_fleet(loop, platform.store, recordOf(m_settings, m_incarnation), ownerLease(m_settings),
          m_settings.enginesCheckFencing ? OwnershipRule::EnginesCheckFencing : OwnershipRule::LeaseOnly,
          { [this] { fleetChanged(); },
              [this](const UpstreamId& engine, FencingNumber number) { m_owners.claimed(engine, number); },
              [this](const UpstreamId& engine) { m_owners.lost(engine); }, [this] { return engineIds(); },
              [this] { return ineligibleHosts(); }, [this] { return reportedOwners(); },
              [this](const UpstreamId& engine, FencingNumber number) { m_owners.renumbered(engine, number); },
              [this] { storeRestored(); },
              [this](const char* kind, size_t count) { rowsWrittenAgain(kind, count); },
              [this](const std::vector<StoredRow>& rows, bool isWholeTable) {
                  if (isWholeTable)
                      m_serviceVersions.tableRead(rows);
                  else
                      m_serviceVersions.rowsChanged(rows);
              },
              [this] { return reach::hostsWithoutEngines(m_mesh.reaches()); } })
    , m_mesh(loop, recordOf(m_settings, m_incarnation),
          { [this](const HostId& peer, const PeerMessage& message) { peerMessage(peer, message); },
              [this](const HostId& peer) { peerLost(peer); },
              [this](HeartbeatAudience audience) { return heartbeat(audience); } })
    , m_directory(m_settings, m_mesh, m_configuration)
    , m_operatorRows(loop, m_configuration, m_random,
          [this](const HostId& peer, const PeerMessage& message) { m_mesh.send(peer, message); })
    , m_upstreamRows(loop, m_upstreams, m_random, m_metrics,
          [this](const HostId& peer, const PeerMessage& message) { m_mesh.send(peer, message); })
    , m_owners(loop, platform.engines, m_upstreams, m_configuration, m_settings.host,
          { [this](const RunGrant& grant) { runGranted(grant); },
              [this](const RunDenial& denial) { runDenied(denial); },
              [this](const UpstreamId& engine) { m_fleet.stepDown(engine); }, [this] { return mayOrder(); },
              [this](const UpstreamId& engine, const char* kind) { engineRequestSent(engine, kind); },
              [this](const UpstreamId& engine) { return requestRate(engine); },
              [this](const UpstreamId& engine) { return m_picker.speeds().lastPublished(engine); } })
    , m_broker(loop, m_limits, m_settings.host)
    , m_engineView(
          loop, m_upstreams, m_fleet, m_mesh, m_owners, m_picker, m_settings.host, m_settings.dataCentre)
    , m_admitter(m_configuration, m_usage, m_random)
    , m_limitExchange(loop, m_limits, m_upstreams, m_metrics,
          { [this](const PeerMessage& message) { m_mesh.sendToAll(message); },
              [this](const UpstreamId& upstream) { requestRateChanged(upstream); },
              [this](const ColdStatement& statement) { m_warmUp.observed(statement); },
              [this](const ColdStatement& statement) { m_warmUp.told(statement); } })
    , m_warmUp(loop, m_warmUpLimits, m_limits, m_upstreams, m_configuration,
          { [this](const PeerMessage& message) { m_mesh.sendToAll(message); },
              [this](const UpstreamId& upstream) { requestRateChanged(upstream); } })
    , m_availability(loop, m_upstreams, m_metrics,
          { [this](const PeerMessage& message) { m_mesh.sendToAll(message); },
              [this](const UpstreamId& upstream) { availabilityChanged(upstream); } })
    , m_quarantineRows(loop, platform.store)
    , m_quarantine(loop, m_random, m_metrics,
          { [this](const PeerMessage& message) { m_mesh.sendToAll(message); },
              [this](const Quarantine& quarantine) { m_quarantineRows.save(quarantine); } })
    , m_serviceVersions(loop, platform.store,
          { [this] { return m_upstreams.softwareVersions(); }, [this] { return longestStream(); },
              [this] { return hostsAhead(); },
              [this](const StoredRow& row) { m_mesh.sendToAll(PeerServiceVersions { { row } }); } })
    , m_streamRecords(
          loop, platform.store, m_metrics, [this] { return longestStream(); },
          [this](size_t count) { rowsWrittenAgain("stream", count); })
    , m_streamVersions(m_serviceVersions, m_streamRecords,
          { [this] { return m_fleet.reachesStore(); },
              [this](const ServiceId& service) { return m_upstreams.softwareVersions(service); },
              [this](const ServiceId& service, const std::optional<StreamName>& name,
                  StreamInquiryExchange::Callback callback) {
                  m_streamInquiries.inquire(service, name, std::move(callback));
              } })
    , m_streamInquiries(loop,
          { [this] { return m_mesh.reach(); },
              [this](const ServiceId& service, const std::optional<StreamName>& name) {
                  return m_streamVersions.knowledge(service, name);
              },
              [this](const HostId& peer, const PeerMessage& message) { m_mesh.send(peer, message); } })
    , m_sweepTimer(
          loop, [] { return recordSweepInterval; },
          [this] {
              if (m_fleet.reachesStore() && hostsAhead() == 0)
                  m_streamRecords.sweep();
          })
    , m_memory(memory)
    , m_responseMemory(loop, memory, { [this] { relieveMemory(); } })
    , m_permits(loop, m_limits, m_settings.host,
          { [this](const HostId& peer, const PeerMessage& message) { return m_mesh.send(peer, message); },
              [this] { return permitDeciders(); }, [this] { return shareInTouch(); },
              [this](const UpstreamId& upstream) {
                  return m_engineView.ownerOf(upstream).has_value() || !m_warmUp.mayDecide(upstream);
              } })
    , m_plainSelector(m_upstreams, m_picker, m_limits, m_permits, m_settings.dataCentre)
    , m_links(loop, client, platform.evidence, memory, m_metrics, m_random,
          { m_settings.host, m_incarnation, m_settings.dataCentre }, linkHandlers())
    , m_services { loop, m_links.client(), platform.calls, m_configuration, m_upstreams, m_engineView,
        m_broker, m_picker, m_limits, m_upstreams.availability(), m_permits, m_plainSelector, m_usage,
        m_admitter, m_retries, m_quarantine, m_responseMemory, m_streamVersions, m_metrics, m_random,
        [this] { reportUsage(); },
        [this](const LimitObservation& observation, const std::string& requestId) {
            m_limitExchange.observed(observation, requestId);
        },
        [this](const AvailabilityObservation& observation, const std::string& requestId) {
            m_availability.observed(observation, requestId);
        } }
    , m_memberTimer(
          loop, [] { return memberInterval; }, [this] { updateMembers(); })
{
    m_broker.connect(m_owners, m_mesh);
    m_owners.setOverloadPolicy(m_settings.overloadPolicy);
    m_admitter.setOverloadPolicy(m_settings.overloadPolicy);
    platform.engines.setAvailabilityObserver(
        [this](const AvailabilityObservation& observation, const char* kind) {
            m_availability.observed(observation, kind);
        });
    platform.engines.setColdObserver([this](const EngineTarget& target, Duration remaining) {
        m_warmUp.observed({ target.id, target.startedAt, remaining });
    });
    m_usage.setTolerance(m_settings.usageTolerance);
    m_engineView.setPromptAffinity(m_settings.promptAffinity);
}

Gateway::~Gateway() = default;

bool Gateway::listen(std::unique_ptr<HttpServer>& server, const SocketAddress& address,
    HttpServer::Handler handler, std::string& error)
{
    HttpServerOptions options;
    options.address = address;
    options.memory = &m_memory;
    options.bodyShare = requestBodyShare;
    const auto observer = [this](const std::string& reason) {
        ++m_metrics.counter("lacewing_rejected_requests_total", { { "reason", reason } });
    };
    server = HttpServer::listen(m_loop, options, std::move(handler), observer, error);
    return server != nullptr;
}

bool Gateway::start(std::string& error)
{
    const bool isListening
        = listen(
              m_callerServer, m_settings.callerAddress,
              [this](std::shared_ptr<HttpExchange> exchange) { acceptCall(std::move(exchange)); }, error)
        && listen(
            m_directoryServer, m_settings.directoryAddress,
            [this](const std::shared_ptr<HttpExchange>& exchange) { answerDirectory(*exchange); }, error)
        && listen(
            m_readinessServer, m_settings.readinessAddress,
            [this](const std::shared_ptr<HttpExchange>& exchange) { answerReadiness(*exchange); }, error)
        && listen(
            m_metricsServer, m_settings.metricsAddress,
            [this](const std::shared_ptr<HttpExchange>& exchange) { answerMetrics(*exchange); }, error);
    if (!isListening)
        return false;
    if (m_settings.relayAddress().port != 0)
        m_links.listen(m_settings.relayAddress());
    m_configuration.start();
    m_upstreams.start();
    m_fleet.start();
    m_links.start();
    m_quarantineRows.read([this](const Quarantine& quarantine) { m_quarantine.restore(quarantine); });
    m_memberTimer.start();
    m_serviceVersions.start();
    m_streamRecords.start();
    m_sweepTimer.start();
    LogEvent(LogLevel::Info, "started")
        .with("host", m_settings.host)
        .with("incarnation", m_incarnation)
        .with("caller_address", m_settings.callerAddress.text());
    return true;
}

void Gateway::reload(const GatewaySettings& settings)
{
    m_settings.leaseTime = settings.leaseTime;
    m_settings.stopTime = settings.stopTime;
    m_settings.usageWindow = settings.usageWindow;
    m_settings.retries = settings.retries;
    m_settings.directoryLifetime = settings.directoryLifetime;
    m_settings.promptAffinity = settings.promptAffinity;
    m_engineView.setPromptAffinity(settings.promptAffinity);
    m_fleet.setLeaseTime(ownerLease(settings));
    m_memory.setLimit(settings.messageMemory());
    m_usage.setWindow(settings.usageWindow);
    m_usage.setTolerance(settings.usageTolerance);
    m_retries.setLimits(settings.retries);
    LogEvent(LogLevel::Info, "settings_reloaded").with("host", m_settings.host);
}

void Gateway::relieveMemory()
{
    const size_t closed = m_callerServer->closeStalled(longestReadStall);
    m_metrics.counter("lacewing_stalled_callers_closed_total") += static_cast<int64_t>(closed);
    LogEvent(LogLevel::Warning, "memory_short")
        .with("held_bytes", m_memory.held())
        .with("limit_bytes", m_memory.limit())
        .with("waiting_answers", m_responseMemory.waitingCount())
        .with("closed_callers", closed);
}

void Gateway::acceptCall(std::shared_ptr<HttpExchange> exchange)
{
    const auto call = std::make_shared<ProxiedCall>(
        m_services, std::move(exchange), [this](ProxiedCall* finished) { callFinished(finished); });
    m_calls.emplace(call.get(), call);
    call->start();
}

void Gateway::callFinished(ProxiedCall* call)
{
    const auto node = m_calls.extract(call);
    if (!node)
        return;
    // Destroys the call in the next iteration of the event loop, since one of its functions is still running.
    m_loop.runAfter(Duration::zero(), [kept = node.mapped()] {});
}

void Gateway::answerDirectory(HttpExchange& exchange)
{
    if (!m_platform.surface.isDirectoryPath(exchange.path())) {
        exchange.reply(statusNotFound, {}, "");
        return;
    }
    const auto addresses
        = m_directory.addresses(m_platform.surface.readDirectoryQuery(exchange.query()), isReady());
    if (addresses.empty()) {
        exchange.reply(statusUnavailable, {}, "");
        return;
    }
    exchange.reply(statusOk, { { "Content-Type", "application/json" } },
        m_platform.surface.directoryAnswer(addresses, toSeconds(m_settings.directoryLifetime)));
}

void Gateway::answerReadiness(HttpExchange& exchange)
{
    if (!m_platform.surface.isReadinessPath(exchange.path()))
        exchange.reply(statusNotFound, {}, "");
    else
        exchange.reply(isReady() ? statusOk : statusUnavailable, {}, "");
}

void Gateway::answerMetrics(HttpExchange& exchange)
{
    m_metrics.gauge("lacewing_open_calls") = static_cast<double>(m_calls.size());
    m_metrics.gauge("lacewing_owned_engines") = static_cast<double>(m_owners.summaries().size());
    m_metrics.gauge("lacewing_message_bytes") = static_cast<double>(m_memory.held());
    m_metrics.gauge("lacewing_message_bytes_limit") = static_cast<double>(m_memory.limit());
    m_metrics.gauge("lacewing_waiting_answers") = static_cast<double>(m_responseMemory.waitingCount());
    m_metrics.gauge("lacewing_leaving_upstreams")
        = static_cast<double>(m_upstreams.availability().leavingCount());
    m_metrics.gauge("lacewing_resting_upstreams")
        = static_cast<double>(m_upstreams.availability().restingCount(m_loop.now()));
    const speed::UpstreamSpeeds::Overview slowdown = m_picker.speeds().overview(m_loop.now());
    m_metrics.gauge("lacewing_upstream_slowdown", { { "statistic", "mean" } }) = slowdown.mean;
    m_metrics.gauge("lacewing_upstream_slowdown", { { "statistic", "maximum" } }) = slowdown.maximum;
    m_metrics.gauge("lacewing_evacuated_data_centres")
        = static_cast<double>(m_configuration.evacuations().count());
    m_metrics.gauge("lacewing_reaches_upstreams") = m_links.monitor().reachesUpstreams() ? 1 : 0;
    m_metrics.gauge("lacewing_limited_upstreams") = static_cast<double>(m_limits.limitedCount());
    m_metrics.gauge("lacewing_cold_upstreams") = static_cast<double>(m_warmUpLimits.coldCount());
    m_metrics.gauge("lacewing_quarantined_prompts") = static_cast<double>(m_quarantine.activeCount());
    m_metrics.gauge("lacewing_peers_in_touch") = static_cast<double>(m_mesh.peersInTouch().size());
    m_metrics.gauge("lacewing_store_era") = static_cast<double>(m_fleet.storeEra().value());
    m_metrics.gauge("lacewing_configuration_revision")
        = static_cast<double>(m_configuration.revision().value());
    exchange.reply(statusOk, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.text());
}

PeerHeartbeat Gateway::heartbeat(HeartbeatAudience audience)
{
    PeerHeartbeat heartbeat;
    heartbeat.incarnation = m_incarnation;
    heartbeat.isReady = isReady();
    heartbeat.isStopping = m_isStopping;
    heartbeat.reachesStore = m_fleet.reachesStore();
    heartbeat.callerAddress = m_settings.callerAddress;
    heartbeat.configurationVersion = m_configuration.rowVersion();
    heartbeat.operatorVersion = m_configuration.newestRowVersion();
    heartbeat.configurationRevision = m_configuration.revision();
    heartbeat.storeEra = m_fleet.storeEra();
    heartbeat.configurationAge = m_configuration.age();
    heartbeat.usageKnownFor = m_loop.now() - m_usage.knownSince();
    heartbeat.usage = audience == HeartbeatAudience::NewPeer ? m_usage.fullReport(m_loop.now())
                                                             : m_usage.heartbeatReport(m_loop.now());
    heartbeat.fetchesInFlight = m_owners.fetchLimiter().inFlight();
    if (audience == HeartbeatAudience::AllPeers)
        m_owners.fetchLimiter().told();
    heartbeat.quietUpstreams = m_upstreams.quietSpan();
    heartbeat.reachesUpstreams = m_links.monitor().reachesUpstreams();
    heartbeat.upstreamsHeardAge = m_links.monitor().heardAge();
    heartbeat.relayAddress = m_links.relayAddress();
    heartbeat.engines = m_owners.summaries();
    if (m_settings.promptAffinity)
        m_owners.addPrefixes(heartbeat.engines, audience == HeartbeatAudience::AllPeers);
    if (audience == HeartbeatAudience::NewPeer) {
        heartbeat.limits = m_limits.allToTell(m_loop.now());
        heartbeat.quarantines = m_quarantine.all();
        heartbeat.leaving = m_upstreams.availability().leaving();
        heartbeat.serviceVersions = m_serviceVersions.rows();
    }
    return heartbeat;
}

void Gateway::peerMessage(const HostId& peer, const PeerMessage& message)
{
    m_limitExchange.onMessage(peer, message);
    m_availability.onMessage(peer, message);
    m_upstreamRows.onMessage(peer, message);
    m_streamInquiries.onMessage(peer, message);
    m_quarantine.onMessage(peer, message);
    if (const auto* heartbeat = std::get_if<PeerHeartbeat>(&message)) {
        const MonotonicTime now = m_loop.now();
        m_usage.peerReported(peer, heartbeat->incarnation, heartbeat->usage, now);
        const Duration knownFor = std::min(heartbeat->usageKnownFor, m_settings.usageWindow);
        m_usage.extendKnownSince(now - knownFor);
        m_operatorRows.onHeartbeat(peer, heartbeat->operatorVersion, heartbeat->configurationRevision);
        if (heartbeat->configurationAge)
            m_configuration.recordPeerVersion(heartbeat->configurationVersion,
                heartbeat->configurationRevision, *heartbeat->configurationAge);
        m_fleet.peerKnowsEra(heartbeat->storeEra);
        if (!heartbeat->serviceVersions.empty())
            m_serviceVersions.rowsChanged(heartbeat->serviceVersions);
        m_owners.fetchLimiter().setPeersInFlight(m_mesh.fetchesInFlight(), m_peersInTouch);
        recordSpeeds(*heartbeat);
        if (!heartbeat->reachesUpstreams)
            m_links.confirmReach();
        handOverIfCut();
        return;
    }
    if (const auto* request = std::get_if<PeerOperatorRequest>(&message)) {
        m_operatorRows.onRequest(peer, *request);
        return;
    }
    if (const auto* news = std::get_if<PeerOperatorRows>(&message)) {
        m_operatorRows.onRows(peer, table_sync::RowPacker::unpack(news->rows));
        return;
    }
    if (const auto* news = std::get_if<PeerServiceVersions>(&message)) {
        m_serviceVersions.rowsChanged(news->rows);
        return;
    }
    if (const auto* usage = std::get_if<PeerUsage>(&message)) {
        m_usage.peerReported(peer, usage->incarnation, usage->usage, m_loop.now());
        return;
    }
    m_permits.peerMessage(peer, message);
    m_broker.peerMessage(peer, message);
}

void Gateway::peerLost(const HostId& peer)
{
    m_broker.peerLost(peer);
    m_operatorRows.peerLost(peer);
    m_upstreamRows.peerLost(peer);
}

relay::UpstreamLinks::Handlers Gateway::linkHandlers()
{
    relay::UpstreamLinks::Handlers handlers;
    handlers.upstreams = [this] { return m_upstreams.probeTargets(); };
    handlers.peers = [this] { return m_mesh.reaches(); };
    handlers.secret = [this] { return m_fleet.registry().linkSecret(); };
    handlers.upstreamAt = [this](const SocketAddress& address) {
        const UpstreamEntry* entry = m_upstreams.findUsableAt(address);
        return entry ? std::make_optional(entry->id) : std::nullopt;
    };
    handlers.findTarget = [this](const UpstreamId& upstream) { return findRelayTarget(upstream); };
    handlers.onAnswered
        = [this](const UpstreamId& upstream, const HttpHeaders& request, int status,
              const HttpHeaders& answer) { observeRelayedAnswer(upstream, request, status, answer); };
    handlers.onChange = [this] { m_mesh.sendHeartbeats(); };
    return handlers;
}

std::optional<relay::RelayTarget> Gateway::findRelayTarget(const UpstreamId& upstream) const
{
    const UpstreamEntry* entry = m_upstreams.findUsable(upstream);
    const bool mayGetRequest
        = entry && m_upstreams.restLeft(*entry) == Duration::zero() && m_links.monitor().reachesUpstreams();
    if (!mayGetRequest)
        return std::nullopt;
    return relay::RelayTarget { upstream, entry->address, m_picker.idleAge(upstream) };
}

void Gateway::observeRelayedAnswer(
    const UpstreamId& upstream, const HttpHeaders& request, int status, const HttpHeaders& answer)
{
    const ResponseAttributes attributes = m_platform.calls.readResponse(status, answer);
    const std::string requestId = m_platform.calls.readRequest(request).requestId;
    const bool isOwnAnswer = attributes.requestId == requestId && !attributes.hasConflictingIds
        && attributes.respondingUpstream.value_or(upstream) == upstream;
    const UpstreamEntry* entry = m_upstreams.find(upstream);
    if (entry && isOwnAnswer && !attributes.availability.isEmpty())
        m_availability.observed(
            { upstream, entry->startedAt, attributes.availability, std::nullopt }, requestId);
}

void Gateway::handOverIfCut()
{
    const auto cutFor = m_links.monitor().cutFor();
    if (!cutFor || m_owners.summaries().empty() || m_owners.hasOutstandingOrders()
        || !reach::shouldHandOver(*cutFor, m_mesh.reaches()))
        return;
    m_fleet.handOver();
    m_mesh.sendHeartbeats();
}

void Gateway::storeRestored()
{
    m_storeRestoredAt = m_loop.now();
    ++m_metrics.counter("lacewing_store_losses_total");
    // What all hosts know is written again by one of them.
    for (const auto& [host, state] : m_mesh.peersInTouch()) {
        if (state->heartbeat.reachesStore && host < m_settings.host)
            return;
    }
    m_quarantineRows.reconcile([this] { return m_quarantine.all(); },
        [this](const Quarantine& quarantine) { m_quarantine.restore(quarantine); },
        [this](size_t count) { rowsWrittenAgain("quarantine", count); });
}

void Gateway::rowsWrittenAgain(const char* kind, size_t count)
{
    m_metrics.counter("lacewing_rows_written_again_total", { { "kind", kind } }) += count;
    LogEvent(LogLevel::Info, "rows_written_again")
        .with("kind", kind)
        .with("count", count)
        .with("era", m_fleet.storeEra())
        .with("after_ms", toMilliseconds(m_loop.now() - m_storeRestoredAt));
}

void Gateway::requestRateChanged(const UpstreamId& upstream)
{
    m_permits.limitChanged(upstream);
    m_owners.requestRateChanged(upstream);
}

void Gateway::engineRequestSent(const UpstreamId& engine, const char* kind)
{
    if (m_limits.rate(engine))
        ++m_metrics.counter("lacewing_limited_upstream_requests_total", { { "kind", kind } });
}

void Gateway::reportUsage()
{
    ++m_metrics.counter("lacewing_early_usage_reports_total");
    m_mesh.sendToAll(PeerUsage { m_incarnation, m_usage.earlyReport(m_loop.now()) });
}

std::set<HostId> Gateway::permitDeciders() const
{
    std::set<HostId> hosts;
    for (const auto& [host, state] : m_mesh.peersInTouch()) {
        if (!state->heartbeat.isStopping)
            hosts.insert(host);
    }
    if (!m_isStopping || hosts.empty())
        hosts.insert(m_settings.host);
    return hosts;
}

double Gateway::shareInTouch() const
{
    const size_t others = m_mesh.hosts().size();
    const auto inTouch = std::count_if(m_mesh.hosts().begin(), m_mesh.hosts().end(),
        [this](const auto& entry) { return m_mesh.isInTouch(entry.first); });
    return (static_cast<double>(inTouch) + 1) / (static_cast<double>(others) + 1);
}

void Gateway::runGranted(const RunGrant& grant)
{
    m_metrics.counter("lacewing_prompt_tokens_total") += grant.promptTokens.value();
    m_metrics.counter("lacewing_prefix_saved_tokens_total") += grant.savedTokens.value();
    if (grant.isReturn)
        ++m_metrics.counter("lacewing_returns_total", { { "outcome", "started" } });
    m_broker.answered(grant.key, grant);
}

void Gateway::runDenied(const RunDenial& denial)
{
    if (denial.isDisplaced)
        ++m_metrics.counter(
            "lacewing_displaced_requests_total", { { "priority", std::to_string(*denial.priority) } });
    if (denial.isReturn)
        ++m_metrics.counter("lacewing_returns_total", { { "outcome", "refused_again" } });
    m_broker.answered(denial.key, denial);
}

std::optional<RequestRate> Gateway::requestRate(const UpstreamId& upstream) const
{
    const auto limit = m_limits.rate(upstream);
    return limit ? std::make_optional(*limit * shareInTouch()) : std::nullopt;
}

void Gateway::fleetChanged()
{
    m_mesh.update(m_fleet.registry());
    updateMembers();
}

void Gateway::updateMembers()
{
    std::map<HostId, bool> members;
    members[m_settings.host] = true;
    for (const auto& [host, record] : m_mesh.hosts())
        members[host] = m_mesh.isInTouch(host);
    std::set<HostId> inTouch;
    std::set<HostId> reachingStore;
    for (const auto& [host, state] : m_mesh.peersInTouch()) {
        inTouch.insert(host);
        if (state->heartbeat.reachesStore)
            reachingStore.insert(host);
    }
    m_fleet.setInTouch(m_settings.enginesCheckFencing ? inTouch : reachingStore);
    m_peersInTouch = inTouch.size();
    const bool reads = table_sync::isReader(m_settings.host, reachingStore);
    m_configuration.setReader(reads);
    m_upstreams.setReader(reads);
    m_usage.setMembers(members);
    if (m_limits.limitedCount() > 0 || m_warmUpLimits.coldCount() > 0)
        m_owners.requestRatesChanged();
    m_retries.setHostCount(members.size());
}

void Gateway::applyCallerLimits()
{
    const CallerLimits& callers = m_configuration.current()->callerLimits();
    HttpServerLimits limits;
    limits.maximumHeaderBytes = callers.headerBytes;
    limits.maximumBodyBytes = callers.bodyBytes;
    limits.headTimeout = callers.headerTimeout;
    limits.readTimeout = callers.idleTimeout + idleSlack;
    m_callerServer->setLimits(limits);
}

void Gateway::configurationChanged()
{
    applyCallerLimits();
    m_warmUp.refresh();
    m_owners.fetchLimiter().setEngines(engineIds().size());
    m_owners.refresh();
    m_fleet.claimUnownedEngines();
}

Duration Gateway::longestStream()
{
    // Streams that began under an earlier configuration go on.
    if (const auto configuration = m_configuration.current())
        m_longestStream = std::max(m_longestStream, configuration->longestStream());
    return std::max(triesPerStream * m_longestStream, shortestStreamLifetime);
}

size_t Gateway::hostsAhead() const
{
    const auto peers = m_mesh.peersInTouch();
    return static_cast<size_t>(std::count_if(peers.begin(), peers.end(), [this](const auto& peer) {
        return peer.second->heartbeat.reachesStore && peer.first < m_settings.host;
    }));
}

void Gateway::recordSpeeds(const PeerHeartbeat& heartbeat)
{
    for (const EngineSummary& engine : heartbeat.engines) {
        if (!engine.statesSlowdown || !m_upstreams.find(engine.engine))
            continue;
        const double usualRate = engine.promptTokensPerMillisecond * engine.meanSlowdown;
        m_picker.speeds().published(engine.engine, { usualRate, engine.meanSlowdown });
    }
}

void Gateway::noteEngineVersions()
{
    const bool isFirst = m_engineVersions.empty();
    bool isNew = false;
    for (const UpstreamId& engine : engineIds())
        isNew = m_engineVersions.insert(m_upstreams.find(engine)->softwareVersion).second || isNew;
    if (isNew && !isFirst)
        m_quarantine.enginesReplaced();
    if (m_engineVersions.size() > maximumEngineVersions)
        m_engineVersions.clear();
}

void Gateway::upstreamsChanged()
{
    noteEngineVersions();
    m_serviceVersions.refresh();
    const std::set<UpstreamId> present = m_upstreams.ids();
    m_picker.retain(present);
    m_permits.retain(present);
    const std::map<UpstreamId, int64_t> startTimes = m_upstreams.startTimes();
    m_limits.retain(startTimes, m_loop.now());
    m_upstreams.availability().retain(startTimes, m_loop.now());
    m_warmUp.refresh();
    m_owners.fetchLimiter().setEngines(engineIds().size());
    m_owners.refresh();
    m_fleet.claimUnownedEngines();
}

void Gateway::availabilityChanged(const UpstreamId& upstream)
{
    const UpstreamEntry* entry = m_upstreams.find(upstream);
    if (entry && !m_upstreams.findUsable(upstream))
        m_services.client.closeIdle(entry->address);
    upstreamsChanged();
}

void Gateway::evacuationChanged(const region::EvacuationChange& change, const char* source)
{
    LogEvent(LogLevel::Info, change.isEvacuated ? "data_centre_evacuated" : "data_centre_restored")
        .with("data_centre", change.dataCentre)
        .with("version", change.version)
        .with("source", source)
        .with("known_upstreams", m_upstreams.countIn(change.dataCentre));
    upstreamsChanged();
}

bool Gateway::mayOrder() const
{
    return !m_isStopping && m_links.monitor().reachesUpstreams()
        && (m_settings.enginesCheckFencing || m_fleet.isLeaseValid());
}

std::set<UpstreamId> Gateway::engineIds() const
{
    std::set<UpstreamId> engines;
    const auto configuration = m_configuration.current();
    if (!configuration)
        return engines;
    for (const auto& [id, service] : configuration->services()) {
        if (!service.engine)
            continue;
        // Owners keep the engines of an evacuated data centre.
        for (const UpstreamEntry* entry : m_upstreams.inService(id))
            engines.insert(entry->id);
    }
    return engines;
}

std::set<HostId> Gateway::ineligibleHosts() const
{
    std::set<HostId> closed;
    const bool isReachNeeded = reach::isAnyReaching(m_links.monitor().reachesUpstreams(), m_mesh.reaches());
    for (const auto& [host, state] : m_mesh.peersInTouch()) {
        const bool canReach = state->heartbeat.reachesUpstreams || !isReachNeeded;
        if (state->heartbeat.isStopping || !state->heartbeat.reachesStore || !canReach)
            closed.insert(host);
    }
    if (isReachNeeded && !m_links.monitor().reachesUpstreams())
        closed.insert(m_settings.host);
    return closed;
}

ReportedOwners Gateway::reportedOwners() const
{
    ReportedOwners told;
    for (const auto& [host, state] : m_mesh.peersInTouch()) {
        const bool mayOrder = m_settings.enginesCheckFencing || state->heartbeat.reachesStore;
        if (state->heartbeat.isStopping || !mayOrder)
            continue;
        for (const EngineSummary& engine : state->heartbeat.engines)
            told.emplace(engine.engine, host);
    }
    return told;
}

void Gateway::stop(std::function<void()> done)
{
    if (m_isStopping)
        return;
    LogEvent(LogLevel::Info, "stopping").with("host", m_settings.host).with("open_calls", m_calls.size());
    m_isStopping = true;
    m_stopped = std::move(done);
    m_stopDeadline = m_loop.now() + m_settings.stopTime - exitMargin;
    m_services.stopDeadline = m_stopDeadline;
    m_mesh.sendHeartbeats();
    releaseWhenIdle();
    const Duration directoryGrace = m_settings.directoryLifetime * directoryGraceLifetimes;
    const Duration longestGrace = m_settings.stopTime * 3 / 8;
    m_loop.runAfter(std::min(directoryGrace, longestGrace), [this] { beginDrain(); });
}

void Gateway::releaseWhenIdle()
{
    if (m_owners.hasOutstandingOrders())
        m_loop.runAfter(openOrderInterval, [this] { releaseWhenIdle(); });
    else
        m_fleet.release();
}

// By now callers have had time to learn of the other hosts. New streams might not end before the process
// does.
void Gateway::beginDrain()
{
    m_services.acceptsStreams = false;
    m_callerServer->stopListening();
    m_callerServer->beginDrain();
    m_links.beginDrain();
    finishIfIdle();
}

void Gateway::finishIfIdle()
{
    const bool isOver = m_loop.now() >= m_stopDeadline;
    const bool isBusy = m_callerServer->openConnectionCount() > 0 || m_links.openCount() > 0;
    if (!isOver && isBusy) {
        m_loop.runAfter(idleCheckInterval, [this] { finishIfIdle(); });
        return;
    }
    LogEvent(LogLevel::Info, "stopped").with("host", m_settings.host).with("open_calls", m_calls.size());
    m_stopped();
}

} // namespace lacewing::gateway
