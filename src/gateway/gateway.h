#pragma once

#include "gateway/call_services.h"
#include "gateway/caller_call.h"
#include "gateway/gateway_settings.h"
#include "gateway/operator_row_exchange.h"
#include "gateway/surface_translator.h"
#include "transport/http_server.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace lacewing::gateway {

/// What a gateway needs of the platform. All outlive the gateway.
struct PlatformPorts {
    RowStore& store;
    const RowDecoder& rows;
    const CallTranslator& calls;
    const SurfaceTranslator& surface;
    EngineControl& engines;
};

/// One host's gateway: serves callers, names the hosts to use, owns some engines and talks to its peers.
class Gateway {
public:
    /// @param client used for requests to upstreams; must outlive the gateway.
    Gateway(EventLoop& loop, HttpClient& client, const PlatformPorts& ports, GatewaySettings settings);
    ~Gateway();

    /// Binds all addresses and begins to take part in the fleet.
    ///
    /// @return false if an address can't be bound; error then says which and why.
    bool start(std::string& error);
    /// Takes over the settings that may change in a running process.
    void reload(const GatewaySettings& settings);
    /// Stops gracefully: is not named to callers any more, finishes what runs, then calls back.
    void stop(std::function<void()> done);

private:
    bool listen(std::unique_ptr<HttpServer>& server, const SocketAddress& address,
        HttpServer::Handler handler, std::string& error);
    void acceptCall(std::shared_ptr<HttpExchange> exchange);
    void callFinished(CallerCall* call);
    void answerDirectory(HttpExchange& exchange);
    void answerReadiness(HttpExchange& exchange);
    void answerMetrics(HttpExchange& exchange);
    bool isReady() const { return m_configuration.current() != nullptr && !m_isStopping; }

    PeerHeartbeat heartbeat(HeartbeatAudience audience);
    void reportUsage();
    void peerMessage(const HostId& peer, const PeerMessage& message);
    void fleetChanged();
    void updateMembers();
    void applyCallerLimits();
    void configurationChanged();
    void upstreamsChanged();
    bool mayOrder() const;
    std::set<UpstreamId> engineIds() const;
    std::set<HostId> hostsInReachOfStore() const;
    std::set<HostId> closedHosts() const;
    ToldOwners toldOwners() const;

    /// Hands the engines over once no order is on its way, so that none arrives after one of the next owner.
    void releaseWhenQuiet();
    void beginDrain();
    void finishIfIdle();

    EventLoop& m_loop;
    const PlatformPorts m_ports;
    GatewaySettings m_settings;
    Incarnation m_incarnation;
    MonotonicTime m_started;
    Random m_random;
    MetricsRegistry m_metrics;
    ConfigurationKeeper m_configuration;
    UpstreamDirectory m_upstreams;
    UpstreamPicker m_picker;
    UsageLedger m_usage;
    RetryAllowance m_retries;
    FleetAgent m_fleet;
    PeerMesh m_mesh;
    OperatorRowExchange m_operatorRows;
    OwnedEngines m_owners;
    RunBroker m_broker;
    EngineView m_engineView;
    CallAdmitter m_admitter;
    CallServices m_services;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_directoryServer;
    std::unique_ptr<HttpServer> m_readinessServer;
    std::unique_ptr<HttpServer> m_metricsServer;
    std::unordered_map<CallerCall*, std::shared_ptr<CallerCall>> m_calls;
    PeriodicTimer m_memberTimer;
    /// As of the last look at the members.
    size_t m_peersInTouch = 0;
    bool m_isStopping = false;
    MonotonicTime m_stopDeadline;
    std::function<void()> m_stopped;
};

} // namespace lacewing::gateway
