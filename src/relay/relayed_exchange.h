#pragma once

#include "relay/relay_server.h"

namespace lacewing::relay {

/// One request of a peer and the answer of its upstream.
class RelayedExchange {
public:
    using Finished = std::function<void(RelayedExchange* exchange, const char* outcome)>;

    /// @param finished called at most once; it must not destroy the exchange synchronously.
    RelayedExchange(HttpClient& client, const RelayServer::Handlers& handlers,
        std::shared_ptr<HttpExchange> exchange, Finished finished);

    void start(const RelayTarget& target);
    /// Tells the peer that the upstream has got nothing.
    void refuse(int status);

private:
    void headersArrived(int status, const HttpHeaders& headers);
    void bodyArrived(std::string_view bytes);
    void answerEnded(const HttpClientResult& result);
    void finish(const char* outcome);

    HttpClient& m_client;
    const RelayServer::Handlers& m_handlers;
    std::shared_ptr<HttpExchange> m_exchange;
    Finished m_finished;
    UpstreamId m_upstream;
    std::unique_ptr<HttpClientCall> m_call;
    /// Status and fields of an answer without a body, until it is complete.
    int m_bodilessStatus = 0;
    HttpHeaders m_bodilessHeaders;
    bool m_hasStarted = false;
    bool m_isFinished = false;
};

} // namespace lacewing::relay
