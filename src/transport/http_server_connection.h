#pragma once

#include "transport/event_loop.h"
#include "transport/http_chunk_check.h"
#include "transport/http_head_check.h"
#include "transport/http_server.h"
#include "transport/http_server_exchange.h"

#include <event2/bufferevent.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

struct evbuffer;
struct evbuffer_cb_info;
struct evhtp_connection;
struct evhtp_request;

namespace lacewing {

/// What all connections of a server share. Outlives the connections.
struct HttpServerContext {
    EventLoop& loop;
    HttpServerOptions options;
    HttpServer::Handler handler;
    HttpServer::RejectionObserver observer;
    bool draining = false;
    size_t openExchanges = 0;
};

/// One connection from a client, parsed and answered by libevhtp.
///
/// The bufferevent's callbacks are this class's own, which call libevhtp's only while a request is being read
/// and once its answer has been sent. So requests are parsed one after the other, answers are in order, and
/// while an answer is pending the socket is still read into a bounded buffer, which is how a client that
/// leaves is noticed. Handlers run outside of libevhtp's callbacks, so they may close the connection.
class HttpServerConnection {
public:
    using ClosedCallback = std::function<void(HttpServerConnection*)>;

    /// @param connection was just accepted; it is owned from now on.
    /// @param closed called once when the connection is closed, possibly inside one of its own callbacks, so
    /// the receiver must not destroy the connection at once.
    HttpServerConnection(HttpServerContext& context, evhtp_connection* connection, ClosedCallback closed);
    ~HttpServerConnection();
    HttpServerConnection(const HttpServerConnection&) = delete;
    HttpServerConnection& operator=(const HttpServerConnection&) = delete;

    /// Receives each complete request; to be set as libevhtp's general callback.
    static void onRequest(evhtp_request* request, void*);

    /// Closes the connection if it is idle.
    void closeIfIdle();
    /// @return whether the client has taken nothing of what waits for it for some time.
    bool isStalled(Duration stall) const;
    /// Closes the connection of a client that doesn't read.
    void closeStalled() { close(); }

    // For the exchange that is being answered.

    void sendWhole(int status, const HttpHeaders& headers, std::string_view body);
    void sendHead(int status, const HttpHeaders& headers, StreamEnd end);
    void sendPiece(std::string_view bytes);
    void sendEnd();
    void abort();
    size_t bufferedBytes() const;
    const std::string& remoteIp() const { return m_remoteIp; }

private:
    enum class Phase {
        Reading,
        /// The handler has the request.
        Answering,
        /// The answer is complete, but not yet written; another request may follow.
        Answered,
        /// The last answer is complete, but not yet written.
        Flushing,
        /// The last answer was written.
        Lingering,
        Closed,
    };
    /// Which part of a request comes next.
    enum class Part { Head, Body, Trailer, Complete };
    struct Hooks;

    /// Has the contents of the buffers charged to the server's account.
    void countBuffers();
    static void onInputChange(evbuffer*, const evbuffer_cb_info* info, void* self);
    static void onOutputChange(evbuffer*, const evbuffer_cb_info* info, void* self);
    /// @return whether the server has memory for that many further bytes of a request's body.
    bool hasMemoryFor(size_t bytes) const;
    void takeOver();
    void setHooks();

    // Called by libevhtp's hooks. They return false to stop the parser.
    bool acceptHeaders(evhtp_request& request);
    bool acceptFraming(evhtp_request& request, int minorVersion);
    bool acceptBody(evhtp_request& request, std::string_view bytes);
    bool startChunkedBody();
    bool endChunkedBody();
    void parserGaveUp();
    bool refuse(int status, const char* reason);

    static void onReadable(bufferevent*, void* self);
    static void onWritten(bufferevent*, void* self);
    static void onEvent(bufferevent*, short events, void* self);

    void processInput();
    void readRequest();
    /// @param offset of the body's first unchecked byte in the input.
    bool checkChunks(size_t offset);
    void runParser();
    void finishTrailer();
    void checkHeadTime();
    void dispatch();
    void reject(HttpFault fault);
    void sendRejection(HttpFault fault);
    void reportRejection(HttpFault fault);
    evhtp_request* prepareAnswer(const HttpHeaders& headers);
    void finishAnswer();
    void startNextRequest();
    void handleWritten();
    void handleEvent(short events);
    void handleReadTimeout();
    bool isIdle() const;
    void setReadTimeout(Duration timeout);
    /// Ends a connection whose last answer has been sent.
    void answerFlushed();
    void startLingering();
    /// Resets the connection once the client has what was sent, since a reset discards what is on its way.
    void resetAfterDelivery();
    /// @param isReset whether the close of the connection is a reset, also if the process ends.
    void setResetOnClose(bool isReset);
    void close();
    void release();

    HttpServerContext& m_context;
    /// Null after libevhtp gave the connection up; then only the bufferevent is left.
    evhtp_connection* m_connection;
    bufferevent* m_stream;
    bufferevent_data_cb m_parse = nullptr;
    bufferevent_data_cb m_finishRequest = nullptr;
    std::string m_remoteIp;
    ClosedCallback m_closed;
    HttpHeadCheck m_check;
    Phase m_phase = Phase::Reading;
    Part m_part = Part::Head;
    HttpFault m_fault;
    HttpRequestHead m_head;
    std::shared_ptr<HttpBody> m_body;
    /// What waits in the connection's buffers.
    MemoryCharge m_buffered;
    /// When the client has last taken something of what waits for it.
    MonotonicTime m_lastTaken {};
    /// Set while a chunked body is read and until the next request.
    std::optional<HttpChunkCheck> m_chunkCheck;
    std::weak_ptr<HttpServerExchange> m_exchange;
    MonotonicTime m_headStarted {};
    MonotonicTime m_lingerEnd {};
    /// Bytes that the client had not acknowledged when last checked.
    size_t m_undeliveredBytes = 0;
    /// When that number last changed.
    MonotonicTime m_deliveryProgress {};
    TimerId m_deliveryTimer = 0;
    bool m_headIsPartial = false;
    bool m_isHeadRequest = false;
    bool m_chunked = false;
    /// Set while an orderly close would look like the end of the answer that is sent, so that only a reset
    /// shows that it is cut off.
    bool m_isResetOnClose = false;
    /// Whether the answer was ended before it was whole.
    bool m_isCutOff = false;
    bool m_closeAfterAnswer = false;
    bool m_clientSentAll = false;
};

} // namespace lacewing
