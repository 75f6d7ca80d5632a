#include "transport/http_server.h"

#include "transport/event_loop.h"
#include "transport/http_server_connection.h"
#include "transport/socket_address.h"

#include <event2/listener.h>
#include <event2/util.h>
#include <evhtp/evhtp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <unordered_map>
#include <vector>

namespace lacewing {

namespace {

constexpr int listenBacklog = 1024;

/// Time for which no connection is accepted after accept() failed, for example for lack of descriptors.
constexpr Duration acceptPause = std::chrono::milliseconds(100);

struct EvhtpDeleter {
    void operator()(evhtp_t* evhtp) const { evhtp_free(evhtp); }
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
        stopListening();
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
        m_evhtp.reset(evhtp_new(m_context.loop.base(), nullptr));
        // By default libevhtp defers callbacks, and libevent leaks a bufferevent if the loop ends before they
        // ran.
        evhtp_set_bev_flags(m_evhtp.get(), BEV_OPT_CLOSE_ON_FREE);
        evhtp_set_gencb(m_evhtp.get(), HttpServerConnection::onRequest, nullptr);
        evhtp_set_post_accept_cb(m_evhtp.get(), onAccept, this);
        // The socket is bound here and not by libevhtp so that the port it was given can be read.
        const int socket = ::socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (socket < 0 || evutil_make_listen_socket_reuseable(socket) != 0
            || ::bind(socket, reinterpret_cast<sockaddr*>(&address), length) != 0
            || evhtp_accept_socket(m_evhtp.get(), socket, listenBacklog) != 0) {
            error = "cannot listen on " + text + ": " + std::strerror(errno);
            if (socket >= 0)
                evutil_closesocket(socket);
            return false;
        }
        evconnlistener_set_error_cb(m_evhtp->server, onAcceptError);
        socklen_t boundLength = sizeof(address);
        getsockname(socket, reinterpret_cast<sockaddr*>(&address), &boundLength);
        m_address = fromSystemAddress(reinterpret_cast<sockaddr*>(&address));
        return true;
    }

    SocketAddress address() const override { return m_address; }

    void setLimits(const HttpServerLimits& limits) override
    {
        static_cast<HttpServerLimits&>(m_context.options) = limits;
    }

    size_t closeStalled(Duration stall) override
    {
        std::vector<HttpServerConnection*> stalled;
        for (const auto& entry : m_connections) {
            if (entry.first->isStalled(stall))
                stalled.push_back(entry.first);
        }
        for (HttpServerConnection* connection : stalled)
            connection->closeStalled();
        return stalled.size();
    }

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
        if (m_evhtp && m_evhtp->server)
            evhtp_unbind_socket(m_evhtp.get());
    }

    size_t openExchangeCount() const override { return m_context.openExchanges; }
    size_t openConnectionCount() const override { return m_connections.size(); }

private:
    static evhtp_res onAccept(evhtp_connection_t* accepted, void* self)
    {
        auto* server = static_cast<ListeningHttpServer*>(self);
        auto connection = std::make_unique<HttpServerConnection>(
            server->m_context, accepted, [server](HttpServerConnection* closed) { server->remove(closed); });
        HttpServerConnection* key = connection.get();
        server->m_connections.emplace(key, std::move(connection));
        return EVHTP_RES_OK;
    }

    static void onAcceptError(evconnlistener* listener, void* self)
    {
        auto* server
            = static_cast<ListeningHttpServer*>(static_cast<evhtp_t*>(self)->defaults.post_accept_cbarg);
        evconnlistener_disable(listener);
        server->m_acceptTimer
            = server->m_context.loop.runAfter(acceptPause, [listener] { evconnlistener_enable(listener); });
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
    std::unique_ptr<evhtp_t, EvhtpDeleter> m_evhtp;
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
