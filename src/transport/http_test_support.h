#pragma once

#include "transport/event_loop.h"
#include "transport/loop_testing.h"
#include "transport/socket_address.h"

#include <boost/test/unit_test.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <vector>

namespace lacewing {

/// One end of a TCP connection that sends and receives bytes as they are.
class RawPeer {
public:
    RawPeer(EventLoop& loop, int socket)
        : m_stream(bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE))
    {
        evutil_make_socket_nonblocking(socket);
        bufferevent_setcb(m_stream, onRead, nullptr, onEvent, this);
        bufferevent_enable(m_stream, EV_READ | EV_WRITE);
    }
    RawPeer(EventLoop& loop, const SocketAddress& server)
        : RawPeer(loop, connectTo(server))
    {
    }
    ~RawPeer() { close(); }
    RawPeer(const RawPeer&) = delete;
    RawPeer& operator=(const RawPeer&) = delete;

    void send(std::string_view bytes) { bufferevent_write(m_stream, bytes.data(), bytes.size()); }
    /// Hands the bytes to the socket without a round of the loop.
    void sendAtOnce(std::string_view bytes)
    {
        BOOST_REQUIRE(::send(bufferevent_getfd(m_stream), bytes.data(), bytes.size(), MSG_NOSIGNAL)
            == static_cast<ssize_t>(bytes.size()));
    }
    void pauseReading() { bufferevent_disable(m_stream, EV_READ); }
    void resumeReading() { bufferevent_enable(m_stream, EV_READ); }
    /// Closes the connection after what was sent, as far as the socket takes it at once.
    void close()
    {
        if (!m_stream)
            return;
        evbuffer* output = bufferevent_get_output(m_stream);
        const size_t length = evbuffer_get_length(output);
        if (length > 0)
            ::send(bufferevent_getfd(m_stream), evbuffer_pullup(output, -1), length, MSG_NOSIGNAL);
        // libevent closes the socket only in a later round of the loop.
        shutdown(bufferevent_getfd(m_stream), SHUT_RDWR);
        bufferevent_free(m_stream);
        m_stream = nullptr;
    }
    /// Resets the connection, which drops what was not sent.
    void reset()
    {
        const linger noWait { 1, 0 };
        setsockopt(bufferevent_getfd(m_stream), SOL_SOCKET, SO_LINGER, &noWait, sizeof(noWait));
        bufferevent_free(m_stream);
        m_stream = nullptr;
    }
    bool received(std::string_view text) const { return m_received.find(text) != std::string::npos; }
    const std::string& all() const { return m_received; }
    bool isClosed() const { return m_isClosed; }
    /// @return whether the other end has closed the connection by a reset.
    bool isReset() const { return m_isReset; }
    /// Sends nothing more, but reads on.
    void endSending() { shutdown(bufferevent_getfd(m_stream), SHUT_WR); }

private:
    static int connectTo(const SocketAddress& server)
    {
        sockaddr_storage address {};
        const socklen_t length = toSystemAddress(server, address);
        const int socket = ::socket(address.ss_family, SOCK_STREAM, 0);
        BOOST_REQUIRE(connect(socket, reinterpret_cast<sockaddr*>(&address), length) == 0);
        return socket;
    }
    static void onRead(bufferevent* stream, void* self)
    {
        char bytes[16384];
        for (size_t length = 1; length > 0;) {
            length = bufferevent_read(stream, bytes, sizeof(bytes));
            static_cast<RawPeer*>(self)->m_received.append(bytes, length);
        }
    }
    static void onEvent(bufferevent*, short events, void* self)
    {
        static_cast<RawPeer*>(self)->m_isReset = (events & BEV_EVENT_ERROR) != 0;
        static_cast<RawPeer*>(self)->m_isClosed = true;
    }

    bufferevent* m_stream;
    std::string m_received;
    bool m_isClosed = false;
    bool m_isReset = false;
};

/// A server that keeps its connections as raw peers.
class RawServer {
public:
    explicit RawServer(EventLoop& loop)
        : m_loop(loop)
    {
        sockaddr_storage address {};
        socklen_t length = toSystemAddress({ "127.0.0.1", 0 }, address);
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        m_listener = evconnlistener_new_bind(
            loop.base(), onAccept, this, LEV_OPT_CLOSE_ON_FREE, 16, generic, static_cast<int>(length));
        length = sizeof(address);
        getsockname(evconnlistener_get_fd(m_listener), generic, &length);
        m_address = fromSystemAddress(generic);
    }
    ~RawServer() { evconnlistener_free(m_listener); }
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    const SocketAddress& address() const { return m_address; }
    std::vector<std::unique_ptr<RawPeer>> peers;

private:
    static void onAccept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self)
    {
        auto* server = static_cast<RawServer*>(self);
        server->peers.push_back(std::make_unique<RawPeer>(server->m_loop, socket));
    }

    EventLoop& m_loop;
    evconnlistener* m_listener;
    SocketAddress m_address;
};

} // namespace lacewing
