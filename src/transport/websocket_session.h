#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace lacewing {

/// Which side of the websocket handshake a session takes.
enum class WebsocketRole {
    Client,
    Server,
};

/// What a session reports while it receives bytes.
struct WebsocketCallbacks {
    /// Bytes for the peer.
    std::function<void(std::string_view bytes)> onOutput;
    /// The handshake is complete.
    std::function<void()> onOpen;
    /// A whole binary message.
    std::function<void(std::string_view message)> onMessage;
};

/// Websocket protocol of one connection, without any I/O: bytes go in and out through calls. Answers pings by
/// itself. Callbacks must not destroy the session.
class WebsocketSession {
public:
    enum class State {
        /// Handshake in progress, or open.
        Active,
        /// The peer sent a close frame; closeCode() is set.
        ClosedByPeer,
        /// The peer broke the protocol or sent a message over the limit.
        Violated,
    };

    WebsocketSession(WebsocketRole role, size_t maximumMessageBytes, WebsocketCallbacks callbacks);
    ~WebsocketSession();

    /// Sends the handshake request, or starts to wait for one.
    void start();
    void receive(std::string_view bytes);
    State state() const;
    /// @return the code of the peer's close frame.
    uint16_t closeCode() const;
    void setMaximumMessageBytes(size_t maximum);

    /// Sends a binary message.
    ///
    /// @return false if the session is not open.
    bool send(std::string_view message);
    void ping();
    /// Sends a close frame. Messages that arrive later are dropped.
    void close(uint16_t code);

private:
    class Implementation;
    template <typename Config, typename Endpoint> class Endpointed;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lacewing
