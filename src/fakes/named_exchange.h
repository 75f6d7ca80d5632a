#pragma once

#include "transport/http_server.h"

#include <memory>
#include <utility>

namespace lacewing {

/// An exchange whose answer names the call in Lacewing-Call-Id as the request does.
class NamedExchange : public HttpExchange {
public:
    explicit NamedExchange(std::shared_ptr<HttpExchange> exchange)
        : m_exchange(std::move(exchange))
    {
    }

    const std::string& method() const override { return m_exchange->method(); }
    const std::string& path() const override { return m_exchange->path(); }
    const std::string& query() const override { return m_exchange->query(); }
    const HttpHeaders& headers() const override { return m_exchange->headers(); }
    const std::string& body() const override { return m_exchange->body(); }
    const std::string& remoteIp() const override { return m_exchange->remoteIp(); }

    void reply(int status, const HttpHeaders& headers, std::string_view body) override
    {
        m_exchange->reply(status, named(headers), body);
    }
    void startStream(int status, const HttpHeaders& headers, StreamEnd end) override
    {
        m_exchange->startStream(status, named(headers), end);
    }
    void sendChunk(std::string_view bytes) override { m_exchange->sendChunk(bytes); }
    void endStream() override { m_exchange->endStream(); }
    void abort() override { m_exchange->abort(); }
    size_t bufferedBytes() const override { return m_exchange->bufferedBytes(); }
    bool isOpen() const override { return m_exchange->isOpen(); }
    void onClientLeft(std::function<void()> callback) override
    {
        m_exchange->onClientLeft(std::move(callback));
    }
    void onDrained(std::function<void()> callback) override { m_exchange->onDrained(std::move(callback)); }

private:
    HttpHeaders named(HttpHeaders headers) const
    {
        constexpr const char* field = "Lacewing-Call-Id";
        if (auto id = m_exchange->headers().find(field))
            headers.add(field, std::move(*id));
        return headers;
    }

    std::shared_ptr<HttpExchange> m_exchange;
};

} // namespace lacewing
