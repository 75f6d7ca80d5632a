#include "transport/http_client_connection.h"

#include "transport/http_field_rules.h"
#include "transport/socket_address.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <limits>

namespace lacewing {

namespace {

constexpr ev_ssize_t maximumAnswerHeaderBytes = 64 * 1024;
constexpr int statusContinue = 100;
constexpr int statusFinal = 200;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;
constexpr int statusAboveAll = 1000;

/// An idle connection is closed after this time, so that connections to servers no longer in use go away.
constexpr timeval maximumIdleTime { 60, 0 };

/// evhttp replaces a missing timeout by one of 50 s. This one never runs out; the timers of
/// HttpClientConnection bound the time instead.
constexpr timeval noTimeout { 365 * 24 * 3600, 0 };

std::optional<evhttp_cmd_type> commandOf(const std::string& method)
{
    constexpr std::pair<const char*, evhttp_cmd_type> commands[] = { { "GET", EVHTTP_REQ_GET },
        { "POST", EVHTTP_REQ_POST }, { "PUT", EVHTTP_REQ_PUT }, { "DELETE", EVHTTP_REQ_DELETE },
        { "HEAD", EVHTTP_REQ_HEAD }, { "PATCH", EVHTTP_REQ_PATCH }, { "OPTIONS", EVHTTP_REQ_OPTIONS } };
    for (const auto& [name, command] : commands) {
        if (method == name)
            return command;
    }
    return std::nullopt;
}

bool impliesBody(const std::string& method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

bool isTarget(const std::string& target)
{
    return !target.empty() && std::none_of(target.begin(), target.end(), [](char character) {
        return character == ' ' || character == '\t' || isHttpControl(character);
    });
}

/// @return the answer's fields, or nothing if one of them is malformed.
std::optional<HttpHeaders> fieldsOf(evhttp_request* request)
{
    HttpHeaders headers;
    const evkeyvalq* fields = evhttp_request_get_input_headers(request);
    for (const evkeyval* field = fields->tqh_first; field; field = field->next.tqe_next) {
        const std::string_view value = trimmedField(field->value);
        if (!isHttpToken(field->key) || std::any_of(value.begin(), value.end(), isHttpControl))
            return std::nullopt;
        headers.add(field->key, std::string(value));
    }
    return headers;
}

HttpClientError errorOf(evhttp_request_error error)
{
    const bool isInvalid = error == EVREQ_HTTP_INVALID_HEADER || error == EVREQ_HTTP_DATA_TOO_LONG;
    return isInvalid ? HttpClientError::InvalidAnswer : HttpClientError::ConnectionLost;
}

} // namespace

struct HttpClientConnection::Callbacks {
    static HttpClientConnection& from(void* self) { return *static_cast<HttpClientConnection*>(self); }

    static int onHeaders(evhttp_request* request, void* self)
    {
        return from(self).acceptHeaders(request) ? 0 : -1;
    }

    static void onBody(evhttp_request* request, void* self)
    {
        from(self).acceptBody(evhttp_request_get_input_buffer(request));
    }

    // Called before onEnd.
    static void onError(evhttp_request_error error, void* self)
    {
        HttpClientConnection& connection = from(self);
        if (!connection.m_error)
            connection.m_error = errorOf(error);
    }

    // The request is null after an error, and has no status after a failure to connect.
    static void onEnd(evhttp_request* request, void* self)
    {
        HttpClientConnection& connection = from(self);
        if (request && evhttp_request_get_response_code(request) != 0)
            connection.requestEnded(std::nullopt);
        else
            connection.requestEnded(connection.m_error.value_or(HttpClientError::ConnectionLost));
    }

    static void onClosed(evhttp_connection*, void* self) { from(self).disconnected(); }

    static void onConnectEvent(bufferevent*, short events, void* self)
    {
        const int errorNumber = EVUTIL_SOCKET_ERROR();
        from(self).connectEnded(events, errorNumber);
    }

    static void onOutputChange(evbuffer*, const evbuffer_cb_info* info, void* self)
    {
        if (info->n_deleted > 0)
            from(self).outputTaken();
    }

