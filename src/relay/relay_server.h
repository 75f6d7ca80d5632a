#pragma once

#include "base/ids.h"
#include "base/memory_account.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lacewing::relay {

class RelayedExchange;

/// Where a request of a peer goes.
struct RelayTarget {
    UpstreamId upstream;
    SocketAddress address;
    /// Longest idle time of a connection that may be reused.
    Duration idleAge {};
};

/// Passes requests of peers that can't reach the upstreams on to these, and their answers back.
///
/// Load pattern: the requests of many hosts come to few. Each has a connection of its own, so that a caller
/// that reads slowly slows its own answer only. A request goes to the upstream that the peer has chosen or to
/// none; it is never passed on to a further peer.
class RelayServer {
public:
    /// Receives the fields of a request that was passed on, and the head of its answer.
    using AnswerObserver = std::function<void(
        const UpstreamId& upstream, const HttpHeaders& request, int status, const HttpHeaders& answer)>;

    struct Handlers {
        /// @return whether the token is that of a host of the fleet.
        std::function<bool(const std::string& token)> isAuthorized;
        /// @return where requests to an upstream go; nothing if this host must not send it any.
        std::function<std::optional<RelayTarget>(const UpstreamId& upstream)> findTarget;
        /// An upstream has answered a request that was passed on.
        AnswerObserver onAnswered;
        /// @param outcome "answered", "not_sent", "broken" or "cancelled".
        std::function<void(const char* outcome)> onEnded;
    };

    /// @param loop, client, memory must outlive the server.
    RelayServer(EventLoop& loop, HttpClient& client, MemoryAccount& memory, Handlers handlers);
    ~RelayServer();

    /// @return false with the reason in `error` if the address can't be bound.
    bool listen(const SocketAddress& address, std::string& error);
    /// @return the address that was bound; port 0 before listen().
    SocketAddress address() const { return m_server ? m_server->address() : SocketAddress(); }
    /// @return number of requests that are being passed on.
    size_t openCount() const { return m_exchanges.size(); }
    void beginDrain();

private:
    void accept(std::shared_ptr<HttpExchange> exchange);

    EventLoop& m_loop;
    HttpClient& m_client;
    MemoryAccount& m_memory;
    Handlers m_handlers;
    std::unique_ptr<HttpServer> m_server;
    std::map<RelayedExchange*, std::shared_ptr<RelayedExchange>> m_exchanges;
};

} // namespace lacewing::relay
