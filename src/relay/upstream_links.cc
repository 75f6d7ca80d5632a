#include "relay/upstream_links.h"

#include "base/digest.h"
#include "base/log.h"
#include "relay/relay_fields.h"
#include "transport/event_loop.h"

namespace lacewing::relay {

UpstreamLinks::UpstreamLinks(EventLoop& loop, HttpClient& client, reach::ReachEvidence& evidence,
    MemoryAccount& memory, MetricsRegistry& metrics, Random& random, const PeerIdentity& self,
    Handlers handlers)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_self(self.host)
    , m_handlers(std::move(handlers))
    , m_prober(createTcpProber(loop))
    , m_observed(client, evidence, loop)
    , m_monitor(loop, *m_prober, random, evidence, { m_handlers.upstreams, m_handlers.onChange })
    , m_chooser(self.dataCentre, random)
    , m_relaying(m_observed, client,
          { [this](const SocketAddress& upstream) { return chooseRelay(upstream); },
              [this](const HostId& relay) { m_chooser.started(relay); },
              [this](const HostId& relay) { m_chooser.ended(relay); },
              [this](const HostId& relay) { m_chooser.failed(relay, m_loop.now()); } })
    , m_server(loop, m_observed, memory,
          { [this](const std::string& token) { return isAuthorized(token); }, m_handlers.findTarget,
              m_handlers.onAnswered,
              [this](const char* outcome) {
                  ++m_metrics.counter("lacewing_relayed_for_peers_total", { { "outcome", outcome } });
              } })
{
}

void UpstreamLinks::listen(const SocketAddress& address)
{
    std::string error;
    if (!m_server.listen(address, error))
        LogEvent(LogLevel::Error, "relay_listen_failed").with("reason", error);
}

bool UpstreamLinks::isAuthorized(const std::string& token) const
{
    const auto secret = m_handlers.secret();
    return secret && equalInConstantTime(token, relayToken(*secret, m_self.value()));
}

std::optional<Relay> UpstreamLinks::chooseRelay(const SocketAddress& upstream)
{
    if (m_monitor.reachesUpstreams())
        return std::nullopt;
    const auto secret = m_handlers.secret();
    const auto id = m_handlers.upstreamAt(upstream);
    const auto peer = secret && id ? m_chooser.choose(m_handlers.peers(), m_loop.now())
                                   : std::optional<reach::PeerReach>();
    ++m_metrics.counter("lacewing_relayed_requests_total", { { "way", peer ? "peer" : "none" } });
    if (!peer)
        return std::nullopt;
    return Relay { peer->host, peer->relayAddress, relayToken(*secret, peer->host.value()), *id };
}

} // namespace lacewing::relay
