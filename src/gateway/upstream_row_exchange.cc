#include "gateway/upstream_row_exchange.h"

#include "base/log.h"

#include <utility>

namespace lacewing::gateway {

namespace {

constexpr table_sync::CatchUpDelays requestDelays { std::chrono::milliseconds(1200),
    std::chrono::milliseconds(50), std::chrono::milliseconds(500) };

} // namespace

UpstreamRowExchange::UpstreamRowExchange(
    Scheduler& scheduler, UpstreamDirectory& upstreams, Random& random, MetricsRegistry& metrics, Send send)
    : m_upstreams(upstreams)
    , m_random(random)
    , m_metrics(metrics)
    , m_send(std::move(send))
    , m_catchUp(scheduler, random, requestDelays,
          { [this] { return m_upstreams.knownUpTo(); }, [this] { return m_upstreams.isReader(); },
              [this](const HostId& peer) { request(peer); } })
{
}

void UpstreamRowExchange::request(const HostId& peer)
{
    const RowVersion after = m_upstreams.knownUpTo();
    LogEvent(LogLevel::Info, "upstream_rows_requested").with("peer", peer).with("after", after);
    ++m_metrics.counter("lacewing_upstream_row_requests_total");
    m_send(peer, PeerUpstreamRequest { after });
}

void UpstreamRowExchange::onMessage(const HostId& peer, const PeerMessage& message)
{
    if (const auto* heartbeat = std::get_if<PeerHeartbeat>(&message)) {
        const auto& quiet = heartbeat->quietUpstreams;
        if (quiet && !m_upstreams.confirmUnchanged(*quiet))
            m_catchUp.offered(peer, quiet->after);
    } else if (const auto* rows = std::get_if<PeerUpstreamRows>(&message)) {
        m_catchUp.answered(peer);
        if (!m_upstreams.peerOffered(rows->changes))
            m_catchUp.offered(peer, rows->changes.span.after);
    } else if (const auto* request = std::get_if<PeerUpstreamRequest>(&message))
        m_send(peer, PeerUpstreamRows { m_upstreams.changesAfter(request->after) });
}

} // namespace lacewing::gateway
