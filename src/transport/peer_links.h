#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "transport/http_message.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lacewing {

class EventLoop;

/// Why a link ended or could not be made.
enum class LinkError {
    /// The peer's host refused the connection: no process listens there.
    Refused,
    /// No connection within the timeout, or no route.
    Unreachable,
    /// The peer did not prove that it knows the shared secret, or claimed an unexpected host id.
    Unauthenticated,
    /// The connection broke or the peer closed it.
    Closed,
    /// Nothing was received within the silence timeout.
    Silent,
    /// A frame was malformed or too large.
    ProtocolViolation,
    /// More than the output limit was waiting to be sent.
    Congested,
};

/// @return the error's name in snake_case, for logs and metrics.
const char* toString(LinkError error);

struct PeerLinkOptions {
    HostId self;
    Incarnation incarnation;
    DataCentreId dataCentre;
    SocketAddress listenAddress { "127.0.0.1", 0 };
    /// Shared by all daemons; both sides prove by HMAC-SHA-256 over fresh nonces that they know it.
    std::string secret;
    Duration connectTimeout = std::chrono::seconds(1);
    /// A link on which nothing is received for this long is closed. Pings keep an idle link alive.
    Duration silenceTimeout = std::chrono::seconds(3);
    Duration pingInterval = std::chrono::seconds(1);
    size_t maximumFrameBytes = 16 * 1024 * 1024;
    size_t maximumOutputBytes = 64 * 1024 * 1024;
};

/// What a peer said about itself when the link was made.
struct PeerIdentity {
    HostId host;
    Incarnation incarnation;
    DataCentreId dataCentre;
};

/// Events of links. All run on the loop's thread.
struct PeerLinkHandlers {
    std::function<void(const PeerIdentity& peer)> onConnected;
    /// For a failed connection attempt too; host is the one that was asked for.
    std::function<void(const HostId& host, LinkError error)> onDisconnected;
    std::function<void(const HostId& host, std::string_view frame)> onFrame;
    /// An incoming connection that was refused before it became a link.
    std::function<void(LinkError error)> onRejected;
};

/// Authenticated websocket links to peers: at most one link to each host. If both sides connect at once, the
/// link that was made by the host with the lower id is kept.
class PeerLinks {
public:
    virtual ~PeerLinks() = default;

    /// Starts to listen.
    ///
    /// @param error receives the reason if the address can't be bound.
    /// @return nothing if the address can't be bound.
    static std::unique_ptr<PeerLinks> listen(
        EventLoop& loop, const PeerLinkOptions& options, PeerLinkHandlers handlers, std::string& error);

    virtual SocketAddress address() const = 0;
    /// Changes the times after which a link on which nothing is received is closed, and after which its peer
    /// is pinged; the latter should be shorter. Links that are up take them over at their next ping at the
    /// latest.
    virtual void setSilence(Duration silenceTimeout, Duration pingInterval) = 0;
    /// Changes the secret that is used for new links. Links that are up stay.
    ///
    /// @param secret must not be empty.
    virtual void setSecret(const std::string& secret) = 0;
    /// Connects to a peer unless there is a link or an attempt already. Does not retry by itself.
    virtual void connect(const HostId& host, const SocketAddress& address) = 0;
    /// Closes a link after its output has been sent.
    virtual void disconnect(const HostId& host) = 0;
    virtual bool isConnected(const HostId& host) const = 0;
    /// Sends one binary frame.
    ///
    /// @return false if there is no link.
    virtual bool send(const HostId& host, std::string_view frame) = 0;
    /// @return bytes that wait to be sent to a peer.
    virtual size_t bufferedBytes(const HostId& host) const = 0;
    virtual void stopListening() = 0;
    /// Bytes sent and received on all links since the start, including framing.
    virtual int64_t sentBytes() const = 0;
    virtual int64_t receivedBytes() const = 0;
};

} // namespace lacewing
