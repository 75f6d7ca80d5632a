#pragma once

#include "gateway/call_services.h"
#include "gateway/caller_directory.h"
#include "gateway/endpoint_translator.h"
#include "gateway/gateway_settings.h"
#include "gateway/operator_row_exchange.h"
#include "gateway/proxied_call.h"
#include "gateway/quarantine_rows.h"
#include "gateway/service_version_tracker.h"
#include "gateway/stream_inquiry_exchange.h"
#include "gateway/stream_versions.h"
#include "gateway/upstream_availability_exchange.h"
#include "gateway/upstream_limit_exchange.h"
#include "gateway/upstream_row_exchange.h"
#include "gateway/warm_up_control.h"
#include "relay/upstream_links.h"
#include "transport/http_server.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace lacewing::gateway {

/// Platform-specific implementations that a gateway uses. All must outlive the gateway.
struct PlatformInterfaces {
    RowStore& store;
    const RowDecoder& rows;
    const CallTranslator& calls;
    const EndpointTranslator& surface;
    EngineControl& engines;
    /// What the calls to engines show about the links to them.
    reach::ReachEvidence& evidence;
};

/// The gateway of one host: proxies callers' requests, serves the discovery, readiness and metrics endpoints,
/// owns some of the engines and exchanges state with its peers.
class Gateway {
public:
    /// @param client used for requests to upstreams; must outlive the gateway.
    /// @param memory counts the messages that the process holds; must outlive the gateway.
    Gateway(EventLoop& loop, HttpClient& client, MemoryAccount& memory, const PlatformInterfaces& platform,
        GatewaySettings settings);
    ~Gateway();

    /// Binds all addresses and joins the fleet.
    ///
    /// @param error set to the address and the reason if binding fails.
    /// @return false if an address can't be bound.
    bool start(std::string& error);
    /// Applies those settings that can change without a restart.
    void reload(const GatewaySettings& settings);
    /// Stops gracefully: leaves the discovery responses, drains open calls and closes the connections of
    /// callers.
    ///
    /// @param done called when all connections are closed, or shortly before the stop time ends.
    void stop(std::function<void()> done);

private:
    bool listen(std::unique_ptr<HttpServer>& server, const SocketAddress& address,
        HttpServer::Handler handler, std::string& error);
    /// Closes connections of callers that don't read what waits for them, so that others can be served.
    void relieveMemory();
    void acceptCall(std::shared_ptr<HttpExchange> exchange);
    void callFinished(ProxiedCall* call);
    void answerDirectory(HttpExchange& exchange);
    void answerReadiness(HttpExchange& exchange);
    void answerMetrics(HttpExchange& exchange);
    bool isReady() const { return m_configuration.current() != nullptr && !m_isStopping; }

