#include "transport/http_client_connection.h"

#include "transport/evhttp_message.h"
#include "transport/http_field_rules.h"
#include "transport/socket_address.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/util.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <limits>

namespace lacewing {

namespace {

constexpr ev_ssize_t maximumAnswerHeaderBytes = 64 * 1024;
constexpr int statusContinue = 100;
constexpr int statusSwitchingProtocols = 101;
constexpr int statusFinal = 200;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;
constexpr int firstRefusal = 400;
/// HTTP defines no status from this one up.
constexpr int firstUndefinedStatus = 600;
/// A server that sends more of them will send no final answer.
constexpr int maximumInterimAnswers = 16;

/// A server that sends earlier answers without end, or large ones, is given up.
constexpr int maximumDroppedAnswers = 4;
constexpr size_t maximumDroppedBytes = 64 * 1024;

/// An idle connection is closed after this time, so that connections to servers no longer in use go away.
constexpr timeval maximumIdleTime { 60, 0 };

/// Time for input that waits in the socket when the progress timeout passes. After a delay of this process a
/// round of the loop takes the input of some connections only, before it runs the timers of all.
constexpr Duration lateReadTime = std::chrono::milliseconds(50);

/// evhttp replaces a missing timeout by one of 50 s. This one never runs out; the timers of
/// HttpClientConnection bound the time instead.
constexpr timeval noTimeout { 365 * 24 * 3600, 0 };

} // namespace

struct HttpClientConnection::Callbacks {
    static HttpClientConnection& from(void* self) { return *static_cast<HttpClientConnection*>(self); }

    static int onHeaders(evhttp_request* request, void* self)
    {
        return from(self).acceptHeaders(request) ? 0 : -1;
    }

    static void onBody(evhttp_request* request, void* self)
    {
        evbuffer* body = evhttp_request_get_input_buffer(request);
        const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(body, -1));
        from(self).acceptBody({ bytes, evbuffer_get_length(body) });
    }

    // Called before onEnd. The request has been freed.
    static void onError(evhttp_request_error error, void* self)
    {
        HttpClientConnection& connection = from(self);
        connection.m_request = nullptr;
        if (!connection.m_error)
            connection.m_error = toClientError(error);
    }

    // The request is null after an error, and has no status after a failure to connect.
    static void onEnd(evhttp_request* request, void* self)
    {
        HttpClientConnection& connection = from(self);
        connection.m_request = nullptr;
        if (request && evhttp_request_get_response_code(request) != 0)
            connection.requestEnded(std::nullopt);
        else
            connection.requestEnded(connection.m_error.value_or(HttpClientError::ConnectionLost));
    }

    static void onClosed(evhttp_connection*, void* self) { from(self).disconnected(); }

    // evhttp itself calls this for input that was left, and then passes its connection as the argument.
    static void onRead(bufferevent* stream, void*)
    {
        void* self = nullptr;
        bufferevent_getcb(stream, nullptr, nullptr, nullptr, &self);
        from(self).dropInput();
        from(self).checkInput();
        const EvhttpCallbacks& evhttp = from(self).m_evhttp;
        if (evhttp.onRead)
            evhttp.onRead(stream, evhttp.argument);
        from(self).evhttpRan();
    }

    static void onWrite(bufferevent* stream, void* self)
    {
        const EvhttpCallbacks& evhttp = from(self).m_evhttp;
        if (evhttp.onWrite)
            evhttp.onWrite(stream, evhttp.argument);
        from(self).evhttpRan();
    }

    static void onEvent(bufferevent*, short events, void* self)
    {
        const int errorNumber = EVUTIL_SOCKET_ERROR();
        from(self).handleEvent(events, errorNumber);
        from(self).evhttpRan();
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
        from(self).m_uncheckedBytes += info->n_added;
    }
};

