#include "relay/relayed_exchange.h"

#include "relay/relay_fields.h"
#include "transport/http_field_rules.h"

namespace lacewing::relay {

namespace {

constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;

constexpr Duration connectTimeout = std::chrono::milliseconds(200);
/// Reading of an answer is paused while more than this is buffered for the peer.
constexpr size_t maximumBufferedBytes = 256 * 1024;

/// @return whether a field describes one connection only, and is set anew for the next one.
bool isFramingField(std::string_view name)
{
    return equalsIgnoringCase(name, "Content-Length") || equalsIgnoringCase(name, "Transfer-Encoding")
        || equalsIgnoringCase(name, "Connection");
}

HttpHeaders upstreamHeaders(const HttpHeaders& relayed)
{
    HttpHeaders headers;
    for (const auto& [name, value] : relayed) {
        if (!isFramingField(name) && !equalsIgnoringCase(name, upstreamField)
            && !equalsIgnoringCase(name, tokenField) && !equalsIgnoringCase(name, newConnectionField))
            headers.add(name, value);
    }
    return headers;
}

HttpHeaders relayedHeaders(const HttpHeaders& answered)
{
    HttpHeaders headers { { answerField, "1" } };
    for (const auto& [name, value] : answered) {
        if (!isFramingField(name) && !equalsIgnoringCase(name, answerField))
            headers.add(name, value);
    }
    return headers;
}

/// @return how the end of an answer is marked: as the upstream marks it, since the peer must not take a part
/// of an answer for the whole.
StreamEnd endOf(const HttpHeaders& answered)
{
    const bool isMarked = answered.count("Content-Length") > 0 || answered.count("Transfer-Encoding") > 0;
    return isMarked ? StreamEnd::LastChunk : StreamEnd::ConnectionClose;
}

} // namespace

RelayedExchange::RelayedExchange(HttpClient& client, const RelayServer::Handlers& handlers,
    std::shared_ptr<HttpExchange> exchange, Finished finished)
    : m_client(client)
    , m_handlers(handlers)
    , m_exchange(std::move(exchange))
    , m_finished(std::move(finished))
{
}

void RelayedExchange::start(const RelayTarget& target)
{
    m_upstream = target.upstream;
    HttpClientRequest request;
    request.server = target.address;
    request.method = m_exchange->method();
    request.target
        = m_exchange->query().empty() ? m_exchange->path() : m_exchange->path() + '?' + m_exchange->query();
    request.headers = upstreamHeaders(m_exchange->headers());
    request.sharedBody = m_exchange->sharedBody();
    request.connectTimeout = connectTimeout;
    // The peer ends its request when its time is over.
    request.progressTimeout = Duration::zero();
    const bool needsNewConnection = m_exchange->headers().count(newConnectionField) > 0;
    request.maximumIdleAge = needsNewConnection ? Duration::zero() : target.idleAge;
    m_exchange->onClientLeft([this] { finish("cancelled"); });
    HttpClientHandlers handlers;
    handlers.onHeaders = [this](int status, const HttpHeaders& headers) { headersArrived(status, headers); };
    handlers.onBody = [this](std::string_view bytes) { bodyArrived(bytes); };
    handlers.onDone = [this](const HttpClientResult& result) { answerEnded(result); };
    m_call = m_client.send(std::move(request), std::move(handlers));
}

void RelayedExchange::headersArrived(int status, const HttpHeaders& headers)
{
    m_handlers.onAnswered(m_upstream, m_exchange->headers(), status, headers);
    const bool hasNoBody
        = m_exchange->method() == "HEAD" || status == statusNoContent || status == statusNotModified;
    if (hasNoBody) {
        m_bodilessStatus = status;
        m_bodilessHeaders = relayedHeaders(headers);
        return;
    }
    m_hasStarted = true;
    m_exchange->startStream(status, relayedHeaders(headers), endOf(headers));
    m_exchange->onDrained([this] {
        if (m_call)
            m_call->resumeReading();
    });
}

void RelayedExchange::bodyArrived(std::string_view bytes)
{
    if (!m_hasStarted)
        return;
    m_exchange->sendChunk(bytes);
    if (m_call && m_exchange->bufferedBytes() > maximumBufferedBytes)
        m_call->pauseReading();
}

void RelayedExchange::answerEnded(const HttpClientResult& result)
{
    const bool isAnswered = m_hasStarted || m_bodilessStatus != 0;
    // Fields outside of the head may contradict it, and can't be passed on.
    const bool isWhole = isAnswered && !result.error && !result.hasFieldsOutsideHead;
    if (!isAnswered && !result.requestSent) {
        refuse(statusUnavailable);
        return;
    }
    if (!isWhole)
        m_exchange->abort();
    else if (m_hasStarted)
        m_exchange->endStream();
    else
        m_exchange->reply(m_bodilessStatus, m_bodilessHeaders, "");
    finish(isWhole ? "answered" : "broken");
}

void RelayedExchange::refuse(int status)
{
    m_exchange->reply(status, {}, "");
    finish("not_sent");
}

void RelayedExchange::finish(const char* outcome)
{
    if (std::exchange(m_isFinished, true))
        return;
    m_call.reset();
    m_finished(this, outcome);
}

} // namespace lacewing::relay
