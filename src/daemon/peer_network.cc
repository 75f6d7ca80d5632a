#include "daemon/peer_network.h"

#include "base/log.h"

namespace lacewing {

namespace {

DisconnectReason reasonOf(LinkError error)
{
    return error == LinkError::Refused ? DisconnectReason::Refused : DisconnectReason::Unreachable;
}

} // namespace

PeerNetwork::PeerNetwork(Scheduler& scheduler, MetricsRegistry& metrics, HostId self, Handlers handlers)
    : m_scheduler(scheduler)
    , m_metrics(metrics)
    , m_self(std::move(self))
    , m_handlers(std::move(handlers))
{
}

PeerNetwork::~PeerNetwork()
{
    m_scheduler.cancel(m_localTimer);
}

bool PeerNetwork::listen(EventLoop& loop, const PeerLinkOptions& options, std::string& error)
{
    PeerLinkHandlers handlers;
    handlers.onConnected = [this](const PeerIdentity& peer) {
        LogEvent(LogLevel::Info, "peer_connected").with("peer", peer.host);
        m_handlers.onConnected(peer.host);
    };
    handlers.onDisconnected = [this](const HostId& peer, LinkError reason) {
        ++m_metrics.counter("lacewing_peer_disconnects_total", { { "reason", toString(reason) } });
        m_handlers.onDisconnected(peer, reasonOf(reason));
    };
    handlers.onFrame = [this](const HostId& peer, std::string_view frame) { received(peer, frame); };
    handlers.onRejected = [this](LinkError reason) {
        ++m_metrics.counter("lacewing_peer_rejections_total", { { "reason", toString(reason) } });
        LogEvent(LogLevel::Warning, "peer_rejected").with("reason", toString(reason));
    };
    m_links = PeerLinks::listen(loop, options, std::move(handlers), error);
    return m_links != nullptr;
}

bool PeerNetwork::send(const HostId& peer, const PeerMessage& message)
{
    const bool needsLink
        = std::holds_alternative<RunRequest>(message) || std::holds_alternative<QuotaRequest>(message);
    if (peer != m_self && needsLink)
        m_handlers.onPeerNeeded(peer);
    if (peer != m_self)
        return m_links && m_links->send(peer, PeerCodec::encode(message));
    m_local.push_back(message);
    if (m_localTimer == 0)
        m_localTimer = m_scheduler.runAfter(Duration::zero(), [this] { deliverLocal(); });
    return true;
}

void PeerNetwork::connect(const HostId& peer, const std::string& address)
{
    const auto parsed = SocketAddress::parse(address);
    if (!parsed) {
        LogEvent(LogLevel::Error, "peer_address_invalid").with("peer", peer).with("address", address);
        m_scheduler.runAfter(Duration::zero(),
            [this, peer] { m_handlers.onDisconnected(peer, DisconnectReason::Unreachable); });
        return;
    }
    m_links->connect(peer, *parsed);
}

void PeerNetwork::disconnect(const HostId& peer)
{
    m_links->disconnect(peer);
}

void PeerNetwork::received(const HostId& peer, std::string_view frame)
{
    const auto message = m_codec.decode(frame);
    if (!message) {
        ++m_metrics.counter(
            "lacewing_peer_frames_invalid_total", { { "reason", toString(m_codec.lastError().reason) } });
        return;
    }
    m_handlers.onMessage(peer, *message);
}

void PeerNetwork::deliverLocal()
{
    m_localTimer = 0;
    // Messages sent by the handlers wait for the next iteration, so that a local message exchange can't
    // starve the event loop.
    const std::deque<PeerMessage> messages = std::exchange(m_local, {});
    for (const PeerMessage& message : messages)
        m_handlers.onMessage(m_self, message);
}

} // namespace lacewing
