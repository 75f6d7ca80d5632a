#include "daemon/response_writer.h"

namespace lacewing {

namespace {

constexpr int statusOk = 200;

HttpHeaders headersFor(const char* contentType, Outcome outcome)
{
    return { { "Content-Type", contentType }, { "Lacewing-Outcome", toString(outcome) } };
}

/// Streams a completion as server-sent events.
class StreamingCompletionWriter : public ResponseWriter {
public:
    StreamingCompletionWriter(std::shared_ptr<HttpExchange> exchange, AnswerIdentity identity)
        : m_exchange(std::move(exchange))
        , m_identity(std::move(identity))
    {
    }

    void write(std::string_view bytes) override
    {
        begin();
        m_exchange->sendChunk(formatTextEvent(m_identity, bytes));
    }

    void finish(const ResponseEnd& end) override
    {
        begin();
        m_exchange->sendChunk(formatFinishEvents(m_identity, end.finishReason, end.usage));
        m_exchange->endStream();
    }

    void fail(const RefusalAnswer& refusal) override
    {
        if (!m_hasStarted)
            return sendErrorResponse(*m_exchange, refusal);
        m_exchange->sendChunk(formatErrorEvent(refusal.code, refusal.message, refusal.outcome));
        m_exchange->endStream();
    }

    bool hasStarted() const override { return m_hasStarted; }
    const std::string& body() const override { return m_empty; }

private:
    void begin()
    {
        if (m_hasStarted)
            return;
        m_hasStarted = true;
        // The outcome is not known yet, so there is no Lacewing-Outcome header; the last event carries it.
        m_exchange->startStream(
            statusOk, { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-store" } });
    }

    std::shared_ptr<HttpExchange> m_exchange;
    AnswerIdentity m_identity;
    bool m_hasStarted = false;
    std::string m_empty;
};

/// Buffers a completion and sends it as one JSON response.
class BufferedCompletionWriter : public ResponseWriter {
public:
    BufferedCompletionWriter(std::shared_ptr<HttpExchange> exchange, AnswerIdentity identity)
        : m_exchange(std::move(exchange))
        , m_identity(std::move(identity))
    {
    }

    void write(std::string_view bytes) override { m_text += bytes; }

    void finish(const ResponseEnd& end) override
    {
        m_exchange->reply(statusOk, headersFor("application/json", Outcome::Answered),
            formatAnswer(m_identity, m_text, end.finishReason, end.usage));
    }

    void fail(const RefusalAnswer& refusal) override { sendErrorResponse(*m_exchange, refusal); }
    bool hasStarted() const override { return false; }
    const std::string& body() const override { return m_text; }

private:
    std::shared_ptr<HttpExchange> m_exchange;
    AnswerIdentity m_identity;
    std::string m_text;
};

/// Buffers the response of a plain service and sends it when it is complete.
class BufferedServiceWriter : public ResponseWriter {
public:
    explicit BufferedServiceWriter(std::shared_ptr<HttpExchange> exchange)
        : m_exchange(std::move(exchange))
    {
    }

    void write(std::string_view bytes) override { m_body += bytes; }

    void finish(const ResponseEnd& end) override
    {
        m_exchange->reply(end.status, headersFor(end.contentType.c_str(), Outcome::Answered), m_body);
    }

    void fail(const RefusalAnswer& refusal) override { sendErrorResponse(*m_exchange, refusal); }
    bool hasStarted() const override { return false; }
    const std::string& body() const override { return m_body; }

private:
    std::shared_ptr<HttpExchange> m_exchange;
    std::string m_body;
};

} // namespace

std::unique_ptr<ResponseWriter> ResponseWriter::create(
    std::shared_ptr<HttpExchange> exchange, const AdmittedRequest& request, const std::string& id)
{
    if (request.service)
        return std::make_unique<BufferedServiceWriter>(std::move(exchange));
    AnswerIdentity identity { id, request.completion->kind, request.adapter };
    if (request.completion->streaming)
        return std::make_unique<StreamingCompletionWriter>(std::move(exchange), std::move(identity));
    return std::make_unique<BufferedCompletionWriter>(std::move(exchange), std::move(identity));
}

void sendErrorResponse(HttpExchange& exchange, const RefusalAnswer& refusal)
{
    HttpHeaders headers = headersFor("application/json", refusal.outcome);
    if (refusal.retryAfter) {
        // Rounded up, because a caller that retries too early is rejected again.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter);
        headers.add("Retry-After", std::to_string(std::max<int64_t>(1, seconds.count())));
    }
    exchange.reply(refusal.status, headers, formatError(refusal.code, refusal.message, refusal.outcome));
}

} // namespace lacewing
