#include "ctl/operator_client.h"

#include "transport/event_loop.h"
#include "transport/http_client.h"

#include <utility>

namespace lacewing {

OperatorClient::OperatorClient(EventLoop& loop, SocketAddress server, std::string secret, Duration timeout)
    : m_loop(loop)
    , m_client(HttpClient::create(loop))
    , m_server(std::move(server))
    , m_secret(std::move(secret))
    , m_timeout(timeout)
{
}

OperatorClient::~OperatorClient() = default;

std::optional<OperatorStatus> OperatorClient::status()
{
    const std::optional<Answer> answer = call("GET", operatorStatusPath, "");
    return answer ? take(m_api.decodeStatus(answer->body)) : std::nullopt;
}

std::optional<OperatorConfiguration> OperatorClient::configuration()
{
    const std::optional<Answer> answer = call("GET", operatorConfigurationPath, "");
    return answer ? take(m_api.decodeConfiguration(answer->body)) : std::nullopt;
}

std::optional<OperatorSubmitAnswer> OperatorClient::submit(const OperatorSubmitRequest& request)
{
    const std::optional<Answer> answer
        = call("POST", operatorConfigurationPath, OperatorApi::encode(request));
    return answer ? take(m_api.decodeSubmitAnswer(answer->body)) : std::nullopt;
}

void OperatorClient::wait(Duration duration)
{
    m_loop.runAfter(duration, [this] { m_loop.stop(); });
    m_loop.run();
}

std::optional<OperatorClient::Answer> OperatorClient::call(
    const std::string& method, const std::string& path, const std::string& body)
{
    HttpClientRequest request;
    request.server = m_server;
    request.method = method;
    request.target = path;
    request.headers = { { "Authorization", "Bearer " + m_secret }, { "Content-Type", "application/json" } };
    request.body = body;
    request.progressTimeout = m_timeout;
    Answer answer;
    HttpClientResult result;
    HttpClientHandlers handlers;
    handlers.onHeaders = [](int, const HttpHeaders&) {};
    handlers.onBody = [&](std::string_view bytes) { answer.body += bytes; };
    handlers.onDone = [&](const HttpClientResult& outcome) {
        result = outcome;
        m_loop.stop();
    };
    const std::unique_ptr<HttpClientCall> running = m_client->send(std::move(request), std::move(handlers));
    m_loop.run();
    if (result.error) {
        fail(result.requestSent ? OperatorClientError::NoAnswer : OperatorClientError::Unreachable,
            m_server.text() + ": " + toString(*result.error));
        return std::nullopt;
    }
    answer.status = result.status;
    if (answer.status == 401 || answer.status == 403) {
        fail(OperatorClientError::Unauthorized, m_server.text() + " refused the secret");
        return std::nullopt;
    }
    // Refusals of submissions have an answer of their own; everything else must be a success.
    const bool isRefusal = answer.status == 409 || answer.status == 422 || answer.status == 503;
    if (answer.status != 200 && !(method == "POST" && isRefusal)) {
        fail(OperatorClientError::Invalid,
            m_server.text() + " answered " + std::to_string(answer.status) + ": " + answer.body);
        return std::nullopt;
    }
    return answer;
}

template <typename Value> std::optional<Value> OperatorClient::take(std::optional<Value> value)
{
    if (!value)
        fail(OperatorClientError::Invalid, m_server.text() + ": " + m_api.lastError());
    return value;
}

void OperatorClient::fail(OperatorClientError kind, std::string message)
{
    m_lastErrorKind = kind;
    m_lastError = std::move(message);
}

} // namespace lacewing
