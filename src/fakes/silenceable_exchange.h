#pragma once

#include "fakes/held_exchanges.h"
#include "transport/http_server.h"

#include <memory>
#include <utility>

namespace lacewing {

/// An exchange on a connection that may go silent. From then on all output is discarded, and the connection
/// stays open until the client closes it.
class SilenceableExchange : public HttpExchange {
public:
    /// @param silent tells whether the connection is silent now.
    /// @param held keeps the exchange once its handler has finished; must outlive the server.
    SilenceableExchange(
        std::shared_ptr<HttpExchange> exchange, std::shared_ptr<const bool> silent, HeldExchanges& held)
        : m_exchange(std::move(exchange))
        , m_silent(std::move(silent))
        , m_held(held)
    {
    }

    /// An exchange that is destroyed without an answer is answered by the server, so a silent one is kept.
    ~SilenceableExchange() override
    {
        if (m_exchange->isOpen() && *m_silent)
            m_held.hold(m_exchange);
    }

    const std::string& method() const override { return m_exchange->method(); }
    const std::string& path() const override { return m_exchange->path(); }
    const std::string& query() const override { return m_exchange->query(); }
    const HttpHeaders& headers() const override { return m_exchange->headers(); }
    const std::string& body() const override { return m_exchange->body(); }
    const std::string& remoteIp() const override { return m_exchange->remoteIp(); }

    void reply(int status, const HttpHeaders& headers, std::string_view body) override
    {
        if (!*m_silent)
            m_exchange->reply(status, headers, body);
    }
    void startStream(int status, const HttpHeaders& headers, StreamEnd end) override
    {
        if (!*m_silent)
            m_exchange->startStream(status, headers, end);
    }
    void sendChunk(std::string_view bytes) override
    {
        if (!*m_silent)
            m_exchange->sendChunk(bytes);
    }
    void endStream() override
    {
        if (!*m_silent)
            m_exchange->endStream();
    }
    void abort() override
    {
        if (!*m_silent)
            m_exchange->abort();
    }
    size_t bufferedBytes() const override { return m_exchange->bufferedBytes(); }
    bool isOpen() const override { return m_exchange->isOpen(); }
    void onClientLeft(std::function<void()> callback) override
    {
        m_exchange->onClientLeft(std::move(callback));
    }
    void onDrained(std::function<void()> callback) override { m_exchange->onDrained(std::move(callback)); }

private:
    std::shared_ptr<HttpExchange> m_exchange;
    std::shared_ptr<const bool> m_silent;
    HeldExchanges& m_held;
};

} // namespace lacewing
