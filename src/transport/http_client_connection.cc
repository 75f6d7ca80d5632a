#include "transport/http_client_connection.h"

#include "transport/http_format.h"
#include "transport/socket_address.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <fcntl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace lacewing {

namespace {

constexpr size_t maximumAnswerHeaderBytes = 64 * 1024;
constexpr int statusFinal = 200;
constexpr int statusSwitchingProtocols = 101;

/// An idle connection is closed after this time, so that connections to servers no longer in use go away.
constexpr timeval maximumIdleTime { 60, 0 };

bool impliesBody(const std::string& method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

HttpClientConnection::HttpClientConnection(
    EventLoop& loop, Observer& observer, SocketAddress server, Duration connectTimeout)
    : m_loop(loop)
    , m_observer(observer)
    , m_server(std::move(server))
    , m_parser(HttpParser::Kind::Answer, maximumAnswerHeaderBytes)
{
    // Connecting here and not through libevent keeps the reason of a refusal, which libevent may overwrite.
    const int errorNumber = connectSocket();
    if (errorNumber != 0 && errorNumber != EINPROGRESS) {
        m_connectTimer
            = m_loop.runAfter(Duration::zero(), [this, errorNumber] { connectFailed(errorNumber); });
        return;
    }
    m_connectTimer = m_loop.runAfter(connectTimeout, [this] { connectTimedOut(); });
}

HttpClientConnection::~HttpClientConnection()
{
    m_loop.cancel(m_connectTimer);
    m_loop.cancel(m_progressTimer);
    if (m_exchange)
        m_exchange->connection = nullptr;
    if (m_stream)
        bufferevent_free(m_stream);
}

int HttpClientConnection::connectSocket()
{
    sockaddr_storage address {};
    const socklen_t length = toSystemAddress(m_server, address);
    if (length == 0)
        return EINVAL;
    const int socket = ::socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return errno;
    disableDelay(socket);
    const int result = connect(socket, reinterpret_cast<sockaddr*>(&address), length) == 0 ? 0 : errno;
    if (result != 0 && result != EINPROGRESS) {
        evutil_closesocket(socket);
        return result;
    }
    m_stream = bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(m_stream, onReadable, nullptr, onEvent, this);
    evbuffer_add_cb(bufferevent_get_output(m_stream), onOutputChange, this);
    // Without an address it waits for the connection that the socket is making.
    bufferevent_socket_connect(m_stream, nullptr, 0);
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
    return result;
}

void HttpClientConnection::onReadable(bufferevent*, void* self)
{
    static_cast<HttpClientConnection*>(self)->processInput();
}

void HttpClientConnection::onEvent(bufferevent*, short events, void* self)
{
    static_cast<HttpClientConnection*>(self)->handleEvent(events);
}

void HttpClientConnection::onOutputChange(evbuffer*, const evbuffer_cb_info* info, void* self)
{
    auto* connection = static_cast<HttpClientConnection*>(self);
    if (info->n_deleted == 0 || !connection->m_exchange)
        return;
    // Bytes leave this buffer only when the socket has taken them.
    connection->m_exchange->requestSent = true;
    connection->noteProgress();
}

bool HttpClientConnection::isUsable() const
{
    char byte = 0;
    const ssize_t length = recv(bufferevent_getfd(m_stream), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return m_phase == Phase::Idle && length < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpClientConnection::start(std::shared_ptr<HttpClientExchange> exchange)
{
    m_exchange = std::move(exchange);
    m_exchange->connection = this;
    m_answerBytes = 0;
    m_serverStoppedReading = false;
    if (m_phase != Phase::Idle)
        return;
    bufferevent_set_timeouts(m_stream, nullptr, nullptr);
    writeRequest();
}

void HttpClientConnection::connected()
{
    m_loop.cancel(m_connectTimer);
    writeRequest();
}

void HttpClientConnection::connectFailed(int errorNumber)
{
    fail(errorNumber == ECONNREFUSED ? HttpClientError::ConnectionRefused : HttpClientError::ConnectFailed);
}

void HttpClientConnection::connectTimedOut()
{
    fail(HttpClientError::ConnectFailed);
}

void HttpClientConnection::writeRequest()
{
    m_phase = Phase::Busy;
    m_parser.reset();
    const HttpClientRequest& request = m_exchange->request;
    if (request.method == "HEAD")
        m_parser.expectNoBody();
    std::string text = request.method + " ";
    appendTarget(text, request.target);
    text += " HTTP/1.1\r\n";
    if (request.headers.count("Host") == 0)
        text += "Host: " + m_server.text() + "\r\n";
    appendFields(text, request.headers, { "Content-Length", "Transfer-Encoding", "Connection" });
    if (!request.body.empty() || impliesBody(request.method))
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    text += "\r\n";
    text += request.body;
    m_lastProgress = m_loop.now();
    if (request.progressTimeout > Duration::zero())
        armProgressTimer(request.progressTimeout);
    if (m_exchange->isPaused)
        bufferevent_disable(m_stream, EV_READ);
    bufferevent_write(m_stream, text.data(), text.size());
}

void HttpClientConnection::processInput()
{
    if (m_phase == Phase::Idle) {
        // Nothing was asked, so whatever this is cannot be an answer.
        close();
        return;
    }
    noteProgress();
    std::string body;
    while (m_phase == Phase::Busy && !m_exchange->isPaused) {
        body.clear();
        const HttpParser::Result result = m_parser.parse(bufferevent_get_input(m_stream), body);
        if (!deliver(result, body))
            return;
        if (result == HttpParser::Result::NeedMore)
            break;
    }
    if (m_inputEnded && m_phase == Phase::Busy && !m_exchange->isPaused)
        finishInput();
}

// Returns false if the exchange has left this connection.
bool HttpClientConnection::deliver(HttpParser::Result result, const std::string& body)
{
    const std::shared_ptr<HttpClientExchange> exchange = m_exchange;
    m_answerBytes += body.size();
    if (result == HttpParser::Result::Failed || m_answerBytes > exchange->request.maximumAnswerBytes) {
        fail(HttpClientError::InvalidAnswer);
        return false;
    }
    if (!body.empty())
        exchange->deliverBody(body);
    if (!isCurrent(exchange.get()))
        return false;
    const int status = m_parser.head().status;
    if (result == HttpParser::Result::HeadDone) {
        if (status == statusSwitchingProtocols) {
            fail(HttpClientError::InvalidAnswer);
            return false;
        }
        if (status < statusFinal)
            m_parser.reset();
        else
            exchange->deliverHeaders(status, m_parser.head().headers);
    }
    if (!isCurrent(exchange.get()))
        return false;
    if (result != HttpParser::Result::MessageDone)
        return true;
    finishAnswer();
    return false;
}

void HttpClientConnection::finishAnswer()
{
    const std::shared_ptr<HttpClientExchange> exchange = std::move(m_exchange);
    exchange->connection = nullptr;
    m_loop.cancel(m_progressTimer);
    const bool isReusable = !m_parser.head().closes && !m_serverStoppedReading
        && evbuffer_get_length(bufferevent_get_output(m_stream)) == 0
        && evbuffer_get_length(bufferevent_get_input(m_stream)) == 0;
    if (isReusable) {
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
    if (m_exchange)
        m_exchange->connection = nullptr;
    m_exchange.reset();
    if (m_stream)
        bufferevent_free(m_stream);
    m_stream = nullptr;
    m_observer.connectionClosed(*this);
}

void HttpClientConnection::pauseReading()
{
    if (m_stream && m_phase == Phase::Busy)
        bufferevent_disable(m_stream, EV_READ);
}

void HttpClientConnection::resumeReading()
{
    if (m_phase != Phase::Busy)
        return;
    m_lastProgress = m_loop.now();
    bufferevent_enable(m_stream, EV_READ);
    // Input that was read before the pause, in a later round because this may be called inside a handler.
    bufferevent_trigger(m_stream, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void HttpClientConnection::handleEvent(short events)
{
    const int errorNumber = EVUTIL_SOCKET_ERROR();
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        connected();
        return;
    }
    if (m_phase == Phase::Connecting) {
        connectFailed(errorNumber);
        return;
    }
    if (m_phase == Phase::Idle) {
        close();
        return;
    }
    if ((events & BEV_EVENT_ERROR) != 0 && (events & BEV_EVENT_WRITING) != 0 && !m_serverStoppedReading) {
        // The server may have refused the request before it had all of it; its answer is still to be read.
        m_serverStoppedReading = true;
        bufferevent_disable(m_stream, EV_WRITE);
        return;
    }
    // The end may overtake input that was held back by a pause.
    m_inputEnded = true;
    processInput();
}

void HttpClientConnection::finishInput()
{
    if (m_parser.finishInput() == HttpParser::Result::MessageDone)
        finishAnswer();
    else
        fail(HttpClientError::ConnectionLost);
}

void HttpClientConnection::noteProgress()
{
    m_lastProgress = m_loop.now();
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
        m_lastProgress = m_loop.now();
    const Duration rest = m_lastProgress + timeout - m_loop.now();
    if (rest > Duration::zero())
        armProgressTimer(rest);
    else
        fail(HttpClientError::TimedOut);
}

} // namespace lacewing
