#include "transport/peer_connection.h"

#include "transport/event_loop.h"
#include "transport/socket_address.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace lacewing {

namespace {

constexpr uint16_t closeCodeNormal = 1000;
/// From the range that is free for applications: the receiver failed to authenticate.
constexpr uint16_t closeCodeUnauthenticated = 4401;
constexpr size_t readBufferBytes = 16 * 1024;

timeval toTimeval(Duration duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    const auto rest = std::chrono::duration_cast<std::chrono::microseconds>(duration - seconds);
    return { seconds.count(), rest.count() };
}

void countSent(evbuffer*, const evbuffer_cb_info* change, void* argument)
{
    static_cast<LinkTraffic*>(argument)->sentBytes += static_cast<int64_t>(change->n_deleted);
}

bool hasPeer(int socket)
{
    sockaddr_storage address {};
    socklen_t size = sizeof(address);
    return getpeername(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0;
}

} // namespace

std::shared_ptr<PeerConnection> PeerConnection::connect(
    const Context& context, const HostId& host, const SocketAddress& address)
{
    auto connection = std::make_shared<PeerConnection>(context, LinkRole::Connector);
    connection->m_expectedHost = host;
    connection->startConnect(address);
    return connection;
}

std::shared_ptr<PeerConnection> PeerConnection::accept(const Context& context, int socket)
{
    auto connection = std::make_shared<PeerConnection>(context, LinkRole::Acceptor);
    disableDelay(socket);
    connection->startStream(socket);
    return connection;
}

PeerConnection::PeerConnection(const Context& context, LinkRole role)
    : m_loop(context.loop)
    , m_options(context.options)
    , m_traffic(context.traffic)
    , m_listener(&context.listener)
    , m_role(role)
{
}

PeerConnection::~PeerConnection()
{
    releaseResources();
}

size_t PeerConnection::bufferedBytes() const
{
    return m_stream ? evbuffer_get_length(bufferevent_get_output(m_stream)) : 0;
}

void PeerConnection::setTimer(Duration delay, void (PeerConnection::*action)())
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.runAfter(delay, [this, action] {
        const auto self = shared_from_this();
        m_timer = 0;
        (this->*action)();
    });
}