    PeerHeartbeat heartbeat(HeartbeatAudience audience);
    void reportUsage();
    /// @return the hosts that may decide on the use of upstreams with a limit.
    std::set<HostId> permitDeciders() const;
    /// An engine that this host owns may start a run.
    void runGranted(const RunGrant& grant);
    void runDenied(const RunDenial& denial);
    /// @return the rate at which this host may grant requests to an upstream; nothing without a limit.
    std::optional<RequestRate> requestRate(const UpstreamId& upstream) const;
    /// Keeps the speeds of engines that a peer publishes, in case this host takes over one of them.
    void recordSpeeds(const PeerHeartbeat& heartbeat);
    /// @return the part of the live hosts that is in touch, this one included.
    double shareInTouch() const;
    void requestRateChanged(const UpstreamId& upstream);
    void engineRequestSent(const UpstreamId& engine, const char* kind);
    void peerMessage(const HostId& peer, const PeerMessage& message);
    /// Leaves the engines to other hosts if only these can reach them.
    void handOverIfCut();
    /// Handles what an upstream says of itself in an answer that is passed on to a peer.
    void observeRelayedAnswer(
        const UpstreamId& upstream, const HttpHeaders& request, int status, const HttpHeaders& answer);
    /// @return where a peer's request to an upstream goes; nothing if this host must not send it any.
    std::optional<relay::RelayTarget> findRelayTarget(const UpstreamId& upstream) const;
    relay::UpstreamLinks::Handlers linkHandlers();
    /// The link to a peer has ended.
    void peerLost(const HostId& peer);
    void fleetChanged();
    void updateMembers();
    void applyCallerLimits();
    void configurationChanged();
    /// The store has come back from a copy.
    void storeRestored();
    /// Rows that the copy lacked have been written again.
    void rowsWrittenAgain(const char* kind, size_t count);
    /// @return longest time from the begin of a stream to the last try of its caller to take it up.
    Duration longestStream();
    /// @return number of hosts in touch that make changes of shared rows before this one.
    size_t hostsAhead() const;
    /// Tells the quarantine of engines with a version that none had before.
    void noteEngineVersions();
    void upstreamsChanged();
    /// An upstream has said that it is leaving, or wants a rest.
    void availabilityChanged(const UpstreamId& upstream);
    void evacuationChanged(const region::EvacuationChange& change, const char* source);
    bool mayOrder() const;
    std::set<UpstreamId> engineIds() const;
    std::set<HostId> ineligibleHosts() const;
    ReportedOwners reportedOwners() const;

    /// Releases ownership of the engines once no order is in flight, so that none arrives after an order of
    /// the next owner.
    void releaseWhenIdle();
    void beginDrain();
    void finishIfIdle();

    EventLoop& m_loop;
    const PlatformInterfaces m_platform;
    GatewaySettings m_settings;
    Incarnation m_incarnation;
    MonotonicTime m_started;
    Random m_random;
    MetricsRegistry m_metrics;
    ConfigurationTracker m_configuration;
    UpstreamDirectory m_upstreams;
    UpstreamPicker m_picker;
    WarmUpLimits m_warmUpLimits;
    UpstreamLimits m_limits;
    WorkspaceRateLimiter m_usage;
    RetryAllowance m_retries;
    FleetAgent m_fleet;
    PeerMesh m_mesh;
    CallerDirectory m_directory;
    OperatorRowExchange m_operatorRows;
    UpstreamRowExchange m_upstreamRows;
    OwnedEngines m_owners;
    RunBroker m_broker;
    EngineView m_engineView;
    CallAdmitter m_admitter;
    UpstreamLimitExchange m_limitExchange;
    WarmUpControl m_warmUp;
    UpstreamAvailabilityExchange m_availability;
    QuarantineRows m_quarantineRows;
    QuarantineExchange m_quarantine;
    ServiceVersionTracker m_serviceVersions;
    StreamRecords m_streamRecords;
    StreamVersions m_streamVersions;
    StreamInquiryExchange m_streamInquiries;
    PeriodicTimer m_sweepTimer;
    MemoryAccount& m_memory;
    ResponseMemory m_responseMemory;
    UpstreamPermits m_permits;
    PlainUpstreamSelector m_plainSelector;
    relay::UpstreamLinks m_links;
    CallServices m_services;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_directoryServer;
    std::unique_ptr<HttpServer> m_readinessServer;
    std::unique_ptr<HttpServer> m_metricsServer;
    std::unordered_map<ProxiedCall*, std::shared_ptr<ProxiedCall>> m_calls;
    PeriodicTimer m_memberTimer;
    /// Number of reachable peers as of the last updateMembers().
    size_t m_peersInTouch = 0;
    MonotonicTime m_storeRestoredAt;
    /// Longest timeout of a route of streams in all configurations so far.
    Duration m_longestStream {};
    /// Software versions that engines have had.
    std::set<SoftwareVersion> m_engineVersions;
    bool m_isStopping = false;
    MonotonicTime m_stopDeadline;
    std::function<void()> m_stopped;
};

} // namespace lacewing::gateway
