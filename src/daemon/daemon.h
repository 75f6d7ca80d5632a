#pragma once

#include "base/metrics.h"
#include "base/periodic_timer.h"
#include "coordination/claim_registry.h"
#include "coordination/configuration_store.h"
#include "coordination/fleet_member.h"
#include "coordination/host_ranking.h"
#include "coordination/key_ring.h"
#include "coordination/link_demand.h"
#include "coordination/retry_budget.h"
#include "daemon/entry_service.h"
#include "daemon/fleet_load_limiter.h"
#include "daemon/owner_service.h"
#include "daemon/peer_network.h"
#include "daemon/quota_service.h"
#include "daemon/settings.h"
#include "protocol/call_ids.h"
#include "protocol/configuration_codec.h"
#include "protocol/http_object_store.h"
#include "protocol/http_table_service.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"

namespace lacewing {

/// The daemon of one host. Connects its two roles, entry for callers and owner of upstreams, with the fleet
/// membership, the platform's table and object store, and the network.
class Daemon : private LeaseListener, private SessionListener, private SessionPeers {
public:
    /// @param loop must outlive the daemon.
    Daemon(EventLoop& loop, DaemonSettings settings);
    ~Daemon() override;

    /// Binds the caller and peer addresses and joins the fleet.
    ///
    /// @return false if an address can't be bound; error then holds the address and the reason.
    bool start(std::string& error);

    /// Stops gracefully: drains all requests, hands over all leases, then calls done.
    void stop(std::function<void()> done);

    SocketAddress callerAddress() const { return m_server->address(); }
    SocketAddress peerAddress() { return m_network.links().address(); }

private:
    friend class DaemonHttp;

    void leaseAcquired(const std::string& name, FencingNumber fencingNumber) override;
    void leaseLost(const std::string& name) override;
    void handOverRequested(const std::string& name) override;
    void sessionBecameValid() override;
    void sessionEnded() override;
    std::optional<std::vector<SessionPeer>> sessionPeers() const override;

    void received(const HostId& peer, const PeerMessage& message);
    void receivedFleetMessage(const HostId& peer, const PeerMessage& message);
    void peerDisconnected(const HostId& peer, DisconnectReason reason);
    void configurationApplied();
    LocalStatus localStatus() const;
    bool mayBeRunning(const HostId& host, Incarnation incarnation) const;
    void refresh();
    void updatePolling();
    void sendReports();
    void updateGauges();
    bool isReady();

    void waitForRequests();
    void handOverAll();
    void finishStop();

    EventLoop& m_loop;
    DaemonSettings m_settings;
    Incarnation m_incarnation;
    MetricsRegistry m_metrics;
    std::unique_ptr<HttpClient> m_client;
    CallIds m_callIds;
    HttpTableService m_tableService;
    HttpObjectStore m_objectStore;
    ConfigurationCodec m_codec;
    PeerNetwork m_network;
    SafetyRules m_safetyRules;
    FleetMember m_member;
    LinkDemand m_linkDemand;
    HostRanking m_ranking;
    ConfigurationStore m_configurations;
    KeyRing m_keys;
    RetryBudget m_retryBudget;
    ClaimRegistry m_claims;
    QuotaService m_quota;
    FleetLoadLimiter m_loadLimiter;
    UpstreamRouter m_router;
    OwnerService m_owners;
    EntryService m_entries;
    std::unique_ptr<class DaemonHttp> m_http;
    std::unique_ptr<HttpServer> m_server;
    /// Whether this daemon has ever had a configuration and known quota holders, which it needs to serve
    /// callers.
    bool m_hasBeenReady = false;
    PeriodicTimer m_refreshTimer;
    PeriodicTimer m_reportTimer;
    std::string m_lastReports;
    int m_intervalsSinceReport = 0;
    std::function<void()> m_stopCallback;
    TimerId m_stopTimer = 0;
};

} // namespace lacewing