HttpClientConnection::HttpClientConnection(
    EventLoop& loop, Observer& observer, SocketAddress server, std::string idField)
    : m_loop(loop)
    , m_observer(observer)
    , m_server(std::move(server))
    , m_idField(std::move(idField))
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
    m_loop.cancel(m_totalTimer);
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
    m_hasHeaders = false;
    m_headCheck.emplace();
    m_chunkCheck.reset();
    m_uncheckedBytes = evbuffer_get_length(bufferevent_get_input(m_stream));
    m_hasMalformedInput = false;
    m_wasCutShort = false;
    m_endsWithConnection = false;
    m_isReusable = false;
    m_interimAnswers = 0;
    m_bytesToDrop = 0;
    if (m_exchange->request.totalTimeout > Duration::zero())
        m_totalTimer
            = m_loop.runAfter(m_exchange->request.totalTimeout, [this] { fail(HttpClientError::TimedOut); });
    const bool isNew = m_phase == Phase::New;
    m_phase = isNew ? Phase::Connecting : Phase::Busy;
    m_exchange->isOnReusedConnection = !isNew;
    const bool isAllowed = mayCarry(m_exchange->ids);
    m_carriedIds.add(m_exchange->ids);
    m_hasCarriedHead = m_hasCarriedHead || m_exchange->request.method == "HEAD";
    if (!isNew)
        bufferevent_set_timeouts(m_stream, nullptr, nullptr);
    evhttp_connection_set_max_body_size(m_connection, maximumBodyBytes());
    errno = 0;
    m_isStarting = true;
    const bool isMade = isAllowed && makeRequest();
    // libevent reports an immediate refusal later and without the reason, which is lost by then.
    const int errorNumber = errno;
    m_isStarting = false;
    wrapCallbacks();
    if (!isMade)
        failLater(HttpClientError::ConnectFailed);
    else if (isNew)
        connecting(errorNumber);
    else if (m_exchange->request.progressTimeout > Duration::zero())
        armProgressTimer(m_exchange->request.progressTimeout);
    noteProgress();
}

ev_ssize_t HttpClientConnection::maximumBodyBytes() const
{
    constexpr ev_ssize_t largest = std::numeric_limits<ev_ssize_t>::max();
    return static_cast<ev_ssize_t>(std::min<size_t>(m_exchange->request.maximumAnswerBytes, largest));
}

void HttpClientConnection::buildRequest()
{
    m_request = evhttp_request_new(Callbacks::onEnd, this);
    evhttp_request_set_header_cb(m_request, Callbacks::onHeaders);
    evhttp_request_set_chunked_cb(m_request, Callbacks::onBody);
    evhttp_request_set_error_cb(m_request, Callbacks::onError);
    fillRequest(*m_request, m_exchange->request);
}

bool HttpClientConnection::makeRequest()
{
    const HttpClientRequest& request = m_exchange->request;
    const auto command = evhttpCommand(request.method);
    sockaddr_storage address {};
    // evhttp would block while it looks up a name.
    if (!command || toSystemAddress(m_server, address) == 0)
        return false;
    buildRequest();
    if (evhttp_make_request(m_connection, m_request, *command, cleanTarget(request.target).c_str()) == 0)
        return true;
    m_request = nullptr;
    return false;
}

// evhttp sets its callbacks on the bufferevent anew when it goes on to another stage of a request.
void HttpClientConnection::wrapCallbacks()
{
    EvhttpCallbacks current;
    bufferevent_getcb(m_stream, &current.onRead, &current.onWrite, &current.onEvent, &current.argument);
    if (current.argument == this)
        return;
    m_evhttp = current;
    bufferevent_setcb(m_stream, Callbacks::onRead, Callbacks::onWrite, Callbacks::onEvent, this);
}

void HttpClientConnection::evhttpRan()
{
    wrapCallbacks();
    if (m_phase != Phase::Busy || !m_request)
        return;
    if (m_hasMalformedInput || hasInvalidStatus()) {
        fail(HttpClientError::InvalidAnswer);
        return;
    }
    takePartOfChunk();
    if (m_exchange && m_exchange->isPaused)
        holdReading();
}

bool HttpClientConnection::hasInvalidStatus() const
{
    return evhttp_request_get_response_code(m_request) >= firstUndefinedStatus;
}

// evhttp waits for the whole chunk, which may hold back tokens that have arrived.
void HttpClientConnection::takePartOfChunk()
{
    evbuffer* input = bufferevent_get_input(m_stream);
    const size_t length = evbuffer_get_length(input);
    const bool isInsideChunk = m_hasHeaders && m_request->chunked != 0 && m_request->ntoread > 0
        && length < static_cast<uint64_t>(m_request->ntoread);
    if (!isInsideChunk || length == 0)
        return;
    std::string bytes(length, '\0');
    evbuffer_remove(input, bytes.data(), length);
    m_request->ntoread -= static_cast<ev_int64_t>(length);
    acceptBody(bytes);
}

// Runs inside evhttp, which has taken the head from the input but nothing after it.
void HttpClientConnection::startChunkedBody()
{
    m_chunkCheck.emplace().reset(static_cast<uint64_t>(maximumBodyBytes()));
    checkInput();
}

