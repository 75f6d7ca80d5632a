#pragma once

#include "transport/http_body.h"
#include "transport/http_server.h"

namespace lacewing {

class HttpServerConnection;
struct HttpServerContext;

/// What a request says before its body.
struct HttpRequestHead {
    std::string method;
    std::string path;
    /// Raw query without the question mark.
    std::string query;
    HttpHeaders headers;
};

/// A request and its answer on a connection of this server. A request that is dropped without an answer gets
/// 500, or a cut-off answer if that had started.
class HttpServerExchange : public HttpExchange, public std::enable_shared_from_this<HttpServerExchange> {
public:
    HttpServerExchange(HttpServerContext& context, HttpServerConnection& connection, HttpRequestHead head,
        std::shared_ptr<HttpBody> body);
    ~HttpServerExchange() override;

    const std::string& method() const override { return m_head.method; }
    const std::string& path() const override { return m_head.path; }
    const std::string& query() const override { return m_head.query; }
    const HttpHeaders& headers() const override { return m_head.headers; }
    const std::string& body() const override { return m_body->bytes(); }
    std::shared_ptr<const std::string> sharedBody() const override { return HttpBody::share(m_body); }
    const std::string& remoteIp() const override { return m_remoteIp; }

    void reply(int status, const HttpHeaders& headers, std::string_view body) override;
    void startStream(int status, const HttpHeaders& headers, StreamEnd end) override;
    void sendChunk(std::string_view bytes) override;
    void endStream() override;
    void abort() override;

    size_t bufferedBytes() const override;
    bool isOpen() const override { return m_connection != nullptr; }
    void onClientLeft(std::function<void()> callback) override;
    void onDrained(std::function<void()> callback) override;

    /// Detaches the exchange from its connection, which is closing.
    ///
    /// @param notify whether to call the client-left callback.
    void connectionClosed(bool notify);
    /// Tells that the connection's output buffer has run empty.
    void outputDrained();

private:
    HttpServerConnection* detach();

    HttpServerContext* m_context;
    HttpServerConnection* m_connection;
    HttpRequestHead m_head;
    std::shared_ptr<HttpBody> m_body;
    std::string m_remoteIp;
    bool m_isStreaming = false;
    std::function<void()> m_onClientLeft;
    std::function<void()> m_onDrained;
};

} // namespace lacewing