// The socket is connected here and not by bufferevent_socket_connect(), which does not reliably keep the
// error number of a connection that is refused at once.
void PeerConnection::startConnect(const SocketAddress& address)
{
    const auto native = toNative(address);
    if (native)
        m_connectSocket = socket(native->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    LinkError error = LinkError::Unreachable;
    if (m_connectSocket >= 0) {
        disableDelay(m_connectSocket);
        if (::connect(m_connectSocket, native->pointer(), native->size) == 0 || errno == EINPROGRESS) {
            m_connectEvent
                = event_new(m_loop.base(), m_connectSocket, EV_WRITE, &PeerConnection::onConnectEvent, this);
            const timeval timeout = toTimeval(m_options->connectTimeout);
            event_add(m_connectEvent, &timeout);
            return;
        }
        if (errno == ECONNREFUSED)
            error = LinkError::Refused;
    }
    m_pendingError = error;
    setTimer(Duration::zero(), &PeerConnection::finishPending);
}

void PeerConnection::onConnectEvent(int, short, void* argument)
{
    auto* connection = static_cast<PeerConnection*>(argument);
    const auto self = connection->shared_from_this();
    connection->connectFinished();
}

void PeerConnection::connectFinished()
{
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(m_connectSocket, SOL_SOCKET, SO_ERROR, &error, &size);
    // The socket is asked, since libevent reports only the timeout if both are due after a delay of this
    // process.
    if (error == 0 && !hasPeer(m_connectSocket))
        error = ETIMEDOUT;
    if (error != 0) {
        finish(error == ECONNREFUSED ? LinkError::Refused : LinkError::Unreachable);
        return;
    }
    event_free(m_connectEvent);
    m_connectEvent = nullptr;
    startStream(std::exchange(m_connectSocket, -1));
}

void PeerConnection::startStream(int socket)
{
    m_state = State::AwaitingHello;
    m_stream = bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(m_stream, &PeerConnection::onReadable, &PeerConnection::onOutputEmpty,
        &PeerConnection::onStreamEvent, this);
    evbuffer_add_cb(bufferevent_get_output(m_stream), &countSent, m_traffic.get());
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
    setTimer(m_options->silenceTimeout, &PeerConnection::handshakeTimedOut);
    WebsocketCallbacks callbacks;
    callbacks.onOutput = [this](std::string_view bytes) {
        if (m_stream)
            bufferevent_write(m_stream, bytes.data(), bytes.size());
    };
    callbacks.onOpen = [this] { sendHello(); };
    callbacks.onMessage = [this](std::string_view message) { handleMessage(message); };
    const bool connector = m_role == LinkRole::Connector;
    m_session = std::make_unique<WebsocketSession>(
        connector ? WebsocketRole::Client : WebsocketRole::Server, maximumHelloBytes, std::move(callbacks));
    m_session->start();
}

void PeerConnection::handshakeTimedOut()
{
    finish(LinkError::Silent);
}

void PeerConnection::onReadable(bufferevent*, void* argument)
{
    auto* connection = static_cast<PeerConnection*>(argument);
    const auto self = connection->shared_from_this();
    connection->readInput();
}

void PeerConnection::readInput()
{
    m_lastReceived = m_loop.now();
    std::array<char, readBufferBytes> buffer;
    while (m_stream) {
        // Copied, because the stream may be freed while the session still reads.
        const int size = bufferevent_read(m_stream, buffer.data(), buffer.size());
        if (size <= 0)
            return;
        m_traffic->receivedBytes += size;
        if (m_state == State::Draining)
            continue;
        m_session->receive(std::string_view(buffer.data(), size));
        checkSession();
    }
}

void PeerConnection::checkSession()
{
    if (m_state == State::Closed || m_state == State::Draining)
        return;
    switch (m_session->state()) {
    case WebsocketSession::State::Active:
        return;
    case WebsocketSession::State::ClosedByPeer:
        finish(m_session->closeCode() == closeCodeUnauthenticated ? LinkError::Unauthenticated
                                                                  : LinkError::Closed);
        return;
    case WebsocketSession::State::Violated:
        finish(LinkError::ProtocolViolation);
        return;
    }
}

void PeerConnection::onOutputEmpty(bufferevent* stream, void* argument)
{
    // Shut down before closing, because closing with unread input would discard what the peer has not read.
    if (static_cast<PeerConnection*>(argument)->m_state == State::Draining)
        shutdown(bufferevent_getfd(stream), SHUT_WR);
}

void PeerConnection::onStreamEvent(bufferevent*, short events, void* argument)
{
    auto* connection = static_cast<PeerConnection*>(argument);
    const auto self = connection->shared_from_this();
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
        connection->finish(
            connection->m_state == State::Draining ? connection->m_pendingError : LinkError::Closed);
}

void PeerConnection::handleMessage(std::string_view message)
{
    switch (m_state) {
    case State::AwaitingHello:
        handleHello(message);
        return;
    case State::AwaitingProof:
        handleProof(message);
        return;
    case State::Proved:
        finish(LinkError::ProtocolViolation);
        return;
    case State::Up:
        m_listener->connectionFrame(*this, message);
        return;
    case State::Connecting:
    case State::Draining:
    case State::Closed:
        return;
    }
}

void PeerConnection::sendHello()
{
    const auto nonce = makeLinkNonce();
    if (!nonce) {
        finish(LinkError::Unauthenticated);
        return;
    }
    m_ownHello = { m_options->self, m_options->incarnation, m_options->dataCentre, *nonce };
    m_session->send(encodeLinkHello(m_ownHello));
}

void PeerConnection::handleHello(std::string_view message)
{
    auto hello = decodeLinkHello(message);
    if (!hello) {
        finish(LinkError::ProtocolViolation);
        return;
    }
    const bool connector = m_role == LinkRole::Connector;
    if (hello->host == m_options->self || (connector && hello->host != m_expectedHost)) {
        refuse();
        return;
    }
    m_peerHello = std::move(*hello);
    m_state = State::AwaitingProof;
    if (connector)
        m_session->send(encodeLinkProof(proof(LinkRole::Connector, m_ownHello, m_peerHello)));
}

void PeerConnection::handleProof(std::string_view message)
{
    const bool connector = m_role == LinkRole::Connector;
    const LinkRole peerRole = connector ? LinkRole::Acceptor : LinkRole::Connector;
    if (!matchesLinkProof(message, proof(peerRole, m_peerHello, m_ownHello))) {
        refuse();
        return;
    }
    m_peer = { m_peerHello.host, m_peerHello.incarnation, m_peerHello.dataCentre };
    if (connector) {
        becomeUp();
        m_listener->connectionAccepted(*this);
        return;
    }
    m_state = State::Proved;
    // The connector gives up after this time, so a connection that waits longer is of no use.
    setTimer(m_options->silenceTimeout, &PeerConnection::handshakeTimedOut);
    m_listener->connectionProved(*this);
}

std::string PeerConnection::proof(LinkRole role, const LinkHello& prover, const LinkHello& verifier) const
{
    return linkProof(m_options->secret, role, prover, verifier);
}

void PeerConnection::acceptLink()
{
    if (m_state != State::Proved)
        return;
    m_session->send(encodeLinkProof(proof(LinkRole::Acceptor, m_ownHello, m_peerHello)));
    becomeUp();
}

void PeerConnection::becomeUp()
{
    m_state = State::Up;
    m_session->setMaximumMessageBytes(m_options->maximumFrameBytes);
    m_lastReceived = m_loop.now();
    m_lastPing = m_lastReceived;
    scheduleKeepAlive();
}

void PeerConnection::scheduleKeepAlive()
{
    const MonotonicTime nextPing = std::max(m_lastReceived, m_lastPing) + m_options->pingInterval;
    const MonotonicTime silentAt = m_lastReceived + m_options->silenceTimeout;
    setTimer(std::min(nextPing, silentAt) - m_loop.now(), &PeerConnection::keepAlive);
}

void PeerConnection::keepAlive()
{
    const MonotonicTime now = m_loop.now();
    if (now - m_lastReceived >= m_options->silenceTimeout) {
        finish(LinkError::Silent);
        return;
    }
    if (now - std::max(m_lastReceived, m_lastPing) >= m_options->pingInterval) {
        m_lastPing = now;
        m_session->ping();
    }
    scheduleKeepAlive();
}

bool PeerConnection::send(std::string_view frame)
{
    if (m_state != State::Up)
        return false;
    if (bufferedBytes() + frame.size() > m_options->maximumOutputBytes) {
        finish(LinkError::Congested);
        return false;
    }
    return m_session->send(frame);
}

void PeerConnection::closeGracefully()
{
    drain(closeCodeNormal, LinkError::Closed);
}

void PeerConnection::refuse()
{
    drain(closeCodeUnauthenticated, LinkError::Unauthenticated);
}

void PeerConnection::drain(uint16_t closeCode, LinkError error)
{
    if (m_state == State::Connecting || m_state == State::Closed || m_state == State::Draining)
        return;
    m_state = State::Draining;
    m_pendingError = error;
    m_session->close(closeCode);
    setTimer(m_options->silenceTimeout, &PeerConnection::finishPending);
}

void PeerConnection::finishPending()
{
    finish(m_pendingError);
}

void PeerConnection::finish(LinkError error)
{
    if (m_state == State::Closed)
        return;
    const auto self = shared_from_this();
    PeerConnectionListener* listener = m_listener;
    abandon();
    if (listener)
        listener->connectionEnded(*this, error);
}

void PeerConnection::abandon()
{
    m_state = State::Closed;
    m_listener = nullptr;
    releaseResources();
}

void PeerConnection::releaseResources()
{
    m_loop.cancel(std::exchange(m_timer, 0));
    if (m_connectEvent)
        event_free(std::exchange(m_connectEvent, nullptr));
    if (m_connectSocket >= 0)
        close(std::exchange(m_connectSocket, -1));
    if (m_stream)
        bufferevent_free(std::exchange(m_stream, nullptr));
}

} // namespace lacewing
