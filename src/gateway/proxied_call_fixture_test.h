#pragma once

#include "daemon/fake_exchange_test.h"
#include "gateway/fake_call_services_test.h"
#include "gateway/proxied_call.h"

#include <chrono>
#include <memory>
#include <string>

namespace lacewing::gateway {

/// Sends callers' requests, of which it keeps the last one, and plays the upstreams that get them.
struct ProxiedCallFixture : FakeCallServices {
    void start(const char* path, const HttpHeaders& headers)
    {
        exchange = std::make_shared<FakeExchange>("POST", path, headers, "");
        call = std::make_shared<ProxiedCall>(services, exchange, [](ProxiedCall*) {});
        call->start();
    }
    void send(const char* path, const char* key = "key-1")
    {
        start(path, { { "Host", "a.example" }, { "id", "r-1" }, { "key", key } });
    }
    /// @param parts hashes of the prompt's parts.
    void sendPrompt(const char* path, const std::string& parts)
    {
        start(path, { { "Host", "a.example" }, { "id", "r-1" }, { "key", "key-1" }, { "parts", parts } });
    }
    /// Gives each upstream a new process, some time later.
    void restartUpstreams()
    {
        scheduler.advance(std::chrono::milliseconds(500));
        ++rows.startedAt;
        store.put({ "servers", "s-1" }, "ready");
        store.put({ "servers", "s-2" }, "ready");
        scheduler.advance(std::chrono::milliseconds(500));
    }
    UpstreamCall& upstream(size_t index) { return *client.calls.at(index); }
    /// Answers a request with a stream that ends in an orderly way.
    void endStream(size_t index, const std::string& body)
    {
        beginStream(index, body);
        upstream(index).end();
    }
    /// Answers a request with a stream whose connection is lost after the body's bytes.
    void breakStream(size_t index, const std::string& body)
    {
        beginStream(index, body);
        upstream(index).end(HttpClientError::ConnectionLost);
    }
    /// Serves a request by an upstream that states a limit.
    UpstreamId serveWithLimit(const std::string& limit)
    {
        send("/once/1");
        UpstreamCall& last = *client.calls.back();
        last.handlers.onHeaders(200, { { "id", "r-1" }, { "seal", "1" }, { "limit", limit } });
        last.end();
        return UpstreamId(*last.request.headers.find("expect"));
    }

    std::shared_ptr<FakeExchange> exchange;
    std::shared_ptr<ProxiedCall> call;

private:
    void beginStream(size_t index, const std::string& body)
    {
        upstream(index).head(200, "r-1", true);
        upstream(index).handlers.onBody(body);
    }
};

} // namespace lacewing::gateway
