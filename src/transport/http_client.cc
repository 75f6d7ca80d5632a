#include "transport/http_client.h"

#include "transport/http_client_connection.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <vector>

namespace lacewing {

namespace {

class Call : public HttpClientCall {
public:
    Call(EventLoop& loop, std::shared_ptr<HttpClientExchange> exchange)
        : m_loop(loop)
        , m_exchange(std::move(exchange))
    {
    }

    ~Call() override
    {
        m_exchange->abandon();
        if (m_exchange->connection)
            m_exchange->connection->close();
    }

    void cancel() override
    {
        if (!m_exchange->connection)
            return;
        m_exchange->connection->close();
        m_loop.runAfter(
            Duration::zero(), [exchange = m_exchange] { exchange->finish(HttpClientError::Cancelled); });
    }

    void pauseReading() override
    {
        m_exchange->isPaused = true;
        if (m_exchange->connection)
            m_exchange->connection->pauseReading();
    }

    void resumeReading() override
    {
        if (!std::exchange(m_exchange->isPaused, false))
            return;
        if (m_exchange->connection)
            m_exchange->connection->resumeReading();
    }

    bool isOnReusedConnection() const override { return m_exchange->isOnReusedConnection; }
    bool isIdRepeated() const override { return m_exchange->isIdRepeated; }

private:
    EventLoop& m_loop;
    std::shared_ptr<HttpClientExchange> m_exchange;
};

class PoolingHttpClient : public HttpClient, private HttpClientConnection::Observer {
public:
    PoolingHttpClient(EventLoop& loop, std::string idField)
        : m_loop(loop)
        , m_idField(std::move(idField))
    {
    }

    ~PoolingHttpClient() override { m_loop.cancel(m_cleanupTimer); }

    std::unique_ptr<HttpClientCall> send(HttpClientRequest request, HttpClientHandlers handlers) override
    {
        auto exchange = std::make_shared<HttpClientExchange>(std::move(request), std::move(handlers));
        if (!m_idField.empty())
            exchange->ids = exchange->request.headers.values(m_idField);
        HttpClientConnection* connection = takeIdle(*exchange);
        if (!connection)
            connection = connect(exchange->request.server);
        connection->start(exchange);
        return std::make_unique<Call>(m_loop, std::move(exchange));
    }

    void closeIdle(const SocketAddress& server) override
    {
        const auto found = m_idle.find(server);
        if (found == m_idle.end())
            return;
        // Closing a connection changes the list.
        const std::vector<HttpClientConnection*> idle = found->second;
        for (HttpClientConnection* connection : idle)
            connection->close();
    }

    size_t connectionCount() const override { return m_connections.size(); }

private:
    HttpClientConnection* connect(const SocketAddress& server)
    {
        auto connection = std::make_unique<HttpClientConnection>(
            m_loop, static_cast<Observer&>(*this), server, m_idField);
        HttpClientConnection* key = connection.get();
        m_connections.emplace(key, std::move(connection));
        return key;
    }

    // The connection that was used last is the most likely to be still open.
    HttpClientConnection* takeIdle(HttpClientExchange& exchange)
    {
        const HttpClientRequest& request = exchange.request;
        const auto found = m_idle.find(request.server);
        if (found == m_idle.end() || request.maximumIdleAge <= Duration::zero())
            return nullptr;
        const MonotonicTime oldest = m_loop.now() - request.maximumIdleAge;
        std::vector<HttpClientConnection*>& idle = found->second;
        for (size_t index = idle.size(); index-- > 0;) {
            HttpClientConnection* connection = idle[index];
            if (connection->idleSince() < oldest)
                return nullptr;
            if (!connection->mayCarry(exchange.ids)) {
                exchange.isIdRepeated = true;
                continue;
            }
            if (connection->isUsable()) {
                idle.erase(idle.begin() + static_cast<ptrdiff_t>(index));
                return connection;
            }
            connection->close();
            if (m_idle.count(request.server) == 0)
                return nullptr;
        }
        return nullptr;
    }

    void connectionIdle(HttpClientConnection& connection) override
    {
        m_idle[connection.server()].push_back(&connection);
    }

    // The connection is destroyed in the next round of the loop, since it may be running a callback.
    void connectionClosed(HttpClientConnection& connection) override
    {
        const auto idle = m_idle.find(connection.server());
        if (idle != m_idle.end()) {
            auto& list = idle->second;
            list.erase(std::remove(list.begin(), list.end(), &connection), list.end());
            if (list.empty())
                m_idle.erase(idle);
        }
        const auto node = m_connections.extract(&connection);
        m_closedConnections.push_back(std::move(node.mapped()));
        if (m_closedConnections.size() > 1)
            return;
        m_cleanupTimer = m_loop.runAfter(Duration::zero(), [this] { m_closedConnections.clear(); });
    }

    EventLoop& m_loop;
    std::string m_idField;
    std::unordered_map<HttpClientConnection*, std::unique_ptr<HttpClientConnection>> m_connections;
    std::map<SocketAddress, std::vector<HttpClientConnection*>> m_idle;
    std::vector<std::unique_ptr<HttpClientConnection>> m_closedConnections;
    TimerId m_cleanupTimer = 0;
};

} // namespace

const char* toString(HttpClientError error)
{
    switch (error) {
    case HttpClientError::ConnectFailed:
        return "connect_failed";
    case HttpClientError::ConnectionRefused:
        return "connection_refused";
    case HttpClientError::ConnectionLost:
        return "connection_lost";
    case HttpClientError::TimedOut:
        return "timed_out";
    case HttpClientError::InvalidAnswer:
        return "invalid_answer";
    case HttpClientError::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

std::unique_ptr<HttpClient> HttpClient::create(EventLoop& loop, std::string idField)
{
    return std::make_unique<PoolingHttpClient>(loop, std::move(idField));
}

} // namespace lacewing
