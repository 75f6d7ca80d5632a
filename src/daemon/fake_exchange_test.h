#pragma once

#include "transport/http_server.h"

#include <string>

namespace lacewing {

/// HTTP exchange without a connection that records the response.
class FakeExchange : public HttpExchange {
public:
    FakeExchange(std::string method, std::string path, HttpHeaders headers, std::string body)
        : m_method(std::move(method))
        , m_path(std::move(path))
        , m_headers(std::move(headers))
        , m_body(std::move(body))
    {
    }

    const std::string& method() const override { return m_method; }
    const std::string& path() const override { return m_path; }
    const std::string& query() const override { return m_query; }
    const HttpHeaders& headers() const override { return m_headers; }
    const std::string& body() const override { return m_body; }
    const std::string& remoteIp() const override { return m_remoteIp; }

    void reply(int status, const HttpHeaders& headers, std::string_view body) override
    {
        responseStatus = status;
        responseHeaders = headers;
        responseBody = body;
        isEnded = true;
    }
    void startStream(int status, const HttpHeaders& headers, StreamEnd end) override
    {
        streamEnd = end;
        responseStatus = status;
        responseHeaders = headers;
    }
    void sendChunk(std::string_view bytes) override { responseBody += bytes; }
    void endStream() override { isEnded = true; }
    void abort() override
    {
        isEnded = true;
        isAborted = true;
    }
    size_t bufferedBytes() const override { return buffered; }
    bool isOpen() const override { return !isEnded; }
    void onClientLeft(std::function<void()> callback) override { clientLeft = std::move(callback); }
    void onDrained(std::function<void()> callback) override { drained = std::move(callback); }

    void setQuery(std::string query) { m_query = std::move(query); }

    int responseStatus = 0;
    HttpHeaders responseHeaders;
    std::string responseBody;
    /// How the end of a streamed response is marked; nothing for one that was sent whole.
    std::optional<StreamEnd> streamEnd;
    bool isEnded = false;
    /// Whether the exchange was ended without a complete response.
    bool isAborted = false;
    size_t buffered = 0;
    std::function<void()> clientLeft;
    std::function<void()> drained;

private:
    std::string m_method;
    std::string m_path;
    std::string m_query;
    HttpHeaders m_headers;
    std::string m_body;
    std::string m_remoteIp = "127.0.0.1";
};

} // namespace lacewing
