#include "transport/http_server_connection.h"

#include "transport/socket_address.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <evhtp/evhtp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdio>

namespace lacewing {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusRequestTimeout = 408;
constexpr int statusUnavailable = 503;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;

// libevent reads at most this much at once; room for it lets a head of the maximum size be found too large.
constexpr size_t readAheadBytes = 16 * 1024;

// Closing while bytes of the client are unread resets the connection, which may destroy the answer before the
// client has read it. So the server first stops sending and reads on for this long.
constexpr Duration lingerTime = std::chrono::seconds(2);

constexpr Duration deliveryCheckInterval = std::chrono::milliseconds(10);

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

/// @return seconds after which a client may come back; clients that are refused together get different ones.
std::string retryAfter(MonotonicTime now)
{
    constexpr int64_t shortestMilliseconds = 1000;
    constexpr int64_t spreadMilliseconds = 500;
    const auto microseconds
        = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count();
    const int64_t delay = shortestMilliseconds + microseconds % spreadMilliseconds;
    char text[16];
    std::snprintf(text, sizeof(text), "%.3f", static_cast<double>(delay) / 1000);
    return text;
}

/// Adds bytes to a buffer in parts, whose memory is returned as the socket takes them one after the other.
void addInParts(evbuffer* buffer, std::string_view bytes)
{
    constexpr size_t partBytes = 64 * 1024;
    for (size_t offset = 0; offset < bytes.size(); offset += partBytes) {
        const std::string_view part = bytes.substr(offset, partBytes);
        evbuffer_add(buffer, part.data(), part.size());
    }
}

void addField(evhtp_request* request, const std::string& name, const std::string& value)
{
    evhtp_headers_add_header(request->headers_out, evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
}

} // namespace

HttpServerConnection::HttpServerConnection(
    HttpServerContext& context, evhtp_connection* connection, ClosedCallback closed)
    : m_context(context)
    , m_connection(connection)
    , m_stream(evhtp_connection_get_bev(connection))
    , m_remoteIp(fromSystemAddress(connection->saddr).ip)
    , m_closed(std::move(closed))
    , m_check(context.options.maximumHeaderBytes)
    , m_buffered(context.options.memory)
{
    void* argument = nullptr;
    bufferevent_getcb(m_stream, &m_parse, &m_finishRequest, nullptr, &argument);
    disableDelay(bufferevent_getfd(m_stream));
    evutil_make_socket_closeonexec(bufferevent_getfd(m_stream));
    setHooks();
    countBuffers();
    takeOver();
    bufferevent_setwatermark(m_stream, EV_READ, 0, context.options.maximumHeaderBytes + readAheadBytes);
    setReadTimeout(context.options.readTimeout);
}

HttpServerConnection::~HttpServerConnection()
{
    if (const auto exchange = m_exchange.lock())
        exchange->connectionClosed(false);
    release();
}

void HttpServerConnection::release()
{
    m_phase = Phase::Closed;
    m_context.loop.cancel(std::exchange(m_deliveryTimer, 0));
    m_buffered.set(0);
    if (m_connection)
        evhtp_connection_free(m_connection);
    else if (m_stream)
        bufferevent_free(m_stream);
    m_connection = nullptr;
    m_stream = nullptr;
}

void HttpServerConnection::countBuffers()
{
    evbuffer_add_cb(bufferevent_get_input(m_stream), onInputChange, this);
    evbuffer_add_cb(bufferevent_get_output(m_stream), onOutputChange, this);
}

void HttpServerConnection::onInputChange(evbuffer*, const evbuffer_cb_info* info, void* self)
{
    MemoryCharge& buffered = static_cast<HttpServerConnection*>(self)->m_buffered;
    buffered.set(buffered.bytes() + info->n_added - info->n_deleted);
}

void HttpServerConnection::onOutputChange(evbuffer* buffer, const evbuffer_cb_info* info, void* self)
{
    onInputChange(buffer, info, self);
    auto& connection = *static_cast<HttpServerConnection*>(self);
    if (info->n_deleted > 0 || info->orig_size == 0)
        connection.m_lastTaken = connection.m_context.loop.now();
}

bool HttpServerConnection::isStalled(Duration stall) const
{
    return m_phase != Phase::Closed && bufferedBytes() > 0 && m_context.loop.now() - m_lastTaken >= stall;
}

bool HttpServerConnection::hasMemoryFor(size_t bytes) const
{
    const MemoryAccount* memory = m_context.options.memory;
    if (!memory)
        return true;
    const auto limit
        = static_cast<size_t>(m_context.options.bodyShare * static_cast<double>(memory->limit()));
    return memory->held() + bytes <= limit;
}

void HttpServerConnection::takeOver()
{
    bufferevent_setcb(m_stream, onReadable, onWritten, onEvent, this);
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
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
    if (m_phase != Phase::Reading)
        return;
    readRequest();
    checkHeadTime();
}

void HttpServerConnection::readRequest()
{
    if (m_part == Part::Head) {
        const HttpHeadCheck::Result result = m_check.check(bufferevent_get_input(m_stream));
        if (result == HttpHeadCheck::Result::Failed)
            reject(m_check.fault());
        if (result != HttpHeadCheck::Result::Done)
            return;
        m_part = Part::Body;
    }
    if (m_part == Part::Body)
        runParser();
    if (m_phase == Phase::Reading && m_part == Part::Trailer)
        finishTrailer();
    if (m_phase == Phase::Reading && m_part == Part::Complete)
        dispatch();
}

bool HttpServerConnection::checkChunks(size_t offset)
{
    evbuffer* input = bufferevent_get_input(m_stream);
    std::string_view bytes(
        reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), evbuffer_get_length(input));
    bytes.remove_prefix(offset);
    return m_chunkCheck->check(bytes) != HttpChunkCheck::Result::Failed;
}

