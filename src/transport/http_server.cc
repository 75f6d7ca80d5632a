#include "transport/http_server.h"

#include "transport/event_loop.h"
#include "transport/http_server_connection.h"
#include "transport/socket_address.h"

#include <event2/listener.h>

#include <cerrno>
#include <cstring>
#include <unordered_map>
#include <vector>

namespace lacewing {

namespace {

constexpr int listenBacklog = 1024;

/// Time for which no connection is accepted after accept() failed, for example for lack of descriptors.
constexpr Duration acceptPause = std::chrono::milliseconds(100);

struct ListenerDeleter {
    void operator()(evconnlistener* listener) const { evconnlistener_free(listener); }
};

class ListeningHttpServer : public HttpServer {
public:
    ListeningHttpServer(
        EventLoop& loop, HttpServerOptions options, Handler handler, RejectionObserver observer)
        : m_context { loop, std::move(options), std::move(handler), std::move(observer) }
    {
    }

    ~ListeningHttpServer() override
    {
        m_context.loop.cancel(m_acceptTimer);
        m_context.loop.cancel(m_cleanupTimer);
    }

    bool bind(std::string& error)
    {
        sockaddr_storage address {};
        const socklen_t length = toSystemAddress(m_context.options.address, address);
        const std::string text = m_context.options.address.text();
        if (length == 0) {
            error = "listening address " + text + " is not an IP number";
            return false;
        }
        m_listener.reset(evconnlistener_new_bind(m_context.loop.base(), onAccept, this,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, listenBacklog,
            reinterpret_cast<sockaddr*>(&address), static_cast<int>(length)));
        if (!m_listener) {
            error = "cannot listen on " + text + ": " + std::strerror(errno);
            return false;
        }
        evconnlistener_set_error_cb(m_listener.get(), onAcceptError);
        socklen_t boundLength = sizeof(address);
        getsockname(
            evconnlistener_get_fd(m_listener.get()), reinterpret_cast<sockaddr*>(&address), &boundLength);
        m_address = fromSystemAddress(reinterpret_cast<sockaddr*>(&address));
        return true;
    }

    SocketAddress address() const override { return m_address; }

    void beginDrain() override
    {
        m_context.draining = true;
        std::vector<HttpServerConnection*> connections;
        for (const auto& entry : m_connections)
            connections.push_back(entry.first);
        for (HttpServerConnection* connection : connections)
            connection->closeIfIdle();
    }

    void stopListening() override
    {
        m_context.loop.cancel(m_acceptTimer);
        m_listener.reset();
    }

    size_t openExchangeCount() const override { return m_context.openExchanges; }
    size_t openConnectionCount() const override { return m_connections.size(); }

private:
    static void onAccept(evconnlistener*, evutil_socket_t socket, sockaddr* address, int, void* self)
    {
        static_cast<ListeningHttpServer*>(self)->accept(socket, address);
    }

    static void onAcceptError(evconnlistener* listener, void* self)
    {
        auto* server = static_cast<ListeningHttpServer*>(self);
        evconnlistener_disable(listener);
        server->m_acceptTimer
            = server->m_context.loop.runAfter(acceptPause, [listener] { evconnlistener_enable(listener); });
    }

    void accept(evutil_socket_t socket, const sockaddr* address)
    {
        auto connection = std::make_unique<HttpServerConnection>(m_context, socket,
            fromSystemAddress(address).ip, [this](HttpServerConnection* closed) { remove(closed); });
        HttpServerConnection* key = connection.get();
        m_connections.emplace(key, std::move(connection));
    }

    // The connection is destroyed in the next round of the loop, since it may be running a callback.
    void remove(HttpServerConnection* connection)
    {
        const auto node = m_connections.extract(connection);
        m_closedConnections.push_back(std::move(node.mapped()));
        if (m_closedConnections.size() > 1)
            return;
        m_cleanupTimer = m_context.loop.runAfter(Duration::zero(), [this] { m_closedConnections.clear(); });
    }

    HttpServerContext m_context;
    std::unique_ptr<evconnlistener, ListenerDeleter> m_listener;
    SocketAddress m_address;
    std::unordered_map<HttpServerConnection*, std::unique_ptr<HttpServerConnection>> m_connections;
    std::vector<std::unique_ptr<HttpServerConnection>> m_closedConnections;
    TimerId m_acceptTimer = 0;
    TimerId m_cleanupTimer = 0;
};

} // namespace

std::unique_ptr<HttpServer> HttpServer::listen(EventLoop& loop, const HttpServerOptions& options,
    Handler handler, RejectionObserver observer, std::string& error)
{
    auto server
        = std::make_unique<ListeningHttpServer>(loop, options, std::move(handler), std::move(observer));
    if (!server->bind(error))
        return nullptr;
    return server;
}

} // namespace lacewing
