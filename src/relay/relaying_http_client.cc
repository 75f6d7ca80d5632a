#include "relay/relaying_http_client.h"

#include "relay/relay_fields.h"
#include "transport/http_field_rules.h"

#include <algorithm>
#include <utility>

namespace lacewing::relay {

namespace {

/// Shorter than the time for which a relay keeps idle connections open.
constexpr Duration longestIdleAge = std::chrono::seconds(10);

/// Counts a request from its start to the end of its call.
class RelayedCall : public HttpClientCall {
public:
    RelayedCall(std::unique_ptr<HttpClientCall> call, std::function<void()> ended)
        : m_call(std::move(call))
        , m_ended(std::move(ended))
    {
    }
    ~RelayedCall() override { m_ended(); }
    RelayedCall(const RelayedCall&) = delete;
    RelayedCall& operator=(const RelayedCall&) = delete;

    void cancel() override { m_call->cancel(); }
    void pauseReading() override { m_call->pauseReading(); }
    void resumeReading() override { m_call->resumeReading(); }
    bool isOnReusedConnection() const override { return m_call->isOnReusedConnection(); }
    bool isIdRepeated() const override { return m_call->isIdRepeated(); }

private:
    std::unique_ptr<HttpClientCall> m_call;
    std::function<void()> m_ended;
};

HttpHeaders withoutField(const HttpHeaders& headers, std::string_view name)
{
    HttpHeaders rest;
    for (const auto& [field, value] : headers) {
        if (!equalsIgnoringCase(field, name))
            rest.add(field, value);
    }
    return rest;
}

/// Passes on only what comes from the upstream.
struct RelayedAnswer {
    HttpClientHandlers handlers;
    std::function<void()> onFailed;
    /// The answer is the relay's own.
    bool isRelaysOwn = false;
    /// The relay takes no request of this host.
    bool isRejected = false;

    void headersArrived(int status, const HttpHeaders& headers)
    {
        isRelaysOwn = headers.count(answerField) == 0;
        isRejected = isRelaysOwn && status == statusForbidden;
        if (!isRelaysOwn && handlers.onHeaders)
            handlers.onHeaders(status, withoutField(headers, answerField));
    }
    void bodyArrived(std::string_view bytes) const
    {
        if (!isRelaysOwn && handlers.onBody)
            handlers.onBody(bytes);
    }
    void done(HttpClientResult result) const
    {
        const bool isUnreachable = result.error && !result.requestSent;
        if (isUnreachable || isRejected)
            onFailed();
        if (isRelaysOwn)
            result = HttpClientResult { HttpClientError::ConnectFailed };
        if (handlers.onDone)
            handlers.onDone(result);
    }
};

} // namespace

RelayingHttpClient::RelayingHttpClient(HttpClient& direct, HttpClient& peers, Handlers handlers)
    : m_direct(direct)
    , m_peers(peers)
    , m_handlers(std::move(handlers))
{
}

std::unique_ptr<HttpClientCall> RelayingHttpClient::send(
    HttpClientRequest request, HttpClientHandlers handlers)
{
    const auto relay = m_handlers.chooseRelay(request.server);
    if (!relay)
        return m_direct.send(std::move(request), std::move(handlers));
    request.headers.add(upstreamField, relay->upstream.value());
    request.headers.add(tokenField, relay->token);
    request.server = relay->address;
    const bool needsNewConnection = request.maximumIdleAge <= Duration::zero();
    if (needsNewConnection)
        request.headers.add(newConnectionField, "1");
    else
        request.maximumIdleAge = longestIdleAge;
    const HostId host = relay->host;
    const auto answer = std::make_shared<RelayedAnswer>();
    answer->handlers = std::move(handlers);
    answer->onFailed = [this, host] { m_handlers.onFailed(host); };
    HttpClientHandlers relayed;
    relayed.onHeaders
        = [answer](int status, const HttpHeaders& headers) { answer->headersArrived(status, headers); };
    relayed.onBody = [answer](std::string_view bytes) { answer->bodyArrived(bytes); };
    relayed.onDone = [answer](const HttpClientResult& result) { answer->done(result); };
    m_handlers.onStarted(host);
    return std::make_unique<RelayedCall>(
        m_peers.send(std::move(request), std::move(relayed)), [this, host] { m_handlers.onEnded(host); });
}

} // namespace lacewing::relay
