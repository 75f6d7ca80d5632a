#pragma once

#include "base/clock.h"
#include "transport/http_message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lacewing {

class EventLoop;

/// Why a request failed in transport.
enum class HttpClientError {
    /// No connection was made; nothing was sent.
    ConnectFailed,
    /// The server refused the connection; nothing was sent.
    ConnectionRefused,
    /// The connection broke.
    ConnectionLost,
    /// No progress, or no end of the answer, within the timeout.
    TimedOut,
    /// The server's answer was not valid HTTP or too large.
    InvalidAnswer,
    /// cancel() was called.
    Cancelled,
};

/// @return the error's name in snake_case, for logs and metrics.
const char* toString(HttpClientError error);

struct HttpClientRequest {
    SocketAddress server;
    std::string method = "GET";
    /// Path with query.
    std::string target = "/";
    HttpHeaders headers;
    std::string body;
    /// A body that others hold, too, in place of `body`.
    std::shared_ptr<const std::string> sharedBody;
    Duration connectTimeout = std::chrono::seconds(1);
    /// Longest time without any progress; 0 for none.
    Duration progressTimeout = std::chrono::seconds(5);
    /// Longest time from the start to the end of the answer, also while it makes progress; 0 for none.
    Duration totalTimeout = Duration::zero();
    /// Never sends on a pooled connection that was idle for longer than this. Zero always makes a new one.
    Duration maximumIdleAge = std::chrono::seconds(30);
    size_t maximumAnswerBytes = 64 * 1024 * 1024;
};

/// How a request ended.
struct HttpClientResult {
    std::optional<HttpClientError> error;
    /// True if any byte of the request was handed to a connected socket. If false, the server has not seen
    /// it.
    bool requestSent = false;
    /// 0 without an answer.
    int status = 0;
    /// Whether the server sent fields outside of the answer's head, which are not delivered: in a trailer, or
    /// in an interim answer. Any interim answer but 100 counts, too.
    bool hasFieldsOutsideHead = false;
    /// Answers to earlier requests on the connection that came once more before this one, and were dropped.
    int droppedAnswers = 0;
};

/// Receives the answer. A body arrives in pieces; the callbacks must not destroy the client.
struct HttpClientHandlers {
    std::function<void(int status, const HttpHeaders& headers)> onHeaders;
    std::function<void(std::string_view bytes)> onBody;
    /// Called exactly once, after all other callbacks. Never called inside send().
    std::function<void(const HttpClientResult& result)> onDone;
};

/// One request on its way. Destroying the handle cancels the request without further callbacks.
class HttpClientCall {
public:
    virtual ~HttpClientCall() = default;

    /// Closes the connection. onDone is called with Cancelled in the next round of the loop.
    virtual void cancel() = 0;
    /// Stops reading from the socket, so that the server is slowed down; the progress timeout is suspended.
    virtual void pauseReading() = 0;
    virtual void resumeReading() = 0;
    /// @return whether the request was sent on a connection that has carried a request before.
    virtual bool isOnReusedConnection() const = 0;
    /// @return whether an idle connection to the server had carried a request of the same id.
    virtual bool isIdRepeated() const { return false; }
};

/// HTTP/1.1 client with a connection pool per server, on an event loop.
class HttpClient {
public:
    virtual ~HttpClient() = default;

    /// @param loop must outlive the client and all calls.
    /// @param idField header field that names a request, and that servers repeat in their answers; empty if
    /// requests have no ids.
    static std::unique_ptr<HttpClient> create(EventLoop& loop, std::string idField = "");

    /// Sends a request. A request is never sent twice by the client itself.
    virtual std::unique_ptr<HttpClientCall> send(HttpClientRequest request, HttpClientHandlers handlers) = 0;

    /// Closes the idle connections to a server.
    virtual void closeIdle(const SocketAddress& server) = 0;

    /// @return connections that are open, idle or in use.
    virtual size_t connectionCount() const = 0;
};

} // namespace lacewing
