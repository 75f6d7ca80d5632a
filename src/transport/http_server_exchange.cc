#include "transport/http_server_exchange.h"

#include "transport/http_server_connection.h"

namespace lacewing {

HttpServerExchange::HttpServerExchange(HttpServerContext& context, HttpServerConnection& connection,
    HttpRequestHead head, std::shared_ptr<HttpBody> body)
    : m_context(&context)
    , m_connection(&connection)
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_remoteIp(connection.remoteIp())
{
    ++m_context->openExchanges;
}

HttpServerExchange::~HttpServerExchange()
{
    if (!m_connection)
        return;
    if (m_isStreaming) {
        abort();
        return;
    }
    constexpr int statusInternalError = 500;
    reply(statusInternalError, {}, "");
}

// The callbacks go too, since they often hold a reference to the exchange.
HttpServerConnection* HttpServerExchange::detach()
{
    HttpServerConnection* connection = m_connection;
    m_connection = nullptr;
    --m_context->openExchanges;
    m_onClientLeft = nullptr;
    m_onDrained = nullptr;
    return connection;
}

void HttpServerExchange::reply(int status, const HttpHeaders& headers, std::string_view body)
{
    if (m_connection && !m_isStreaming)
        detach()->sendWhole(status, headers, body);
}

void HttpServerExchange::startStream(int status, const HttpHeaders& headers, StreamEnd end)
{
    if (!m_connection || m_isStreaming)
        return;
    m_isStreaming = true;
    m_connection->sendHead(status, headers, end);
}

void HttpServerExchange::sendChunk(std::string_view bytes)
{
    // An empty chunk would end the stream.
    if (m_connection && m_isStreaming && !bytes.empty())
        m_connection->sendPiece(bytes);
}

void HttpServerExchange::endStream()
{
    if (m_connection && m_isStreaming)
        detach()->sendEnd();
}

void HttpServerExchange::abort()
{
    if (m_connection)
        detach()->abort();
}

size_t HttpServerExchange::bufferedBytes() const
{
    return m_connection ? m_connection->bufferedBytes() : 0;
}

void HttpServerExchange::onClientLeft(std::function<void()> callback)
{
    if (m_connection)
        m_onClientLeft = std::move(callback);
}

void HttpServerExchange::onDrained(std::function<void()> callback)
{
    if (m_connection)
        m_onDrained = std::move(callback);
}

void HttpServerExchange::connectionClosed(bool notify)
{
    if (!m_connection)
        return;
    const std::function<void()> callback = std::move(m_onClientLeft);
    detach();
    if (notify && callback)
        callback();
}

void HttpServerExchange::outputDrained()
{
    // A copy, because the callback may end the stream, which clears the member.
    const std::function<void()> callback = m_onDrained;
    if (callback)
        callback();
}

} // namespace lacewing
