#pragma once

#include "base/clock.h"
#include "base/memory_account.h"
#include "transport/http_message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lacewing {

class EventLoop;

/// What marks the end of a streamed answer for the client.
enum class StreamEnd {
    /// The last chunk. Clients of HTTP/1.0 know no chunks, for them it is the end of the connection.
    LastChunk,
    /// The end of the connection, which does not tell the client that the answer is whole.
    ConnectionClose,
};

/// One request that is being served, together with its answer. Kept alive by the handler through a shared
/// pointer. After the client has left, all sending calls do nothing.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const std::string& method() const = 0;
    /// @return the path without the query.
    virtual const std::string& path() const = 0;
    /// @return the raw query without the question mark.
    virtual const std::string& query() const = 0;
    virtual const HttpHeaders& headers() const = 0;
    virtual const std::string& body() const = 0;
    /// @return the body for those who need it longer than the exchange.
    virtual std::shared_ptr<const std::string> sharedBody() const
    {
        return std::make_shared<const std::string>(body());
    }
    virtual const std::string& remoteIp() const = 0;

    /// Sends a whole answer.
    virtual void reply(int status, const HttpHeaders& headers, std::string_view body) = 0;
    /// Starts an answer in chunks.
    void startStream(int status, const HttpHeaders& headers)
    {
        startStream(status, headers, StreamEnd::LastChunk);
    }
    /// Starts an answer whose body is sent in pieces.
    virtual void startStream(int status, const HttpHeaders& headers, StreamEnd end) = 0;
    virtual void sendChunk(std::string_view bytes) = 0;
    virtual void endStream() = 0;
    /// Closes the connection at once, so that the client sees a cut-off answer and not a complete one.
    virtual void abort() = 0;

    /// @return bytes accepted by sendChunk() that the client's socket has not taken yet.
    virtual size_t bufferedBytes() const = 0;
    /// @return false once the client has left or the answer is complete.
    virtual bool isOpen() const = 0;
    /// Called once if the client leaves, or stops reading for the write timeout, before the answer is
    /// complete.
    virtual void onClientLeft(std::function<void()> callback) = 0;
    /// Called each time bufferedBytes() reaches 0.
    virtual void onDrained(std::function<void()> callback) = 0;
};

/// Limits on what clients send, which may change while the server runs.
struct HttpServerLimits {
    size_t maximumHeaderBytes = 32 * 1024;
    size_t maximumBodyBytes = 8 * 1024 * 1024;
    /// Time in which a client must send each further part of a request, and may keep an idle connection open.
    Duration readTimeout = std::chrono::seconds(30);
    /// Time in which a client must send a whole head, from its first byte on.
    Duration headTimeout = std::chrono::seconds(30);
};

/// Limits and timeouts of a server.
struct HttpServerOptions : HttpServerLimits {
    SocketAddress address { "127.0.0.1", 0 };
    /// Time without progress after which a client that does not read is disconnected.
    Duration writeTimeout = std::chrono::seconds(30);
    /// Counts what requests and answers take; must outlive the server. A request whose body would take more
    /// than bodyShare of its limit with all that is held is refused with 503 before the body is read. Null if
    /// nobody counts.
    MemoryAccount* memory = nullptr;
    double bodyShare = 1;
};

/// HTTP/1.1 server on an event loop. Malformed, oversized or ambiguous requests (for example conflicting
/// Content-Length fields) are answered with a 4xx status and never reach the handler.
class HttpServer {
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;
    /// Called for each request that the server itself refused, with the reason in snake_case.
    using RejectionObserver = std::function<void(const std::string& reason)>;

    virtual ~HttpServer() = default;

    /// Starts to listen.
    ///
    /// @param loop must outlive the server.
    /// @param error receives the reason if the address can't be bound.
    /// @return nothing if the address can't be bound.
    static std::unique_ptr<HttpServer> listen(EventLoop& loop, const HttpServerOptions& options,
        Handler handler, RejectionObserver observer, std::string& error);

    /// @return the address with the port that was bound.
    virtual SocketAddress address() const = 0;
    /// Takes over other limits. Those on the head hold for new connections, the others for each next request.
    virtual void setLimits(const HttpServerLimits& limits) = 0;
    /// Closes the connections of clients that have taken nothing of what waits for them for some time.
    ///
    /// @return the number of connections that were closed.
    virtual size_t closeStalled(Duration stall) = 0;
    /// Answers each further request with "Connection: close", and closes connections that are idle.
    virtual void beginDrain() = 0;
    /// Stops to accept connections.
    virtual void stopListening() = 0;
    virtual size_t openExchangeCount() const = 0;
    virtual size_t openConnectionCount() const = 0;
};

} // namespace lacewing