// The parser consumes all of the input in each round, up to the trailer.
void HttpServerConnection::runParser()
{
    if (m_chunkCheck && !checkChunks(0)) {
        reject(m_chunkCheck->fault());
        return;
    }
    m_parse(m_stream, m_connection);
    if (m_phase != Phase::Reading) {
        reportRejection(m_fault);
        return;
    }
    // The parser skips only spaces before the coding, and takes any other value for a request without a body.
    if (m_part == Part::Complete && m_chunkCheck) {
        reject({ statusBadRequest, "unsupported_transfer_encoding" });
        return;
    }
    // Pausing the parser at the end of the request has stopped reading too.
    bufferevent_enable(m_stream, EV_READ);
}

void HttpServerConnection::finishTrailer()
{
    evbuffer* input = bufferevent_get_input(m_stream);
    const HttpHeadCheck::Result result = m_check.check(input);
    if (result == HttpHeadCheck::Result::Failed)
        reject(m_check.fault());
    if (result != HttpHeadCheck::Result::Done)
        return;
    evbuffer_drain(input, m_check.length());
    m_part = Part::Complete;
}

// Bounds a client that keeps the read timeout from passing by sending a head byte by byte.
void HttpServerConnection::checkHeadTime()
{
    const bool isPartial = m_phase == Phase::Reading && m_part == Part::Head && m_check.hasStarted();
    const bool wasPartial = std::exchange(m_headIsPartial, isPartial);
    if (!isPartial) {
        if (wasPartial && m_phase == Phase::Reading)
            setReadTimeout(m_context.options.readTimeout);
        return;
    }
    const MonotonicTime now = m_context.loop.now();
    if (!wasPartial)
        m_headStarted = now;
    const Duration limit = std::min(m_context.options.headTimeout, m_context.options.readTimeout);
    const Duration left = m_headStarted + limit - now;
    if (left <= Duration::zero())
        handleReadTimeout();
    else
        // A client that stops in the middle of a head must not wait for the longer timeout of idle
        // connections.
        setReadTimeout(left);
}

void HttpServerConnection::dispatch()
{
    m_phase = Phase::Answering;
    setReadTimeout(Duration::zero());
    auto exchange = std::make_shared<HttpServerExchange>(
        m_context, *this, std::exchange(m_head, HttpRequestHead()), std::exchange(m_body, nullptr));
    m_exchange = exchange;
    m_context.handler(std::move(exchange));
}

void HttpServerConnection::reject(HttpFault fault)
{
    sendRejection(fault);
    reportRejection(fault);
}

