#pragma once

#include "transport/event_loop.h"
#include "transport/http_client.h"

namespace lacewing {

/// Makes single GET calls and waits for the answer, before or after a replay.
class HttpFetcher {
public:
    HttpFetcher(EventLoop& loop, HttpClient& client)
        : m_loop(loop)
        , m_client(client)
    {
    }

    /// @return the body of an answer with status 200, or nothing.
    std::optional<std::string> fetch(const SocketAddress& server, const std::string& target)
    {
        HttpClientRequest request;
        request.server = server;
        request.target = target;
        std::string body;
        bool isAnswered = false;
        HttpClientHandlers handlers;
        handlers.onBody = [&](std::string_view bytes) { body += bytes; };
        handlers.onDone = [&](const HttpClientResult& result) {
            isAnswered = !result.error && result.status == 200;
            m_loop.stop();
        };
        const auto call = m_client.send(std::move(request), std::move(handlers));
        m_loop.run();
        return isAnswered ? std::optional(body) : std::nullopt;
    }

private:
    EventLoop& m_loop;
    HttpClient& m_client;
};

} // namespace lacewing
