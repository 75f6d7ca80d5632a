#pragma once

#include "transport/event_loop.h"
#include "transport/http_parser.h"
#include "transport/http_server.h"

#include <functional>
#include <memory>
#include <string>

struct bufferevent;

namespace lacewing {

class HttpServerExchange;

/// What all connections of a server share. Outlives the connections.
struct HttpServerContext {
    EventLoop& loop;
    HttpServerOptions options;
    HttpServer::Handler handler;
    HttpServer::RejectionObserver observer;
    bool draining = false;
    size_t openExchanges = 0;
};

/// One connection from a client. Requests are parsed one after the other: the next one only when the one
/// before has its whole answer, so answers are in order. Meanwhile the socket is still read into a bounded
/// buffer, which is how a client that leaves is noticed.
///
/// The connection layer of libevhtp 1.2.18 is not used: it does not notice a client that leaves while its
/// request is paused, serves pipelined requests wrongly if it is not paused, closes on a malformed request
/// without an answer, and accepts conflicting lengths and control characters.
class HttpServerConnection {
public:
    using ClosedCallback = std::function<void(HttpServerConnection*)>;

    /// @param closed called once when the connection is closed, possibly inside one of its own callbacks, so
    /// the receiver must not destroy the connection at once.
    HttpServerConnection(HttpServerContext& context, int socket, std::string remoteIp, ClosedCallback closed);
    ~HttpServerConnection();
    HttpServerConnection(const HttpServerConnection&) = delete;
    HttpServerConnection& operator=(const HttpServerConnection&) = delete;

    /// Closes the connection if it is idle.
    void closeIfIdle();

    // For the exchange that is being answered.

    void sendWhole(int status, const HttpHeaders& headers, std::string_view body);
    void sendHead(int status, const HttpHeaders& headers);
    void sendPiece(std::string_view bytes);
    void sendEnd();
    void abort();
    size_t bufferedBytes() const;
    const std::string& remoteIp() const { return m_remoteIp; }

private:
    enum class Phase { Reading, Answering, Flushing, Lingering, Closed };

    static void onReadable(bufferevent*, void* self);
    static void onWritten(bufferevent*, void* self);
    static void onEvent(bufferevent*, short events, void* self);

    void processInput();
    bool acceptHead();
    void dispatch();
    void reject(HttpFault fault);
    std::string answerHead(int status, const HttpHeaders& headers);
    void write(std::string_view bytes);
    void finishAnswer();
    void handleWritten();
    void handleEvent(short events);
    void handleReadTimeout();
    bool isIdle() const;
    void setReadTimeout(Duration timeout);
    void startLingering();
    void close();

    HttpServerContext& m_context;
    std::string m_remoteIp;
    ClosedCallback m_closed;
    bufferevent* m_stream;
    HttpParser m_parser;
    std::string m_body;
    Phase m_phase = Phase::Reading;
    std::weak_ptr<HttpServerExchange> m_exchange;
    MonotonicTime m_headStarted {};
    MonotonicTime m_lingerEnd {};
    bool m_headIsPartial = false;
    bool m_isProcessing = false;
    bool m_isHeadRequest = false;
    bool m_chunked = false;
    bool m_closeAfterAnswer = false;
    bool m_clientSentAll = false;
};

} // namespace lacewing
