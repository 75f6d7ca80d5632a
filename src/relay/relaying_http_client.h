#pragma once

#include "base/ids.h"
#include "transport/http_client.h"

#include <functional>
#include <optional>

namespace lacewing::relay {

/// A peer that passes requests on.
struct Relay {
    HostId host;
    SocketAddress address;
    std::string token;
    /// The upstream that is to get the request.
    UpstreamId upstream;
};

/// An HTTP client that sends requests to upstreams through a peer while this host can't reach them itself.
///
/// Callers see the upstream's answer as if the upstream had sent it to this host. If the peer can't be
/// reached or takes nothing, the request counts as not sent. Any other end of the connection to the peer
/// counts as one of the connection to the upstream, which may have run the request.
class RelayingHttpClient : public HttpClient {
public:
    struct Handlers {
        /// @return the peer to use for the next request to an upstream; nothing if it goes there directly.
        std::function<std::optional<Relay>(const SocketAddress& upstream)> chooseRelay;
        std::function<void(const HostId& relay)> onStarted;
        std::function<void(const HostId& relay)> onEnded;
        /// The peer could not be reached, or takes no requests of this host.
        std::function<void(const HostId& relay)> onFailed;
    };

    /// @param direct for requests to upstreams; must outlive this client and its calls.
    /// @param peers for requests to peers; must outlive this client and its calls.
    RelayingHttpClient(HttpClient& direct, HttpClient& peers, Handlers handlers);

    std::unique_ptr<HttpClientCall> send(HttpClientRequest request, HttpClientHandlers handlers) override;
    void closeIdle(const SocketAddress& server) override { m_direct.closeIdle(server); }
    size_t connectionCount() const override { return m_direct.connectionCount(); }

private:
    HttpClient& m_direct;
    HttpClient& m_peers;
    Handlers m_handlers;
};

} // namespace lacewing::relay
