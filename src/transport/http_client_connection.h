#pragma once

#include "transport/carried_ids.h"
#include "transport/event_loop.h"
#include "transport/http_answer_head_check.h"
#include "transport/http_chunk_check.h"
#include "transport/http_client_exchange.h"
#include "transport/http_field_rules.h"

#include <event2/bufferevent.h>

#include <memory>
#include <optional>
#include <string>

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace lacewing {

/// One connection to a server, on libevent's evhttp. It carries one request at a time, and never two of the
/// same id: an answer to the first that comes once more could not be told from the answer to the second.
///
/// The bufferevent's callbacks are this class's own, around those of evhttp, because evhttp holds a chunk
/// back until it is complete, does not tell why connecting failed, and enables reading again during a pause.
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

    /// @param idField header field that names a request, and that the server repeats in its answers; empty if
    /// requests have no ids.
    HttpClientConnection(EventLoop& loop, Observer& observer, SocketAddress server, std::string idField);
    /// Must not run inside a callback of evhttp.
    ~HttpClientConnection();
    HttpClientConnection(const HttpClientConnection&) = delete;
    HttpClientConnection& operator=(const HttpClientConnection&) = delete;

    const SocketAddress& server() const { return m_server; }
    MonotonicTime idleSince() const { return m_idleSince; }
    /// @return false if the server has closed the idle connection, even if the loop has not seen it yet.
    bool isUsable() const;
    /// @return whether the connection has carried no request of one of the ids.
    bool mayCarry(const std::vector<std::string>& ids) const { return !m_carriedIds.containsAny(ids); }

    /// Sends a request, after making the connection if it is new. A failure is reported in a later round of
    /// the loop; so is a request that the connection may not carry.
    void start(std::shared_ptr<HttpClientExchange> exchange);
    /// Closes the connection without any call to the exchange's handlers.
    void close();
    void pauseReading();
    void resumeReading();

private:
    enum class Phase { New, Connecting, Idle, Busy, Closed };
    struct Callbacks;

    /// What arrived while the caller had paused reading.
    struct Held {
        std::optional<int> status;
        HttpHeaders headers;
        std::string body;
        bool hasEnded = false;
        std::optional<HttpClientError> error;
    };

    /// Callbacks that evhttp has set on the bufferevent. This class calls them from its own.
    struct EvhttpCallbacks {
        bufferevent_data_cb onRead = nullptr;
        bufferevent_data_cb onWrite = nullptr;
        bufferevent_event_cb onEvent = nullptr;
        void* argument = nullptr;
    };

    ev_ssize_t maximumBodyBytes() const;
    void buildRequest();
    bool makeRequest();
    void wrapCallbacks();
    void evhttpRan();
    void handleEvent(short events, int errorNumber);
    void connected();
    void connecting(int errorNumber);
    bool hasInvalidStatus() const;
    void takePartOfChunk();
    void startChunkedBody();
    void checkInput();
    /// @param check sees the bytes that no check has seen.
    template <typename Check> void checkWith(Check& check);
    void cutInput(size_t length);
    bool acceptHeaders(evhttp_request* request);
    bool skipInterimAnswer(evhttp_request* request);
    /// Drops an answer to an earlier request, which the server has sent once more, and goes on to the next
    /// one.
    ///
    /// @return false for any other answer, or one whose end is not known beforehand.
    bool dropEarlierAnswer(evhttp_request* request, const HttpHeaders& headers, const HttpFraming& framing);
    void dropInput();
    void readNextHead(evhttp_request* request);
    /// @return whether an answer with this status could be taken for the answer to the next request that
    /// has no id, if the server sends it once more.
    bool isUnnamedRefusal(int status) const;
    void acceptBody(std::string_view bytes);
    void requestEnded(std::optional<HttpClientError> error);
    HttpClientError connectError() const;
    void outputTaken();
    void disconnected();
    void failLater(HttpClientError error);
    bool isHolding() const;
    void holdReading();
    void deliverHeld();
    void finishAnswer();
    void fail(HttpClientError error);
    void noteProgress()
    {
        m_lastProgress = m_loop.now();
        m_isReadingLate = false;
    }
    void checkProgress();
    void armProgressTimer(Duration delay);
    bool isCurrent(const HttpClientExchange* exchange) const { return m_exchange.get() == exchange; }

    EventLoop& m_loop;
    Observer& m_observer;
    SocketAddress m_server;
    std::string m_idField;
    bufferevent* m_stream = nullptr;
    evhttp_connection* m_connection = nullptr;
    /// Null unless evhttp works on a request.
    evhttp_request* m_request = nullptr;
    EvhttpCallbacks m_evhttp;
    Phase m_phase = Phase::New;
    std::shared_ptr<HttpClientExchange> m_exchange;
    Held m_held;
    /// Set while a head is read.
    std::optional<HttpAnswerHeadCheck> m_headCheck;
    /// Set while a chunked body is read.
    std::optional<HttpChunkCheck> m_chunkCheck;
    /// Bytes at the end of the input that no check has seen.
    size_t m_uncheckedBytes = 0;
    std::optional<HttpClientError> m_error;
    bool m_isStarting = false;
    bool m_wasRefused = false;
    bool m_hasHeaders = false;
    bool m_hasMalformedInput = false;
    /// Whether the connection broke while the request was sent.
    bool m_wasCutShort = false;
    /// Whether only the end of the connection marks the end of the answer's body.
    bool m_endsWithConnection = false;
    bool m_isReusable = false;
    bool m_isDisconnected = false;
    MonotonicTime m_idleSince {};
    MonotonicTime m_lastProgress {};
    /// Whether the progress timeout has passed while input was waiting in the socket.
    bool m_isReadingLate = false;
    TimerId m_connectTimer = 0;
    TimerId m_progressTimer = 0;
    TimerId m_resumeTimer = 0;
    TimerId m_totalTimer = 0;
    /// Interim answers before the final one.
    int m_interimAnswers = 0;
    /// Whether the connection has carried a request whose answer states the length of a body that it hasn't.
    bool m_hasCarriedHead = false;
    /// Bytes of a dropped answer that are still to come.
    size_t m_bytesToDrop = 0;
    CarriedIds m_carriedIds;
};

} // namespace lacewing
