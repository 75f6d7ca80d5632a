#include "transport/peer_links.h"

#include "transport/event_loop.h"
#include "transport/peer_connection.h"
#include "transport/socket_address.h"

#include <event2/listener.h>

#include <cstring>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace lacewing {

namespace {

/// Bounds the memory that connections can take before they are authenticated.
constexpr size_t maximumUnprovedConnections = 256;
/// Pause in accepting after an error, such as too many open files.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(100);

struct ListenerDeleter {
    void operator()(evconnlistener* listener) const { evconnlistener_free(listener); }
};

/// Everything that concerns one peer.
struct PeerSlot {
    std::shared_ptr<PeerConnection> link;
    /// An outgoing connection that is being made.
    std::shared_ptr<PeerConnection> attempt;
    /// An incoming connection that becomes the link if the current link or attempt ends.
    std::shared_ptr<PeerConnection> waiting;

    bool empty() const { return !link && !attempt && !waiting; }
};

/// A closed or refused connection that is still to be reported.
struct PendingEvent {
    /// Empty for an incoming connection that was refused.
    HostId host;
    LinkError error;
};

void abandon(std::shared_ptr<PeerConnection>& connection)
{
    if (const auto old = std::exchange(connection, nullptr))
        old->abandon();
}

/// Keeps the rule of one link per peer. Ends of links are reported from the loop, never inside a call.
class PeerLinksOnLoop : public PeerLinks, private PeerConnectionListener {
public:
    PeerLinksOnLoop(EventLoop& loop, const PeerLinkOptions& options, PeerLinkHandlers handlers)
        : m_loop(loop)
        , m_options(std::make_shared<PeerLinkOptions>(options))
        , m_handlers(std::make_shared<PeerLinkHandlers>(std::move(handlers)))
        , m_traffic(std::make_shared<LinkTraffic>())
    {
    }

    ~PeerLinksOnLoop() override;

    bool startListening(std::string& error);

    SocketAddress address() const override { return m_address; }
    void setSilence(Duration silenceTimeout, Duration pingInterval) override
    {
        m_options->silenceTimeout = silenceTimeout;
        m_options->pingInterval = pingInterval;
    }
    void setSecret(const std::string& secret) override { m_options->secret = secret; }
    void connect(const HostId& host, const SocketAddress& address) override;
    void disconnect(const HostId& host) override;
    bool isConnected(const HostId& host) const override { return link(host) != nullptr; }
    bool send(const HostId& host, std::string_view frame) override;
    size_t bufferedBytes(const HostId& host) const override;
    void stopListening() override;
    int64_t sentBytes() const override { return m_traffic->sentBytes; }
    int64_t receivedBytes() const override { return m_traffic->receivedBytes; }

private:
    using ConnectionSet = std::set<std::shared_ptr<PeerConnection>>;

    static void onAccept(evconnlistener* listener, int socket, sockaddr* address, int size, void* argument);
    static void onAcceptError(evconnlistener* listener, void* argument);

    void connectionProved(PeerConnection& connection) override;
    void connectionAccepted(PeerConnection& connection) override;
    void connectionFrame(PeerConnection& connection, std::string_view frame) override;
    void connectionEnded(PeerConnection& connection, LinkError error) override;

    PeerConnection::Context context() { return { m_loop, m_options, *this, m_traffic }; }
    std::shared_ptr<PeerConnection> link(const HostId& host) const;
    void acceptSocket(int socket);
    void wait(PeerSlot& slot, const std::shared_ptr<PeerConnection>& connection);
    /// Makes a proved incoming connection the link. This object may be gone when it returns.
    void accept(const HostId& host, const std::shared_ptr<PeerConnection>& connection);
    void reportConnected(const PeerIdentity& peer);
    /// This object may be gone when it returns.
    void endedOfPeer(const PeerConnection& connection, LinkError error);
    void report(const HostId& host, LinkError error);
    void scheduleDelivery();
    void deliver();
    bool deliverEvents();
    bool acceptWaiting();