// evhttp takes numbers with a sign, a prefix or spaces, and anything for the line end after a chunk. It gets
// only what comes before a fault.
void HttpClientConnection::checkInput()
{
    if (m_hasMalformedInput)
        return;
    if (m_headCheck)
        checkWith(*m_headCheck);
    else if (m_chunkCheck)
        checkWith(*m_chunkCheck);
}

template <typename Check> void HttpClientConnection::checkWith(Check& check)
{
    evbuffer* input = bufferevent_get_input(m_stream);
    const size_t checkedBytes = evbuffer_get_length(input) - m_uncheckedBytes;
    std::string_view bytes(
        reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), evbuffer_get_length(input));
    bytes.remove_prefix(checkedBytes);
    m_uncheckedBytes = 0;
    m_hasMalformedInput = check.check(bytes) == Check::Result::Failed;
    if (m_hasMalformedInput)
        cutInput(checkedBytes + check.acceptedBytes());
}

// The end of the input is frozen outside of libevent's own reading, so it can't be cut off there.
void HttpClientConnection::cutInput(size_t length)
{
    evbuffer* input = bufferevent_get_input(m_stream);
    std::string kept(length, '\0');
    evbuffer_remove(input, kept.data(), kept.size());
    evbuffer_drain(input, evbuffer_get_length(input));
    evbuffer_prepend(input, kept.data(), kept.size());
}

void HttpClientConnection::connecting(int errorNumber)
{
    m_wasRefused = errorNumber == ECONNREFUSED;
    if (m_connectTimer == 0)
        m_connectTimer = m_loop.runAfter(
            m_exchange->request.connectTimeout, [this] { fail(HttpClientError::ConnectFailed); });
}

void HttpClientConnection::connected()
{
    m_loop.cancel(m_connectTimer);
    disableDelay(bufferevent_getfd(m_stream));
    evutil_make_socket_closeonexec(bufferevent_getfd(m_stream));
    m_phase = Phase::Busy;
    noteProgress();
    if (m_exchange->request.progressTimeout > Duration::zero())
        armProgressTimer(m_exchange->request.progressTimeout);
}