void HttpServerConnection::sendRejection(HttpFault fault)
{
    m_fault = fault;
    m_phase = Phase::Flushing;
    m_closeAfterAnswer = true;
    setReadTimeout(Duration::zero());
    if (!m_connection->request) {
        m_connection->request = evhtp_request_new(nullptr, nullptr);
        m_connection->request->conn = m_connection;
    }
    // The request may not have been parsed as far as its version.
    m_connection->request->proto = EVHTP_PROTO_11;
    htparser_set_major(m_connection->parser, 1);
    htparser_set_minor(m_connection->parser, 1);
    HttpHeaders headers { { "Content-Type", "application/json" }, { "Lacewing-Outcome", "refused_not_run" } };
    if (fault.status == statusUnavailable)
        headers.add("Retry-After", retryAfter(m_context.loop.now()));
    evhtp_request* request = prepareAnswer(headers);
    const std::string body = std::string(R"({"error":{"code":")") + fault.reason
        + R"(","message":"the server refused the request before it was read whole","outcome":"refused_not_run"}})";
    evbuffer_add(request->buffer_out, body.data(), body.size());
    evhtp_send_reply(request, static_cast<evhtp_res>(fault.status));
}

void HttpServerConnection::reportRejection(HttpFault fault)
{
    if (m_context.observer)
        m_context.observer(fault.reason);
}

evhtp_request* HttpServerConnection::prepareAnswer(const HttpHeaders& headers)
{
    m_closeAfterAnswer = m_closeAfterAnswer || m_context.draining;
    evhtp_request* request = m_connection->request;
    // evhtp_request_set_keepalive(request, 0) does not clear the flag in libevhtp 1.2.18.
    if (m_closeAfterAnswer)
        evhtp_request_disable_flag(request, EVHTP_REQ_FLAG_KEEPALIVE);
    for (const auto& [name, value] : headers) {
        const bool isFraming = equalsIgnoringCase(name, "Content-Length")
            || equalsIgnoringCase(name, "Transfer-Encoding") || equalsIgnoringCase(name, "Connection");
        if (!isFraming)
            addField(request, cleanField(name), cleanField(value));
    }
    return request;
}

void HttpServerConnection::sendWhole(int status, const HttpHeaders& headers, std::string_view body)
{
    evhtp_request* request = prepareAnswer(headers);
    if (!hasBody(status)) {
        // Otherwise libevhtp adds "Content-Length: 0", which these answers must not have.
        evhtp_request_enable_flag(request, EVHTP_REQ_FLAG_CHUNKED);
    } else if (m_isHeadRequest)
        addField(request, "Content-Length", std::to_string(body.size()));
    else
        addInParts(request->buffer_out, body);
    evhtp_send_reply(request, static_cast<evhtp_res>(status));
    finishAnswer();
}

void HttpServerConnection::sendHead(int status, const HttpHeaders& headers, StreamEnd end)
{
    const bool isHttp10 = !m_chunked;
    if (end == StreamEnd::ConnectionClose) {
        m_chunked = false;
        m_closeAfterAnswer = true;
    }
    evhtp_request* request = prepareAnswer(headers);
    const auto code = static_cast<evhtp_res>(status);
    if (hasBody(status) && m_chunked && !m_isHeadRequest) {
        evhtp_send_reply_chunk_start(request, code);
        return;
    }
    if (hasBody(status) && m_chunked)
        addField(request, "Transfer-Encoding", "chunked");
    // Without chunks the end of the connection is the end of the body; the flag only keeps libevhtp from
    // adding "Content-Length: 0" to an answer in HTTP/1.1.
    if (!hasBody(status) || !isHttp10)
        evhtp_request_enable_flag(request, EVHTP_REQ_FLAG_CHUNKED);
    if (!hasBody(status))
        m_isHeadRequest = true;
    // From now on, since the kernel closes the connection if the process ends inside the answer.
    if (!m_chunked && !m_isHeadRequest)
        setResetOnClose(true);
    evhtp_send_reply_start(request, code);
}

void HttpServerConnection::sendPiece(std::string_view bytes)
{
    if (m_isHeadRequest)
        return;
    evhtp_request* request = m_connection->request;
    addInParts(request->buffer_out, bytes);
    if (m_chunked)
        evhtp_send_reply_chunk(request, request->buffer_out);
    else
        evhtp_send_reply_body(request, request->buffer_out);
}

void HttpServerConnection::sendEnd()
{
    if (m_chunked && !m_isHeadRequest)
        evhtp_send_reply_chunk_end(m_connection->request);
    else
        evhtp_send_reply_end(m_connection->request);
    finishAnswer();
}

