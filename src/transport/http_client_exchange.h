#pragma once

#include "transport/http_client.h"

#include <string>
#include <vector>

namespace lacewing {

class HttpClientConnection;

/// State of one request, shared by the caller's handle and the connection. It ends exactly once: by finish(),
/// or by abandon() when the handle is destroyed.
class HttpClientExchange {
public:
    HttpClientExchange(HttpClientRequest request, HttpClientHandlers handlers)
        : request(std::move(request))
        , m_handlers(std::move(handlers))
    {
    }

    HttpClientRequest request;
    /// Null before the first and after the last use of the connection.
    HttpClientConnection* connection = nullptr;
    bool requestSent = false;
    bool isPaused = false;
    /// Whether the connection has carried a request before this one.
    bool isOnReusedConnection = false;
    bool hasFieldsOutsideHead = false;
    int droppedAnswers = 0;
    /// The ids that the request bears; empty if it has none.
    std::vector<std::string> ids;
    /// Whether an idle connection to the server had carried one of them.
    bool isIdRepeated = false;

    bool isEnded() const { return m_isEnded; }
    void deliverHeaders(int status, const HttpHeaders& headers)
    {
        m_status = status;
        if (!m_isEnded && m_handlers.onHeaders)
            m_handlers.onHeaders(status, headers);
    }
    void deliverBody(std::string_view bytes)
    {
        if (!m_isEnded && m_handlers.onBody)
            m_handlers.onBody(bytes);
    }
    /// Calls onDone unless the exchange has ended.
    void finish(std::optional<HttpClientError> error)
    {
        if (!m_isEnded && !std::exchange(m_isEnded, true) && m_handlers.onDone)
            m_handlers.onDone({ error, requestSent, m_status, hasFieldsOutsideHead, droppedAnswers });
    }
    /// Suppresses all further callbacks.
    void abandon() { m_isEnded = true; }

private:
    // Kept until the exchange is destroyed, because a handler may end the exchange while it runs.
    HttpClientHandlers m_handlers;
    bool m_isEnded = false;
    int m_status = 0;
};

} // namespace lacewing