    EventLoop& m_loop;
    std::shared_ptr<PeerLinkOptions> m_options;
    /// Shared, so that a handler that destroys this object is not destroyed while it runs.
    std::shared_ptr<const PeerLinkHandlers> m_handlers;
    std::shared_ptr<LinkTraffic> m_traffic;
    std::unique_ptr<evconnlistener, ListenerDeleter> m_listener;
    SocketAddress m_address;
    std::map<HostId, PeerSlot> m_slots;
    /// Incoming connections whose peer is not known yet, or that were refused and are closing.
    ConnectionSet m_unproved;
    /// Former links that send their remaining output.
    ConnectionSet m_closing;
    std::deque<PendingEvent> m_events;
    TimerId m_deliveryTimer = 0;
    TimerId m_acceptTimer = 0;
    /// Tells a function that has called a handler whether this object still exists.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

PeerLinksOnLoop::~PeerLinksOnLoop()
{
    m_loop.cancel(m_deliveryTimer);
    m_loop.cancel(m_acceptTimer);
    for (auto& [host, slot] : m_slots) {
        abandon(slot.link);
        abandon(slot.attempt);
        abandon(slot.waiting);
    }
    for (const auto& connection : m_unproved)
        connection->abandon();
    for (const auto& connection : m_closing)
        connection->abandon();
}

bool PeerLinksOnLoop::startListening(std::string& error)
{
    if (m_options->secret.empty()) {
        error = "the shared secret of peer links is empty";
        return false;
    }
    const auto native = toNative(m_options->listenAddress);
    if (!native) {
        error = "\"" + m_options->listenAddress.ip + "\" is not an IP number";
        return false;
    }
    constexpr int systemBacklog = -1;
    m_listener.reset(evconnlistener_new_bind(m_loop.base(), &PeerLinksOnLoop::onAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, systemBacklog, native->pointer(),
        static_cast<int>(native->size)));
    if (!m_listener) {
        error = "cannot listen on " + m_options->listenAddress.ip + " port "
            + std::to_string(m_options->listenAddress.port) + ": " + std::strerror(errno);
        return false;
    }
    evconnlistener_set_error_cb(m_listener.get(), &PeerLinksOnLoop::onAcceptError);
    m_address = boundAddress(evconnlistener_get_fd(m_listener.get()));
    return true;
}

void PeerLinksOnLoop::stopListening()
{
    m_loop.cancel(std::exchange(m_acceptTimer, 0));
    m_listener.reset();
}

void PeerLinksOnLoop::onAccept(evconnlistener*, int socket, sockaddr*, int, void* argument)
{
    static_cast<PeerLinksOnLoop*>(argument)->acceptSocket(socket);
}

void PeerLinksOnLoop::acceptSocket(int socket)
{
    if (m_unproved.size() >= maximumUnprovedConnections) {
        evutil_closesocket(socket);
        report(HostId(), LinkError::Congested);
        return;
    }
    m_unproved.insert(PeerConnection::accept(context(), socket));
}

void PeerLinksOnLoop::onAcceptError(evconnlistener* listener, void* argument)
{
    auto* links = static_cast<PeerLinksOnLoop*>(argument);
    evconnlistener_disable(listener);
    links->m_acceptTimer = links->m_loop.runAfter(acceptRetryDelay, [links] {
        links->m_acceptTimer = 0;
        evconnlistener_enable(links->m_listener.get());
    });
}

std::shared_ptr<PeerConnection> PeerLinksOnLoop::link(const HostId& host) const
{
    const auto found = m_slots.find(host);
    return found == m_slots.end() ? nullptr : found->second.link;
}

void PeerLinksOnLoop::connect(const HostId& host, const SocketAddress& address)
{
    PeerSlot& slot = m_slots[host];
    if (slot.empty())
        slot.attempt = PeerConnection::connect(context(), host, address);
}

void PeerLinksOnLoop::disconnect(const HostId& host)
{
    const auto found = m_slots.find(host);
    if (found == m_slots.end())
        return;
    PeerSlot slot = std::move(found->second);
    m_slots.erase(found);
    abandon(slot.attempt);
    abandon(slot.waiting);
    if (!slot.link)
        return;
    m_closing.insert(slot.link);
    slot.link->closeGracefully();
}

bool PeerLinksOnLoop::send(const HostId& host, std::string_view frame)
{
    const auto connection = link(host);
    return connection && connection->send(frame);
}

size_t PeerLinksOnLoop::bufferedBytes(const HostId& host) const
{
    const auto connection = link(host);
    return connection ? connection->bufferedBytes() : 0;
}

void PeerLinksOnLoop::connectionProved(PeerConnection& connection)
{
    const auto shared = connection.shared_from_this();
    const HostId host = connection.peer().host;
    PeerSlot& slot = m_slots[host];
    if (slot.link) {
        const Incarnation known = slot.link->peer().incarnation;
        if (connection.peer().incarnation < known) {
            // A process of an earlier start; it stays unproved until it is closed.
            connection.refuse();
            return;
        }
        if (connection.peer().incarnation == known) {
            // Either the loser of two simultaneous connections, which its maker closes soon, or a replacement
            // for a link that the peer has already given up.
            wait(slot, shared);
            return;
        }
        abandon(slot.link);
        report(host, LinkError::Closed);
    } else if (slot.attempt && m_options->self < host) {
        wait(slot, shared);
        return;
    }
    m_unproved.erase(shared);
    accept(host, shared);
}

void PeerLinksOnLoop::wait(PeerSlot& slot, const std::shared_ptr<PeerConnection>& connection)
{
    m_unproved.erase(connection);
    abandon(slot.waiting);
    slot.waiting = connection;
}

void PeerLinksOnLoop::accept(const HostId& host, const std::shared_ptr<PeerConnection>& connection)
{
    PeerSlot& slot = m_slots[host];
    abandon(slot.attempt);
    abandon(slot.waiting);
    slot.link = connection;
    connection->acceptLink();
    reportConnected(connection->peer());
}

void PeerLinksOnLoop::connectionAccepted(PeerConnection& connection)
{
    PeerSlot& slot = m_slots[connection.peer().host];
    slot.link = std::exchange(slot.attempt, nullptr);
    abandon(slot.waiting);
    reportConnected(connection.peer());
}

void PeerLinksOnLoop::reportConnected(const PeerIdentity& peer)
{
    const PeerIdentity identity = peer;
    // The end of an earlier link is reported before its replacement.
    if (!deliverEvents())
        return;
    const auto handlers = m_handlers;
    if (handlers->onConnected && isConnected(identity.host))
        handlers->onConnected(identity);
}

void PeerLinksOnLoop::connectionFrame(PeerConnection& connection, std::string_view frame)
{
    const auto handlers = m_handlers;
    const HostId host = connection.peer().host;
    if (handlers->onFrame)
        handlers->onFrame(host, frame);
}

void PeerLinksOnLoop::connectionEnded(PeerConnection& connection, LinkError error)
{
    const auto shared = connection.shared_from_this();
    if (m_closing.erase(shared) > 0)
        return;
    if (m_unproved.erase(shared) == 0) {
        endedOfPeer(connection, error);
        return;
    }
    // A peer that closes by itself was not refused.
    if (error != LinkError::Closed)
        report(HostId(), error);
}

void PeerLinksOnLoop::endedOfPeer(const PeerConnection& connection, LinkError error)
{
    for (auto slot = m_slots.begin(); slot != m_slots.end(); ++slot) {
        auto& [host, connections] = *slot;
        const bool wasLink = connections.link.get() == &connection;
        const bool wasAttempt = connections.attempt.get() == &connection;
        const bool wasWaiting = connections.waiting.get() == &connection;
        if (!wasLink && !wasAttempt && !wasWaiting)
            continue;
        if (wasLink)
            connections.link.reset();
        if (wasAttempt)
            connections.attempt.reset();
        if (wasWaiting)
            connections.waiting.reset();
        if (wasAttempt && connections.waiting) {
            // Accepted at once: in a later round the waiting connection may have timed out too, and the
            // failed attempt would never be reported.
            const HostId peer = host;
            accept(peer, std::exchange(connections.waiting, nullptr));
            return;
        }
        if (wasLink || wasAttempt)
            report(host, error);
        if (connections.waiting)
            scheduleDelivery();
        if (connections.empty())
            m_slots.erase(slot);
        return;
    }
}

void PeerLinksOnLoop::report(const HostId& host, LinkError error)
{
    m_events.push_back({ host, error });
    scheduleDelivery();
}

void PeerLinksOnLoop::scheduleDelivery()
{
    if (m_deliveryTimer != 0)
        return;
    m_deliveryTimer = m_loop.runAfter(Duration::zero(), [this] {
        m_deliveryTimer = 0;
        deliver();
    });
}

void PeerLinksOnLoop::deliver()
{
    while (deliverEvents() && acceptWaiting()) { }
}

/// @return false if a handler destroyed this object.
bool PeerLinksOnLoop::deliverEvents()
{
    const std::weak_ptr<bool> alive = m_alive;
    const auto handlers = m_handlers;
    while (!m_events.empty()) {
        const PendingEvent event = std::move(m_events.front());
        m_events.pop_front();
        if (event.host.empty()) {
            if (handlers->onRejected)
                handlers->onRejected(event.error);
        } else if (handlers->onDisconnected) {
            handlers->onDisconnected(event.host, event.error);
        }
        if (alive.expired())
            return false;
    }
    return true;
}

/// Accepts one waiting connection whose turn has come.
///
/// @return false if there is none, or if a handler destroyed this object.
bool PeerLinksOnLoop::acceptWaiting()
{
    const std::weak_ptr<bool> alive = m_alive;
    for (auto& [host, slot] : m_slots) {
        if (!slot.waiting || slot.link || slot.attempt)
            continue;
        const HostId peer = host;
        accept(peer, std::exchange(slot.waiting, nullptr));
        return !alive.expired();
    }
    return false;
}

} // namespace

const char* toString(LinkError error)
{
    switch (error) {
    case LinkError::Refused:
        return "refused";
    case LinkError::Unreachable:
        return "unreachable";
    case LinkError::Unauthenticated:
        return "unauthenticated";
    case LinkError::Closed:
        return "closed";
    case LinkError::Silent:
        return "silent";
    case LinkError::ProtocolViolation:
        return "protocol_violation";
    case LinkError::Congested:
        return "congested";
    }
    return "invalid";
}

std::unique_ptr<PeerLinks> PeerLinks::listen(
    EventLoop& loop, const PeerLinkOptions& options, PeerLinkHandlers handlers, std::string& error)
{
    auto links = std::make_unique<PeerLinksOnLoop>(loop, options, std::move(handlers));
    if (!links->startListening(error))
        return nullptr;
    return links;
}

} // namespace lacewing