void HttpServerConnection::finishAnswer()
{
    m_exchange.reset();
    m_phase = m_closeAfterAnswer ? Phase::Flushing : Phase::Answered;
    // The next request must not reach the handler inside a call that it makes for this one.
    if (bufferedBytes() == 0)
        bufferevent_trigger(m_stream, EV_WRITE, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void HttpServerConnection::startNextRequest()
{
    evhtp_connection_disable_flag(m_connection, EVHTP_CONN_FLAG_PAUSED);
    m_finishRequest(m_stream, m_connection);
    m_phase = Phase::Reading;
    m_part = Part::Head;
    m_chunkCheck.reset();
    m_check.reset(HttpHeadCheck::Section::Head);
    setReadTimeout(m_context.options.readTimeout);
    if (evbuffer_get_length(bufferevent_get_input(m_stream)) > 0)
        processInput();
    else if (m_context.draining)
        closeIfIdle();
}

// What was handed over before is still sent, so that a stream is not cut off inside one of its pieces.
void HttpServerConnection::abort()
{
    m_isCutOff = true;
    m_closeAfterAnswer = true;
    finishAnswer();
}

void HttpServerConnection::answerFlushed()
{
    if (!m_isCutOff || !m_isResetOnClose) {
        startLingering();
        return;
    }
    // Otherwise each further write event would start another check.
    if (m_deliveryTimer != 0)
        return;
    m_undeliveredBytes = 0;
    m_deliveryProgress = m_context.loop.now();
    resetAfterDelivery();
}

void HttpServerConnection::resetAfterDelivery()
{
    const MonotonicTime now = m_context.loop.now();
    const size_t undelivered = unacknowledgedBytes(bufferevent_getfd(m_stream));
    if (undelivered != m_undeliveredBytes)
        m_deliveryProgress = now;
    m_undeliveredBytes = undelivered;
    const bool isStuck = now - m_deliveryProgress >= m_context.options.writeTimeout;
    if (undelivered == 0 || isStuck) {
        close();
        return;
    }
    m_deliveryTimer = m_context.loop.runAfter(deliveryCheckInterval, [this] {
        m_deliveryTimer = 0;
        resetAfterDelivery();
    });
}

void HttpServerConnection::setResetOnClose(bool isReset)
{
    m_isResetOnClose = isReset;
    const linger option { isReset ? 1 : 0, 0 };
    setsockopt(bufferevent_getfd(m_stream), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

size_t HttpServerConnection::bufferedBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(m_stream));
}

void HttpServerConnection::handleWritten()
{
    if (bufferedBytes() > 0)
        return;
    if (m_phase == Phase::Flushing)
        answerFlushed();
    else if (m_phase == Phase::Answered)
        startNextRequest();
    else if (m_phase == Phase::Reading && m_context.draining)
        closeIfIdle();
    else if (const auto exchange = m_exchange.lock())
        exchange->outputDrained();
}

void HttpServerConnection::startLingering()
{
    setResetOnClose(false);
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
    if (m_phase == Phase::Reading && (m_part != Part::Head || m_check.hasStarted()))
        reject({ statusRequestTimeout, "request_timeout" });
    else
        close();
}

void HttpServerConnection::handleEvent(short events)
{
    if ((events & BEV_EVENT_TIMEOUT) != 0 && (events & BEV_EVENT_READING) != 0) {
        // A timeout that was due before the request was complete says nothing about the client. Neither does
        // one while input waits: after a delay of this process both are due, and libevent reports only the
        // timeout.
        const bool isLate = m_phase == Phase::Reading && !hasUnreadInput(bufferevent_getfd(m_stream));
        if (isLate || m_phase == Phase::Lingering)
            handleReadTimeout();
        // libevent stops reading after a timeout.
        if (m_phase != Phase::Closed)
            bufferevent_enable(m_stream, EV_READ);
        return;
    }
    // The client may stop sending as soon as it has the end of its request.
    const bool hasAnswerToFlush
        = (m_phase == Phase::Flushing || m_phase == Phase::Answered) && bufferedBytes() > 0;
    if ((events & BEV_EVENT_EOF) != 0 && hasAnswerToFlush) {
        m_clientSentAll = true;
        m_phase = Phase::Flushing;
        return;
    }
    close();
}

bool HttpServerConnection::isIdle() const
{
    if (m_phase != Phase::Reading || m_part != Part::Head || m_check.hasStarted() || bufferedBytes() > 0)
        return false;
    // A request that has arrived but not been read yet must be answered.
    return evbuffer_get_length(bufferevent_get_input(m_stream)) == 0
        && !hasUnreadInput(bufferevent_getfd(m_stream));
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
    release();
    const auto exchange = m_exchange.lock();
    m_exchange.reset();
    m_closed(this);
    if (exchange)
        exchange->connectionClosed(true);
}

} // namespace lacewing
