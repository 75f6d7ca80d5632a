#pragma once

#include "transport/event_loop.h"
#include "transport/link_proof.h"
#include "transport/socket_address.h"
#include "transport/websocket_session.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lacewing {

/// A peer for tests that does only what the test tells it to, so that it can break the protocol.
class RawLinkPeer {
public:
    explicit RawLinkPeer(EventLoop& loop)
        : m_loop(loop)
    {
    }

    ~RawLinkPeer()
    {
        close();
        if (m_listener)
            evconnlistener_free(m_listener);
    }

    /// Connects without sending anything.
    void connect(const SocketAddress& address)
    {
        const auto native = toNative(address);
        attach(-1);
        bufferevent_socket_connect(m_stream, native->pointer(), static_cast<int>(native->size));
    }

    /// Listens for one connection.
    SocketAddress listen()
    {
        const auto native = toNative({ "127.0.0.1", 0 });
        m_listener = evconnlistener_new_bind(
            m_loop.base(),
            [](evconnlistener*, int socket, sockaddr*, int, void* self) {
                static_cast<RawLinkPeer*>(self)->attach(socket);
            },
            this, LEV_OPT_CLOSE_ON_FREE, 1, native->pointer(), static_cast<int>(native->size));
        return boundAddress(evconnlistener_get_fd(m_listener));
    }

    /// Speaks websocket from the next connection on.
    void useWebsocket(WebsocketRole role, std::function<void(const std::string&)> onMessage)
    {
        m_onMessage = std::move(onMessage);
        m_session = std::make_unique<WebsocketSession>(role, 1 << 20,
            WebsocketCallbacks { [this](std::string_view bytes) { write(bytes); },
                [this] { send(encodeLinkHello(hello)); },
                [this](std::string_view message) { m_onMessage(std::string(message)); } });
    }

    /// Connects and proves its identity; sets up once the other side has accepted.
    void connectAs(const LinkHello& identity, const std::string& secret, const SocketAddress& address)
    {
        hello = identity;
        hello.nonce = *makeLinkNonce();
        useWebsocket(WebsocketRole::Client, [this, secret](const std::string& message) {
            if (const auto peer = decodeLinkHello(message))
                send(encodeLinkProof(linkProof(secret, LinkRole::Connector, hello, *peer)));
            else
                up = true;
        });
        connect(address);
    }

    void write(std::string_view bytes)
    {
        if (m_stream)
            bufferevent_write(m_stream, bytes.data(), bytes.size());
    }
    void send(const std::string& message)
    {
        sent.push_back(message);
        m_session->send(message);
    }
    void stopReading() { bufferevent_disable(m_stream, EV_READ); }
    void close()
    {
        if (m_stream)
            bufferevent_free(m_stream);
        m_stream = nullptr;
    }

    LinkHello hello;
    std::vector<std::string> sent;
    bool up = false;
    bool ended = false;

private:
    void attach(int socket)
    {
        m_stream = bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(m_stream, &RawLinkPeer::onReadable, nullptr, &RawLinkPeer::onEvent, this);
        bufferevent_enable(m_stream, EV_READ | EV_WRITE);
        if (m_session)
            m_session->start();
    }

    static void onReadable(bufferevent* stream, void* argument)
    {
        auto* self = static_cast<RawLinkPeer*>(argument);
        std::string bytes(evbuffer_get_length(bufferevent_get_input(stream)), '\0');
        bufferevent_read(stream, bytes.data(), bytes.size());
        if (self->m_session)
            self->m_session->receive(bytes);
    }
    static void onEvent(bufferevent*, short events, void* argument)
    {
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
            return;
        static_cast<RawLinkPeer*>(argument)->ended = true;
        static_cast<RawLinkPeer*>(argument)->close();
    }

    EventLoop& m_loop;
    evconnlistener* m_listener = nullptr;
    bufferevent* m_stream = nullptr;
    std::unique_ptr<WebsocketSession> m_session;
    std::function<void(const std::string&)> m_onMessage;
};

} // namespace lacewing
