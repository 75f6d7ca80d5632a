#include "transport/http_server_connection.h"

#include "transport/http_format.h"
#include "transport/http_server_exchange.h"
#include "transport/socket_address.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdio>

namespace lacewing {

namespace {

constexpr int statusRequestTimeout = 408;
constexpr int statusTooLarge = 413;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;

// libevent reads at most this much at once; room for it lets a head of the maximum size be found too large.
constexpr size_t readAheadBytes = 16 * 1024;

// Closing while bytes of the client are unread resets the connection, which may destroy the answer before the
// client has read it. So the server first stops sending and reads on for this long.
constexpr Duration lingerTime = std::chrono::seconds(2);

timeval toTimeval(Duration duration)
{
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    constexpr int64_t microsecondsPerSecond = 1000000;
    return { microseconds / microsecondsPerSecond, microseconds % microsecondsPerSecond };
}

bool hasBody(int status)
{
    return status != statusNoContent && status != statusNotModified;
}

} // namespace

HttpServerConnection::HttpServerConnection(
    HttpServerContext& context, int socket, std::string remoteIp, ClosedCallback closed)
    : m_context(context)
    , m_remoteIp(std::move(remoteIp))
    , m_closed(std::move(closed))
    , m_stream(bufferevent_socket_new(context.loop.base(), socket, BEV_OPT_CLOSE_ON_FREE))
    , m_parser(HttpParser::Kind::Request, context.options.maximumHeaderBytes)
{
    disableDelay(socket);
    bufferevent_setcb(m_stream, onReadable, onWritten, onEvent, this);
    bufferevent_setwatermark(m_stream, EV_READ, 0, context.options.maximumHeaderBytes + readAheadBytes);
    setReadTimeout(context.options.readTimeout);
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
}

HttpServerConnection::~HttpServerConnection()
{
    if (const auto exchange = m_exchange.lock())
        exchange->connectionClosed(false);
    if (m_stream)
        bufferevent_free(m_stream);
}

void HttpServerConnection::onReadable(bufferevent*, void* self)
{
    static_cast<HttpServerConnection*>(self)->processInput();
}

void HttpServerConnection::onWritten(bufferevent*, void* self)
{
    static_cast<HttpServerConnection*>(self)->handleWritten();
}

void HttpServerConnection::onEvent(bufferevent*, short events, void* self)
{
    static_cast<HttpServerConnection*>(self)->handleEvent(events);
}

void HttpServerConnection::setReadTimeout(Duration timeout)
{
    const timeval read = toTimeval(timeout);
    const timeval write = toTimeval(m_context.options.writeTimeout);
    bufferevent_set_timeouts(m_stream, timeout > Duration::zero() ? &read : nullptr, &write);
}

void HttpServerConnection::processInput()
{
    if (m_phase == Phase::Lingering || m_phase == Phase::Flushing) {
        evbuffer* input = bufferevent_get_input(m_stream);
        evbuffer_drain(input, evbuffer_get_length(input));
        if (m_phase == Phase::Lingering && m_context.loop.now() > m_lingerEnd)
            close();
        return;
    }
    m_isProcessing = true;
    while (m_phase == Phase::Reading) {
        const HttpParser::Result result = m_parser.parse(bufferevent_get_input(m_stream), m_body);
        if (result == HttpParser::Result::Failed) {
            reject(m_parser.fault());
            break;
        }
        if (result == HttpParser::Result::HeadDone && !acceptHead())
            break;
        if (m_body.size() > m_context.options.maximumBodyBytes) {
            reject({ statusTooLarge, "body_too_large" });
            break;
        }
        if (result == HttpParser::Result::MessageDone)
            dispatch();
        if (result == HttpParser::Result::NeedMore)
            break;
    }
    m_isProcessing = false;
    const bool wasPartial
        = std::exchange(m_headIsPartial, m_phase == Phase::Reading && m_parser.isInsideHead());
    if (!m_headIsPartial)
        return;
    const MonotonicTime now = m_context.loop.now();
    if (!wasPartial)
        m_headStarted = now;
    // Bounds a client that keeps the read timeout from passing by sending a head byte by byte.
    if (now - m_headStarted > m_context.options.readTimeout)
        handleReadTimeout();
}

bool HttpServerConnection::acceptHead()
{
    const HttpHead& head = m_parser.head();
    if (head.contentLength.value_or(0) > m_context.options.maximumBodyBytes) {
        reject({ statusTooLarge, "body_too_large" });
        return false;
    }
    const bool hasRequestBody = head.chunked || head.contentLength.value_or(0) > 0;
    if (head.expectsContinue && hasRequestBody && evbuffer_get_length(bufferevent_get_input(m_stream)) == 0)
        write("HTTP/1.1 100 Continue\r\n\r\n");
    return true;
}

void HttpServerConnection::dispatch()
{
    m_phase = Phase::Answering;
    setReadTimeout(Duration::zero());
    HttpHead head = m_parser.takeHead();
    m_isHeadRequest = head.method == "HEAD";
    m_chunked = head.minorVersion > 0;
    m_closeAfterAnswer = head.closes;
    auto exchange = std::make_shared<HttpServerExchange>(
        m_context, *this, std::move(head), std::exchange(m_body, std::string()));
    m_exchange = exchange;
    m_parser.reset();
    m_context.handler(std::move(exchange));
}

void HttpServerConnection::reject(HttpFault fault)
{
    m_isHeadRequest = false;
    m_closeAfterAnswer = true;
    const std::string body = std::string(R"({"error":{"code":")") + fault.reason
        + R"(","message":"the server refused the request before it was read whole","outcome":"refused_not_run"}})";
    sendWhole(fault.status,
        { { "Content-Type", "application/json" }, { "Lacewing-Outcome", "refused_not_run" } }, body);
    if (m_context.observer)
        m_context.observer(fault.reason);
}

