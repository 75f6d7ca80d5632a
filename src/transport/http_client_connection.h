#pragma once

#include "transport/event_loop.h"
#include "transport/http_client_exchange.h"
#include "transport/http_parser.h"

#include <functional>
#include <memory>
#include <string>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace lacewing {

/// One connection to a server. It carries one request at a time.
///
/// The client of libevent's evhttp is not used: it holds a chunk back until it is complete, loses the reason
/// of a failed connection, sends DELETE with a body but without its length, and accepts conflicting lengths.
class HttpClientConnection {
public:
    /// What the pool is told. Both may be called inside the connection's own callbacks, so the receiver must
    /// not destroy the connection at once.
    class Observer {
    public:
        virtual ~Observer() = default;
        virtual void connectionIdle(HttpClientConnection& connection) = 0;
        virtual void connectionClosed(HttpClientConnection& connection) = 0;
    };

    /// Starts to connect. A failure is reported in a later round of the loop.
    HttpClientConnection(EventLoop& loop, Observer& observer, SocketAddress server, Duration connectTimeout);
    ~HttpClientConnection();
    HttpClientConnection(const HttpClientConnection&) = delete;
    HttpClientConnection& operator=(const HttpClientConnection&) = delete;

    const SocketAddress& server() const { return m_server; }
    MonotonicTime idleSince() const { return m_idleSince; }
    /// @return false if the server has closed the idle connection, even if the loop has not seen it yet.
    bool isUsable() const;

    /// Sends a request, after the connection is made.
    void start(std::shared_ptr<HttpClientExchange> exchange);
    /// Closes the connection without any call to the exchange's handlers.
    void close();
    void pauseReading();
    void resumeReading();

private:
    enum class Phase { Connecting, Idle, Busy, Closed };

    static void onReadable(bufferevent*, void* self);
    static void onEvent(bufferevent*, short events, void* self);
    static void onOutputChange(evbuffer*, const evbuffer_cb_info* info, void* self);

    int connectSocket();
    void connected();
    void connectFailed(int errorNumber);
    void connectTimedOut();
    void writeRequest();
    void processInput();
    bool deliver(HttpParser::Result result, const std::string& body);
    void finishAnswer();
    void fail(HttpClientError error);
    void handleEvent(short events);
    void finishInput();
    void noteProgress();
    void checkProgress();
    void armProgressTimer(Duration delay);
    bool isCurrent(const HttpClientExchange* exchange) const { return m_exchange.get() == exchange; }

    EventLoop& m_loop;
    Observer& m_observer;
    SocketAddress m_server;
    bufferevent* m_stream = nullptr;
    HttpParser m_parser;
    Phase m_phase = Phase::Connecting;
    std::shared_ptr<HttpClientExchange> m_exchange;
    size_t m_answerBytes = 0;
    bool m_serverStoppedReading = false;
    bool m_inputEnded = false;
    MonotonicTime m_idleSince {};
    MonotonicTime m_lastProgress {};
    TimerId m_connectTimer = 0;
    TimerId m_progressTimer = 0;
};

} // namespace lacewing
