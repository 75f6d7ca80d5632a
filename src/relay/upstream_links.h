#pragma once

#include "base/metrics.h"
#include "reach/observed_http_client.h"
#include "reach/peer_reach.h"
#include "reach/reach_monitor.h"
#include "relay/relay_chooser.h"
#include "relay/relay_server.h"
#include "relay/relaying_http_client.h"
#include "transport/peer_links.h"

#include <memory>
#include <string>
#include <vector>

namespace lacewing::relay {

/// This host's ways to the upstreams: its own links, and those of peers while its own are cut.
class UpstreamLinks {
public:
    struct Handlers {
        std::function<std::vector<reach::ProbeTarget>()> upstreams;
        /// @return the peers in touch.
        std::function<std::vector<reach::PeerReach>()> peers;
        /// @return the secret that all hosts share; nothing if it isn't known yet.
        std::function<std::optional<std::string>()> secret;
        /// @return the upstream at an address; nothing if there is none.
        std::function<std::optional<UpstreamId>(const SocketAddress& address)> upstreamAt;
        /// See RelayServer::Handlers.
        std::function<std::optional<RelayTarget>(const UpstreamId& upstream)> findTarget;
        /// See RelayServer::Handlers.
        RelayServer::AnswerObserver onAnswered;
        /// The links to the upstreams have been cut or are whole again.
        std::function<void()> onChange;
    };

    /// @param client for connections to upstreams and peers; must outlive this object, like all other
    ///     references.
    UpstreamLinks(EventLoop& loop, HttpClient& client, reach::ReachEvidence& evidence, MemoryAccount& memory,
        MetricsRegistry& metrics, Random& random, const PeerIdentity& self, Handlers handlers);

    void start() { m_monitor.start(); }
    /// Takes requests of peers. Without an address that can be bound, this host passes on none.
    void listen(const SocketAddress& address);
    /// @return where peers may send requests; port 0 if nowhere.
    SocketAddress relayAddress() const { return m_server.address(); }
    /// @return the client for requests to upstreams.
    HttpClient& client() { return m_relaying; }
    const reach::ReachMonitor& monitor() const { return m_monitor; }
    /// Some peers can't reach the upstreams, and want to know whether this host can.
    void confirmReach() { m_monitor.confirm(); }
    /// @return number of requests of peers that are being passed on.
    size_t openCount() const { return m_server.openCount(); }
    void beginDrain() { m_server.beginDrain(); }

private:
    std::optional<Relay> chooseRelay(const SocketAddress& upstream);
    bool isAuthorized(const std::string& token) const;

    EventLoop& m_loop;
    MetricsRegistry& m_metrics;
    HostId m_self;
    Handlers m_handlers;
    std::unique_ptr<ConnectionProber> m_prober;
    reach::ObservedHttpClient m_observed;
    reach::ReachMonitor m_monitor;
    RelayChooser m_chooser;
    RelayingHttpClient m_relaying;
    RelayServer m_server;
};

} // namespace lacewing::relay
