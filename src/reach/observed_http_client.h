#pragma once

#include "base/clock.h"
#include "reach/reach_evidence.h"
#include "transport/http_client.h"

namespace lacewing::reach {

/// An HTTP client that records what its exchanges show about the links to the servers.
class ObservedHttpClient : public HttpClient {
public:
    /// @param client, evidence, clock must outlive this client and its calls.
    ObservedHttpClient(HttpClient& client, ReachEvidence& evidence, const Clock& clock);

    std::unique_ptr<HttpClientCall> send(HttpClientRequest request, HttpClientHandlers handlers) override;
    void closeIdle(const SocketAddress& server) override { m_client.closeIdle(server); }
    size_t connectionCount() const override { return m_client.connectionCount(); }

private:
    HttpClient& m_client;
    ReachEvidence& m_evidence;
    const Clock& m_clock;
};

} // namespace lacewing::reach
