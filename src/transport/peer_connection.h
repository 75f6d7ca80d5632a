#pragma once

#include "base/scheduler.h"
#include "transport/link_proof.h"
#include "transport/peer_links.h"
#include "transport/websocket_session.h"

#include <memory>
#include <optional>
#include <string>

struct bufferevent;
struct event;

namespace lacewing {

class PeerConnection;

/// Byte counters of all connections of a process.
struct LinkTraffic {
    int64_t sentBytes = 0;
    int64_t receivedBytes = 0;
};

/// Receives the events of connections. It may abandon any connection while it handles an event.
class PeerConnectionListener {
public:
    virtual ~PeerConnectionListener() = default;

    /// An incoming connection's peer has proved its identity. The connection waits for acceptLink().
    virtual void connectionProved(PeerConnection& connection) = 0;
    /// An outgoing connection was accepted and can carry frames.
    virtual void connectionAccepted(PeerConnection& connection) = 0;
    virtual void connectionFrame(PeerConnection& connection, std::string_view frame) = 0;
    /// The connection is closed. May be called inside send(). Not called after abandon().
    virtual void connectionEnded(PeerConnection& connection, LinkError error) = 0;
};

/// One TCP connection to a peer: websocket handshake, mutual authentication, frames, pings and timeouts.
///
/// Both sides send a Hello. The connector proves its identity first, so that a host that does not know the
/// secret gets no proof to test guesses against. The acceptor answers with its own proof when it accepts the
/// connection as the link of that peer.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
    struct Context {
        EventLoop& loop;
        std::shared_ptr<const PeerLinkOptions> options;
        PeerConnectionListener& listener;
        std::shared_ptr<LinkTraffic> traffic;
    };

    /// Connects to a peer. The result is reported in a later round of the loop.
    static std::shared_ptr<PeerConnection> connect(
        const Context& context, const HostId& host, const SocketAddress& address);
    /// Takes over the socket of an incoming connection.
    static std::shared_ptr<PeerConnection> accept(const Context& context, int socket);

    PeerConnection(const Context& context, LinkRole role);
    ~PeerConnection();
    PeerConnection(const PeerConnection&) = delete;
    PeerConnection& operator=(const PeerConnection&) = delete;

    /// @return who the peer proved to be; empty before that.
    const PeerIdentity& peer() const { return m_peer; }
    size_t bufferedBytes() const;

    /// Makes an incoming connection that was reported by connectionProved() a link.
    void acceptLink();
    /// @return false if the connection is not a link, or just ended because of the output limit.
    bool send(std::string_view frame);
    /// Tells the peer that it is not authenticated, then closes and reports Unauthenticated.
    void refuse();
    /// Sends what is buffered and then closes. connectionEnded() is called once that is done.
    void closeGracefully();
    /// Closes at once; nothing is reported any more.
    void abandon();

private:
    enum class State {
        Connecting,
        /// Websocket handshake and Hello of the peer.
        AwaitingHello,
        AwaitingProof,
        /// The acceptor has not decided yet.
        Proved,
        Up,
        /// Output and close frame are being sent; input is dropped.
        Draining,
        Closed,
    };

    static void onConnectEvent(int socket, short events, void* argument);
    static void onReadable(bufferevent* stream, void* argument);
    static void onOutputEmpty(bufferevent* stream, void* argument);
    static void onStreamEvent(bufferevent* stream, short events, void* argument);

    void startConnect(const SocketAddress& address);
    void connectFinished();
    void startStream(int socket);
    void handshakeTimedOut();
    void readInput();
    void checkSession();
    void handleMessage(std::string_view message);
    void sendHello();
    void handleHello(std::string_view message);
    void handleProof(std::string_view message);
    void becomeUp();
    void keepAlive();
    void scheduleKeepAlive();
    void drain(uint16_t closeCode, LinkError error);
    void finishPending();
    void finish(LinkError error);
    void releaseResources();
    void setTimer(Duration delay, void (PeerConnection::*action)());
    std::string proof(LinkRole role, const LinkHello& prover, const LinkHello& verifier) const;

    EventLoop& m_loop;
    std::shared_ptr<const PeerLinkOptions> m_options;
    std::shared_ptr<LinkTraffic> m_traffic;
    /// Null once nothing is to be reported any more.
    PeerConnectionListener* m_listener;
    LinkRole m_role;
    State m_state = State::Connecting;
    /// The host that was asked for; empty for an incoming connection.
    HostId m_expectedHost;
    PeerIdentity m_peer;
    LinkHello m_ownHello;
    LinkHello m_peerHello;
    int m_connectSocket = -1;
    event* m_connectEvent = nullptr;
    bufferevent* m_stream = nullptr;
    std::unique_ptr<WebsocketSession> m_session;
    /// The error that is reported later, when draining ends or after a failed connect().
    LinkError m_pendingError = LinkError::Closed;
    TimerId m_timer = 0;
    MonotonicTime m_lastReceived;
    MonotonicTime m_lastPing;
};

} // namespace lacewing
