#pragma once

#include "fakes/fake_server.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"

#include <memory>
#include <optional>
#include <string>

namespace lacewing {

/// Serves a stand-in on a free port and calls it.
class HttpFixture {
public:
    struct Result {
        int status = 0;
        std::optional<HttpClientError> error;
        HttpHeaders headers;
        std::string body;
    };

    /// Starts to serve.
    template <typename StandIn> void serve(StandIn& standIn)
    {
        m_server = std::make_unique<FakeServer>(
            loop, faults, [&] { return standIn.metricsText(); },
            [&](const std::shared_ptr<HttpExchange>& exchange) { standIn.handle(exchange); });
        std::string error;
        m_server->listen({ "127.0.0.1", 0 }, error);
    }

    HttpClientRequest request(const std::string& method, const std::string& target, const std::string& body)
    {
        HttpClientRequest made;
        made.server = m_server->address();
        made.method = method;
        made.target = target;
        made.body = body;
        // Without timeouts, so that a slow machine can't change a verdict.
        made.progressTimeout = Duration(0);
        made.connectTimeout = std::chrono::hours(1);
        made.maximumIdleAge = std::chrono::hours(1);
        return made;
    }

    /// Sends a request.
    ///
    /// @param result must outlive the call; filled in as the answer arrives.
    /// @param done runs when the answer is complete.
    std::unique_ptr<HttpClientCall> start(
        HttpClientRequest request, Result& result, std::function<void()> done)
    {
        return m_client->send(std::move(request),
            { [&](int status, const HttpHeaders& headers) {
                 result.status = status;
                 result.headers = headers;
             },
                [&](std::string_view bytes) { result.body += bytes; },
                [&result, done = std::move(done)](const HttpClientResult& ended) {
                    result.error = ended.error;
                    done();
                } });
    }

    Result call(HttpClientRequest request)
    {
        Result result;
        const auto handle = start(std::move(request), result, [&] { loop.stop(); });
        loop.run();
        return result;
    }

    Result call(const std::string& method, const std::string& target, const std::string& body = "")
    {
        return call(request(method, target, body));
    }

    /// Runs the loop until the condition holds. The condition must not run the loop.
    void runUntil(const std::function<bool()>& condition)
    {
        const std::function<void()> check = [&] {
            if (condition())
                return loop.stop();
            loop.runAfter(std::chrono::milliseconds(1), check);
        };
        loop.runAfter(Duration(0), check);
        loop.run();
    }

    EventLoop loop;
    FaultSettings faults;

private:
    std::unique_ptr<HttpClient> m_client = HttpClient::create(loop);
    std::unique_ptr<FakeServer> m_server;
};

} // namespace lacewing