    static void onInputChange(evbuffer*, const evbuffer_cb_info* info, void* self)
    {
        if (info->n_added > 0)
            from(self).noteProgress();
    }
};

HttpClientConnection::HttpClientConnection(EventLoop& loop, Observer& observer, SocketAddress server)
    : m_loop(loop)
    , m_observer(observer)
    , m_server(std::move(server))
{
    // evhttp's own bufferevent would not close the socket if it is freed while connecting.
    m_stream = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    m_connection = evhttp_connection_base_bufferevent_new(
        m_loop.base(), nullptr, m_stream, m_server.ip.c_str(), m_server.port);
    evhttp_connection_set_retries(m_connection, 0);
    evhttp_connection_set_timeout_tv(m_connection, &noTimeout);
    evhttp_connection_set_max_headers_size(m_connection, maximumAnswerHeaderBytes);
    evhttp_connection_set_closecb(m_connection, Callbacks::onClosed, this);
    evbuffer_add_cb(bufferevent_get_output(m_stream), Callbacks::onOutputChange, this);
    evbuffer_add_cb(bufferevent_get_input(m_stream), Callbacks::onInputChange, this);
}

HttpClientConnection::~HttpClientConnection()
{
    m_loop.cancel(m_connectTimer);
    m_loop.cancel(m_progressTimer);
    m_loop.cancel(m_resumeTimer);
    if (m_exchange)
        m_exchange->connection = nullptr;
    m_exchange.reset();
    m_phase = Phase::Closed;
    evhttp_connection_set_closecb(m_connection, nullptr, nullptr);
    evhttp_connection_free(m_connection);
}

bool HttpClientConnection::isUsable() const
{
    if (m_phase != Phase::Idle || m_isDisconnected
        || evbuffer_get_length(bufferevent_get_input(m_stream)) > 0)
        return false;
    char byte = 0;
    const ssize_t length = recv(bufferevent_getfd(m_stream), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return length < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpClientConnection::start(std::shared_ptr<HttpClientExchange> exchange)
{
    m_exchange = std::move(exchange);
    m_exchange->connection = this;
    m_held = Held();
    m_error.reset();
    m_isReusable = false;
    const bool isNew = m_phase == Phase::New;
    m_phase = isNew ? Phase::Connecting : Phase::Busy;
    if (!isNew)
        bufferevent_set_timeouts(m_stream, nullptr, nullptr);
    evhttp_connection_set_flags(m_connection, 0);
    const size_t limit
        = std::min<size_t>(m_exchange->request.maximumAnswerBytes, std::numeric_limits<ev_ssize_t>::max());
    evhttp_connection_set_max_body_size(m_connection, static_cast<ev_ssize_t>(limit));
    errno = 0;
    m_isStarting = true;
    const bool isMade = makeRequest();
    // libevent reports an immediate refusal later and without the reason, which is lost by then.
    const int errorNumber = errno;
    m_isStarting = false;
    if (!isMade)
        failLater(HttpClientError::ConnectFailed);
    else if (isNew)
        connecting(errorNumber);
    else if (m_exchange->request.progressTimeout > Duration::zero())
        armProgressTimer(m_exchange->request.progressTimeout);
    noteProgress();
}

evhttp_request* HttpClientConnection::buildRequest()
{
    const HttpClientRequest& request = m_exchange->request;
    evhttp_request* result = evhttp_request_new(Callbacks::onEnd, this);
    evhttp_request_set_header_cb(result, Callbacks::onHeaders);
    evhttp_request_set_chunked_cb(result, Callbacks::onBody);
    evhttp_request_set_error_cb(result, Callbacks::onError);
    evkeyvalq* fields = evhttp_request_get_output_headers(result);
    if (request.headers.count("Host") == 0)
        evhttp_add_header(fields, "Host", m_server.text().c_str());
    for (const auto& [name, value] : request.headers) {
        const bool isFraming = equalsIgnoringCase(name, "Content-Length")
            || equalsIgnoringCase(name, "Transfer-Encoding") || equalsIgnoringCase(name, "Connection");
        if (!isFraming)
            evhttp_add_header(fields, cleanField(name).c_str(), cleanField(value).c_str());
    }
    if (!request.body.empty() || impliesBody(request.method))
        evhttp_add_header(fields, "Content-Length", std::to_string(request.body.size()).c_str());
    evbuffer_add(evhttp_request_get_output_buffer(result), request.body.data(), request.body.size());
    return result;
}

bool HttpClientConnection::makeRequest()
{
    const HttpClientRequest& request = m_exchange->request;
    const auto command = commandOf(request.method);
    if (!command || !isTarget(request.target))
        return false;
    return evhttp_make_request(m_connection, buildRequest(), *command, request.target.c_str()) == 0;
}

void HttpClientConnection::connecting(int errorNumber)
{
    m_wasRefused = errorNumber == ECONNREFUSED;
    if (m_connectTimer != 0)
        return;
    m_connectTimer = m_loop.runAfter(
        m_exchange->request.connectTimeout, [this] { fail(HttpClientError::ConnectFailed); });
    // evhttp sets its own callbacks again in the one that reports the end of connecting.
    bufferevent_data_cb onRead = nullptr;
    bufferevent_data_cb onWrite = nullptr;
    bufferevent_getcb(m_stream, &onRead, &onWrite, &m_evhttpEvent, &m_evhttpArgument);
    bufferevent_setcb(m_stream, onRead, onWrite, Callbacks::onConnectEvent, this);
}

void HttpClientConnection::connectEnded(short events, int errorNumber)
{
    bufferevent_setcb(m_stream, nullptr, nullptr, m_evhttpEvent, m_evhttpArgument);
    if (m_phase == Phase::Closed)
        return;
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        m_loop.cancel(m_connectTimer);
        disableDelay(bufferevent_getfd(m_stream));
        evutil_make_socket_closeonexec(bufferevent_getfd(m_stream));
        m_phase = Phase::Busy;
        noteProgress();
        if (m_exchange->request.progressTimeout > Duration::zero())
            armProgressTimer(m_exchange->request.progressTimeout);
    } else
        m_wasRefused = m_wasRefused || errorNumber == ECONNREFUSED;
    m_evhttpEvent(m_stream, events, m_evhttpArgument);
}

// What was held must be delivered before anything that comes later.
bool HttpClientConnection::isHolding() const
{
    return m_exchange->isPaused || m_held.status || !m_held.body.empty();
}

HttpClientError HttpClientConnection::connectError() const
{
    return m_wasRefused ? HttpClientError::ConnectionRefused : HttpClientError::ConnectFailed;
}

void HttpClientConnection::outputTaken()
{
    // A connection that is reset drops its output without having handed it to the socket.
    if (m_phase != Phase::Busy || m_isDisconnected || !m_exchange)
        return;
    noteProgress();
    if (std::exchange(m_exchange->requestSent, true))
        return;
    // The server may refuse the request before it has all of it; its answer is still to be read. The flag
    // makes evhttp drop the output at an error, so it is set only when requestSent can't become wrong by
    // that.
    evhttp_connection_set_flags(m_connection, EVHTTP_CON_READ_ON_WRITE_ERROR);
}

void HttpClientConnection::disconnected()
{
    m_isDisconnected = true;
    if (m_phase == Phase::Idle)
        close();
}

bool HttpClientConnection::acceptHeaders(evhttp_request* request)
{
    if (!m_exchange)
        return false;
    const int status = evhttp_request_get_response_code(request);
    // evhttp goes on to the final answer after this one only.
    if (status == statusContinue)
        return true;
    auto headers = fieldsOf(request);
    HttpFault fault;
    const auto framing = headers ? interpretFraming(*headers, request->minor, fault) : std::nullopt;
    if (!framing || status < statusFinal || status >= statusAboveAll || request->major != 1) {
        m_error = HttpClientError::InvalidAnswer;
        return false;
    }
    const bool hasNoBody
        = m_exchange->request.method == "HEAD" || status == statusNoContent || status == statusNotModified;
    m_isReusable = !framing->closes && (hasNoBody || framing->chunked || framing->contentLength);
    if (m_exchange->isPaused) {
        m_held.status = status;
        m_held.headers = std::move(*headers);
        holdReading();
        return true;
    }
    const std::shared_ptr<HttpClientExchange> exchange = m_exchange;
    exchange->deliverHeaders(status, *headers);
    return isCurrent(exchange.get());
}

void HttpClientConnection::acceptBody(evbuffer* body)
{
    const size_t length = evbuffer_get_length(body);
    if (!m_exchange || length == 0)
        return;
    const std::string_view bytes(reinterpret_cast<const char*>(evbuffer_pullup(body, -1)), length);
    if (isHolding()) {
        m_held.body += bytes;
        holdReading();
        return;
    }
    const std::shared_ptr<HttpClientExchange> exchange = m_exchange;
    exchange->deliverBody(bytes);
    if (isCurrent(exchange.get()) && exchange->isPaused)
        holdReading();
}

void HttpClientConnection::requestEnded(std::optional<HttpClientError> error)
{
    if (!m_exchange)
        return;
    if (m_phase == Phase::Connecting)
        error = connectError();
    if (m_isStarting) {
        failLater(error.value_or(HttpClientError::ConnectFailed));
        return;
    }
    if (isHolding()) {
        m_held.hasEnded = true;
        m_held.error = error;
    } else if (error)
        fail(*error);
    else
        finishAnswer();
}

void HttpClientConnection::failLater(HttpClientError error)
{
    m_loop.cancel(m_connectTimer);
    m_connectTimer = m_loop.runAfter(
        Duration::zero(), [this, error] { fail(m_phase == Phase::Connecting ? connectError() : error); });
}

void HttpClientConnection::finishAnswer()
{
    const std::shared_ptr<HttpClientExchange> exchange = std::move(m_exchange);
    exchange->connection = nullptr;
    m_loop.cancel(m_progressTimer);
    m_loop.cancel(m_resumeTimer);
    if (m_isReusable && !m_isDisconnected && evbuffer_get_length(bufferevent_get_input(m_stream)) == 0) {
        m_phase = Phase::Idle;
        m_idleSince = m_loop.now();
        bufferevent_enable(m_stream, EV_READ);
        bufferevent_set_timeouts(m_stream, &maximumIdleTime, nullptr);
        m_observer.connectionIdle(*this);
    } else
        close();
    exchange->finish(std::nullopt);
}

void HttpClientConnection::fail(HttpClientError error)
{
    const std::shared_ptr<HttpClientExchange> exchange = std::move(m_exchange);
    close();
    if (!exchange)
        return;
    exchange->connection = nullptr;
    exchange->finish(error);
}

void HttpClientConnection::close()
{
    if (m_phase == Phase::Closed)
        return;
    m_phase = Phase::Closed;
    m_loop.cancel(m_connectTimer);
    m_loop.cancel(m_progressTimer);
    m_loop.cancel(m_resumeTimer);
    if (m_exchange)
        m_exchange->connection = nullptr;
    m_exchange.reset();
    // evhttp may be running one of its callbacks, so it is freed with this object.
    bufferevent_disable(m_stream, EV_READ | EV_WRITE);
    m_observer.connectionClosed(*this);
}

void HttpClientConnection::holdReading()
{
    bufferevent_disable(m_stream, EV_READ);
}

void HttpClientConnection::pauseReading()
{
    if (m_phase == Phase::Busy)
        holdReading();
}

// What was held is delivered in a later round, because this may be called inside a handler.
void HttpClientConnection::resumeReading()
{
    if (m_phase != Phase::Busy)
        return;
    noteProgress();
    bufferevent_enable(m_stream, EV_READ);
    m_loop.cancel(m_resumeTimer);
    m_resumeTimer = m_loop.runAfter(Duration::zero(), [this] { deliverHeld(); });
}

void HttpClientConnection::deliverHeld()
{
    const std::shared_ptr<HttpClientExchange> exchange = m_exchange;
    if (exchange->isPaused)
        return;
    if (m_held.status) {
        const HttpHeaders headers = std::move(m_held.headers);
        const int status = *std::exchange(m_held.status, std::nullopt);
        exchange->deliverHeaders(status, headers);
    }
    if (!isCurrent(exchange.get()) || exchange->isPaused)
        return;
    const std::string body = std::exchange(m_held.body, std::string());
    if (!body.empty())
        exchange->deliverBody(body);
    if (!isCurrent(exchange.get()) || exchange->isPaused || !std::exchange(m_held.hasEnded, false))
        return;
    if (m_held.error)
        fail(*m_held.error);
    else
        finishAnswer();
}

void HttpClientConnection::armProgressTimer(Duration delay)
{
    m_progressTimer = m_loop.runAfter(delay, [this] { checkProgress(); });
}

// The timer is not moved on each progress; when it runs, it is set again for the rest of the time.
void HttpClientConnection::checkProgress()
{
    const Duration timeout = m_exchange->request.progressTimeout;
    if (m_exchange->isPaused)
        noteProgress();
    const Duration rest = m_lastProgress + timeout - m_loop.now();
    if (rest > Duration::zero())
        armProgressTimer(rest);
    else
        fail(HttpClientError::TimedOut);
}

} // namespace lacewing
