#include "daemon/flow_window.h"
#include "daemon/upstream_run.h"
#include "protocol/call_ids.h"
#include "state/refusal.h"

namespace lacewing {

namespace {

constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;
constexpr int statusTooManyRequests = 429;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr Duration retryDelay = std::chrono::seconds(1);
/// Maximum idle time of a pooled connection for a non-repeatable call. An older connection may be dead, and
/// such a call can't be retried if it is lost on it.
constexpr Duration nonRepeatableIdleAge = std::chrono::seconds(1);
constexpr Duration repeatableIdleAge = std::chrono::seconds(30);

class ServiceRun : public UpstreamRun {
public:
    ServiceRun(HttpClient& client, const UpstreamTarget& target, const RunRequest& request, Listener listener)
        : m_client(client)
        , m_target(target)
        , m_request(request)
        , m_listener(std::move(listener))
    {
    }

    void start() override
    {
        HttpClientRequest request;
        request.server = m_target.address;
        request.method = m_request.method;
        request.target = m_request.path;
        request.headers.add("Content-Type", m_request.contentType);
        request.headers.add("Lacewing-Workspace", m_request.workspace.value());
        request.headers.add(callIdField, m_target.callId);
        if (!m_request.requestId.empty())
            request.headers.add("Idempotency-Key", m_request.requestId.value());
        request.body = m_request.body;
        request.progressTimeout = m_target.progressTimeout;
        request.maximumIdleAge = m_request.repeatable ? repeatableIdleAge : nonRepeatableIdleAge;
        HttpClientHandlers handlers;
        handlers.onHeaders
            = [this](int status, const HttpHeaders& headers) { receiveHeaders(status, headers); };
        handlers.onBody = [this](std::string_view bytes) { receive(bytes); };
        handlers.onDone = [this](const HttpClientResult& result) { finish(result); };
        m_call = m_client.send(std::move(request), std::move(handlers));
    }

    void addWindow(int64_t bytes) override { m_window.add(bytes, m_call.get()); }

private:
    void receiveHeaders(int status, const HttpHeaders& headers)
    {
        if (!isAnswerToCall(headers, m_target.callId, *m_call)) {
            logForeignAnswer(m_target, status);
            m_call->cancel();
            return;
        }
        m_status = status;
        const bool hasNoBody
            = m_request.method == "HEAD" || status == statusNoContent || status == statusNotModified;
        m_hasMarkedEnd
            = hasNoBody || headers.count("Content-Length") > 0 || headers.count("Transfer-Encoding") > 0;
        m_contentType = headers.find("Content-Type").value_or("application/octet-stream");
        m_isNotRun = headers.hasOnly("Lacewing-Not-Run", "1") && headers.count(callIdField) > 0
            && (status == statusTooManyRequests || status == statusUnavailable);
    }

    void receive(std::string_view bytes)
    {
        if (m_isNotRun)
            return;
        RunChunk chunk;
        chunk.stream = m_request.stream;
        chunk.bytes = bytes;
        m_window.consume(chunk.bytes.size(), *m_call);
        m_listener.onChunk(chunk);
    }

    void finish(const HttpClientResult& result)
    {
        RunEnd end;
        if (!result.requestSent) {
            end = refusedRun(m_request.stream, refusal::upstreamUnreachable, statusUnavailable, retryDelay);
        } else if (m_isNotRun && !result.error) {
            end = refusedRun(m_request.stream, refusal::upstreamRefused, m_status, retryDelay);
        } else {
            end.stream = m_request.stream;
            const bool isWhole = !result.error && m_hasMarkedEnd;
            end.outcome = isWhole ? Outcome::Answered : Outcome::Unknown;
            end.code = isWhole ? std::string_view() : refusal::upstreamLost;
            end.status = isWhole ? m_status : statusBadGateway;
            end.contentType = m_contentType;
        }
        const auto onEnd = m_listener.onEnd;
        onEnd(end);
    }

    HttpClient& m_client;
    UpstreamTarget m_target;
    RunRequest m_request;
    Listener m_listener;
    FlowWindow m_window;
    int m_status = 0;
    bool m_isNotRun = false;
    /// Whether the answer itself says where it ends. A process that ends closes its connections in an orderly
    /// way, so the end of the connection doesn't tell a whole answer from a part.
    bool m_hasMarkedEnd = false;
    std::string m_contentType;
    // Declared last, so that it is destroyed before the members that its callbacks use.
    std::unique_ptr<HttpClientCall> m_call;
};

} // namespace

std::unique_ptr<UpstreamRun> makeServiceRun(HttpClient& client, const UpstreamTarget& target,
    const RunRequest& request, UpstreamRun::Listener listener)
{
    return std::make_unique<ServiceRun>(client, target, request, std::move(listener));
}

} // namespace lacewing