void HttpClientConnection::handleEvent(short events, int errorNumber)
{
    if (m_phase == Phase::Closed)
        return;
    if (m_phase == Phase::Connecting && (events & BEV_EVENT_CONNECTED) != 0)
        connected();
    else if (m_phase == Phase::Connecting)
        m_wasRefused = m_wasRefused || errorNumber == ECONNREFUSED;
    const bool isSending = m_phase == Phase::Busy && m_request && m_request->kind == EVHTTP_REQUEST;
    const bool isBroken = (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
    int flags = 0;
    if (isSending && isBroken && m_exchange && m_exchange->requestSent) {
        // The server may have refused the request before it had all of it; its answer is still to be read.
        m_wasCutShort = true;
        flags = EVHTTP_CON_READ_ON_WRITE_ERROR;
        // evhttp ends the process if it finds the end of an answer while it is still sending.
        if (evbuffer_get_length(bufferevent_get_input(m_stream)) > 0)
            events = BEV_EVENT_WRITING | BEV_EVENT_ERROR;
    }
    evhttp_connection_set_flags(m_connection, flags);
    m_evhttp.onEvent(m_stream, events, m_evhttp.argument);
}

HttpClientError HttpClientConnection::connectError() const
{
    return m_wasRefused ? HttpClientError::ConnectionRefused : HttpClientError::ConnectFailed;
}

// What was held must be delivered before anything that comes later.
bool HttpClientConnection::isHolding() const
{
    return m_exchange->isPaused || m_held.status || !m_held.body.empty();
}

void HttpClientConnection::outputTaken()
{
    // A connection that is reset drops its output without having handed it to the socket.
    if (m_phase != Phase::Busy || m_isDisconnected || !m_exchange)
        return;
    noteProgress();
    m_exchange->requestSent = true;
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
    m_uncheckedBytes = evbuffer_get_length(bufferevent_get_input(m_stream));
    m_headCheck.reset();
    if (skipInterimAnswer(request)) {
        readNextHead(request);
        return true;
    }
    m_hasHeaders = true;
    auto headers = fieldsOfAnswer(*request);
    HttpFault fault;
    const auto framing = headers ? interpretFraming(*headers, request->minor, fault) : std::nullopt;
    if (!framing || status < statusFinal || status >= firstUndefinedStatus || request->major != 1) {
        m_error = HttpClientError::InvalidAnswer;
        return false;
    }
    if (dropEarlierAnswer(request, *headers, *framing))
        return true;
    const bool hasNoBody
        = m_exchange->request.method == "HEAD" || status == statusNoContent || status == statusNotModified;
    m_endsWithConnection = !hasNoBody && !framing->chunked && !framing->contentLength;
    m_isReusable = !framing->closes && !m_wasCutShort && !m_endsWithConnection && !m_carriedIds.isFull()
        && !isUnnamedRefusal(status) && m_exchange->droppedAnswers == 0;
    if (framing->chunked && !hasNoBody)
        startChunkedBody();
    if (m_exchange->isPaused) {
        m_held.status = status;
        m_held.headers = std::move(*headers);
        return true;
    }
    const std::shared_ptr<HttpClientExchange> exchange = m_exchange;
    exchange->deliverHeaders(status, *headers);
    return isCurrent(exchange.get());
}

bool HttpClientConnection::isUnnamedRefusal(int status) const
{
    return !m_idField.empty() && m_exchange->ids.empty() && status >= firstRefusal;
}

// Goes on to the final answer as evhttp does after status 100. It takes other interim answers for final ones.
bool HttpClientConnection::skipInterimAnswer(evhttp_request* request)
{
    const int status = evhttp_request_get_response_code(request);
    if (status < statusContinue || status >= statusFinal || status == statusSwitchingProtocols)
        return false;
    if (++m_interimAnswers > maximumInterimAnswers)
        return false;
    if (status != statusContinue || hasFields(*request))
        m_exchange->hasFieldsOutsideHead = true;
    return true;
}

void HttpClientConnection::readNextHead(evhttp_request* request)
{
    evhttp_clear_headers(evhttp_request_get_input_headers(request));
    request->response_code = statusContinue;
    m_headCheck.emplace();
    checkInput();
}

bool HttpClientConnection::dropEarlierAnswer(
    evhttp_request* request, const HttpHeaders& headers, const HttpFraming& framing)
{
    const std::vector<std::string> ids
        = m_idField.empty() ? std::vector<std::string>() : headers.values(m_idField);
    const std::vector<std::string>& own = m_exchange->ids;
    const bool isEarlier = ids.size() == 1 && std::find(own.begin(), own.end(), ids[0]) == own.end()
        && m_carriedIds.containsAny(ids);
    // Some answers state the length of a body that doesn't follow.
    const int status = evhttp_request_get_response_code(request);
    const bool mayLackBody = m_hasCarriedHead || status == statusNoContent || status == statusNotModified;
    const bool isBounded
        = framing.contentLength && *framing.contentLength <= maximumDroppedBytes && !mayLackBody;
    if (!isEarlier || !isBounded || framing.closes || m_exchange->droppedAnswers >= maximumDroppedAnswers)
        return false;
    ++m_exchange->droppedAnswers;
    m_hasHeaders = false;
    m_bytesToDrop = *framing.contentLength;
    dropInput();
    m_uncheckedBytes = evbuffer_get_length(bufferevent_get_input(m_stream));
    readNextHead(request);
    return true;
}

// evhttp must not see the body of an answer whose head was dropped.
void HttpClientConnection::dropInput()
{
    if (m_bytesToDrop == 0)
        return;
    evbuffer* input = bufferevent_get_input(m_stream);
    const size_t length = std::min(m_bytesToDrop, evbuffer_get_length(input));
    evbuffer_drain(input, length);
    m_bytesToDrop -= length;
    m_uncheckedBytes -= std::min(m_uncheckedBytes, length);
}

void HttpClientConnection::acceptBody(std::string_view bytes)
{
    if (!m_exchange || bytes.empty())
        return;
    if (isHolding()) {
        m_held.body += bytes;
        return;
    }
    const std::shared_ptr<HttpClientExchange> exchange = m_exchange;
    exchange->deliverBody(bytes);
}

void HttpClientConnection::requestEnded(std::optional<HttpClientError> error)
{
    if (!m_exchange)
        return;
    if (m_phase == Phase::Connecting)
        error = connectError();
    if (m_hasMalformedInput)
        error = HttpClientError::InvalidAnswer;
    if (m_chunkCheck && m_chunkCheck->hasTrailer())
        m_exchange->hasFieldsOutsideHead = true;
    // The failed write took the socket's error, so a broken connection reads like one that was closed.
    if (!error && m_wasCutShort && m_endsWithConnection)
        error = HttpClientError::ConnectionLost;
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
    m_loop.cancel(m_totalTimer);
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
    m_loop.cancel(m_totalTimer);
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
    else if (!m_isReadingLate && hasUnreadInput(bufferevent_getfd(m_stream))) {
        m_isReadingLate = true;
        armProgressTimer(lateReadTime);
    } else
        fail(HttpClientError::TimedOut);
}

} // namespace lacewing