void HttpServerConnection::write(std::string_view bytes)
{
    bufferevent_write(m_stream, bytes.data(), bytes.size());
}

std::string HttpServerConnection::answerHead(int status, const HttpHeaders& headers)
{
    m_closeAfterAnswer = m_closeAfterAnswer || m_context.draining;
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
    appendFields(head, headers, { "Content-Length", "Transfer-Encoding", "Connection" });
    if (m_closeAfterAnswer)
        head += "Connection: close\r\n";
    return head;
}

void HttpServerConnection::sendWhole(int status, const HttpHeaders& headers, std::string_view body)
{
    std::string answer = answerHead(status, headers);
    if (hasBody(status))
        answer += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    answer += "\r\n";
    if (hasBody(status) && !m_isHeadRequest)
        answer += body;
    write(answer);
    finishAnswer();
}

void HttpServerConnection::sendHead(int status, const HttpHeaders& headers)
{
    std::string answer = answerHead(status, headers);
    if (!hasBody(status))
        m_isHeadRequest = true;
    else if (m_chunked)
        answer += "Transfer-Encoding: chunked\r\n";
    answer += "\r\n";
    write(answer);
}

void HttpServerConnection::sendPiece(std::string_view bytes)
{
    if (m_isHeadRequest)
        return;
    if (!m_chunked) {
        write(bytes);
        return;
    }
    char size[2 * sizeof(size_t) + 3];
    const int length = std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    write(std::string_view(size, static_cast<size_t>(length)));
    write(bytes);
    write("\r\n");
}

void HttpServerConnection::sendEnd()
{
    if (m_chunked && !m_isHeadRequest)
        write("0\r\n\r\n");
    finishAnswer();
}

void HttpServerConnection::finishAnswer()
{
    m_exchange.reset();
    if (m_closeAfterAnswer) {
        m_phase = Phase::Flushing;
        setReadTimeout(Duration::zero());
        if (bufferedBytes() == 0)
            startLingering();
        return;
    }
    m_phase = Phase::Reading;
    setReadTimeout(m_context.options.readTimeout);
    // The next request must not reach the handler inside a call that it makes for this one.
    if (!m_isProcessing && evbuffer_get_length(bufferevent_get_input(m_stream)) > 0)
        bufferevent_trigger(m_stream, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void HttpServerConnection::abort()
{
    m_exchange.reset();
    if (!m_chunked) {
        // Without chunks the end of the connection is the end of the answer, so only a reset shows the cut.
        const linger reset { 1, 0 };
        setsockopt(bufferevent_getfd(m_stream), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    close();
}

size_t HttpServerConnection::bufferedBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(m_stream));
}

void HttpServerConnection::handleWritten()
{
    if (bufferedBytes() > 0)
        return;
    if (m_phase == Phase::Flushing) {
        startLingering();
        return;
    }
    if (m_phase == Phase::Reading && m_context.draining) {
        closeIfIdle();
        return;
    }
    if (const auto exchange = m_exchange.lock())
        exchange->outputDrained();
}

void HttpServerConnection::startLingering()
{
    if (m_clientSentAll) {
        close();
        return;
    }
    m_phase = Phase::Lingering;
    m_lingerEnd = m_context.loop.now() + lingerTime;
    shutdown(bufferevent_getfd(m_stream), SHUT_WR);
    setReadTimeout(std::min(lingerTime, m_context.options.readTimeout));
    processInput();
}

void HttpServerConnection::handleReadTimeout()
{
    if (m_phase == Phase::Reading && !m_parser.isBeforeMessage())
        reject({ statusRequestTimeout, "request_timeout" });
    else
        close();
}

void HttpServerConnection::handleEvent(short events)
{
    if ((events & BEV_EVENT_TIMEOUT) != 0 && (events & BEV_EVENT_READING) != 0) {
        // A timeout that was due before the request was complete says nothing about the client.
        if (m_phase != Phase::Answering && m_phase != Phase::Flushing)
            handleReadTimeout();
        // libevent stops reading after a timeout.
        if (m_phase != Phase::Closed)
            bufferevent_enable(m_stream, EV_READ);
        return;
    }
    // The client may stop sending as soon as it has the end of its request.
    const bool hasAnswerToFlush
        = (m_phase == Phase::Flushing || m_phase == Phase::Reading) && bufferedBytes() > 0;
    if ((events & BEV_EVENT_EOF) != 0 && hasAnswerToFlush) {
        m_clientSentAll = true;
        m_phase = Phase::Flushing;
        return;
    }
    close();
}

bool HttpServerConnection::isIdle() const
{
    if (m_phase != Phase::Reading || !m_parser.isBeforeMessage() || bufferedBytes() > 0)
        return false;
    char byte = 0;
    // A request that has arrived but not been read yet must be answered.
    return evbuffer_get_length(bufferevent_get_input(m_stream)) == 0
        && recv(bufferevent_getfd(m_stream), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

void HttpServerConnection::closeIfIdle()
{
    if (isIdle())
        close();
}

void HttpServerConnection::close()
{
    if (m_phase == Phase::Closed)
        return;
    m_phase = Phase::Closed;
    bufferevent_free(m_stream);
    m_stream = nullptr;
    const auto exchange = m_exchange.lock();
    m_exchange.reset();
    m_closed(this);
    if (exchange)
        exchange->connectionClosed(true);
}

} // namespace lacewing
