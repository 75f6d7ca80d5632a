#include "reach/observed_http_client.h"

#include <utility>

namespace lacewing::reach {

namespace {

/// Ends the record of the exchange with the call.
class ObservedCall : public HttpClientCall {
public:
    ObservedCall(ReachEvidence& evidence, const Clock& clock, ExchangeNumber exchange,
        std::unique_ptr<HttpClientCall> call)
        : m_evidence(evidence)
        , m_clock(clock)
        , m_exchange(exchange)
        , m_call(std::move(call))
    {
    }
    ~ObservedCall() override { m_evidence.ended(m_exchange); }
    ObservedCall(const ObservedCall&) = delete;
    ObservedCall& operator=(const ObservedCall&) = delete;

    void cancel() override { m_call->cancel(); }
    void pauseReading() override
    {
        m_evidence.setPaused(m_exchange, true, m_clock.now());
        m_call->pauseReading();
    }
    void resumeReading() override
    {
        m_evidence.setPaused(m_exchange, false, m_clock.now());
        m_call->resumeReading();
    }
    bool isOnReusedConnection() const override { return m_call->isOnReusedConnection(); }
    bool isIdRepeated() const override { return m_call->isIdRepeated(); }

private:
    ReachEvidence& m_evidence;
    const Clock& m_clock;
    ExchangeNumber m_exchange;
    std::unique_ptr<HttpClientCall> m_call;
};

bool hasFailedToConnect(const HttpClientResult& result)
{
    return result.error == HttpClientError::ConnectFailed
        || result.error == HttpClientError::ConnectionRefused;
}

} // namespace

ObservedHttpClient::ObservedHttpClient(HttpClient& client, ReachEvidence& evidence, const Clock& clock)
    : m_client(client)
    , m_evidence(evidence)
    , m_clock(clock)
{
}

std::unique_ptr<HttpClientCall> ObservedHttpClient::send(
    HttpClientRequest request, HttpClientHandlers handlers)
{
    const SocketAddress server = request.server;
    const ExchangeNumber exchange = m_evidence.began(server, m_clock.now());
    HttpClientHandlers observed;
    observed.onHeaders = [this, exchange, onHeaders = std::move(handlers.onHeaders)](
                             int status, const HttpHeaders& headers) {
        m_evidence.heard(exchange, m_clock.now());
        if (onHeaders)
            onHeaders(status, headers);
    };
    observed.onBody = [this, exchange, onBody = std::move(handlers.onBody)](std::string_view bytes) {
        m_evidence.heard(exchange, m_clock.now());
        if (onBody)
            onBody(bytes);
    };
    observed.onDone
        = [this, exchange, server, onDone = std::move(handlers.onDone)](const HttpClientResult& result) {
              m_evidence.ended(exchange);
              if (hasFailedToConnect(result))
                  m_evidence.connectFailed(server, m_clock.now());
              if (onDone)
                  onDone(result);
          };
    auto call = m_client.send(std::move(request), std::move(observed));
    return std::make_unique<ObservedCall>(m_evidence, m_clock, exchange, std::move(call));
}

} // namespace lacewing::reach
