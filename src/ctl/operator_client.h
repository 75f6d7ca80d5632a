#pragma once

#include "base/clock.h"
#include "protocol/operator_api.h"
#include "transport/http_message.h"

#include <memory>
#include <optional>
#include <string>

namespace lacewing {

class EventLoop;
class HttpClient;

/// Why a call to a daemon gave no usable answer.
enum class OperatorClientError {
    /// The daemon was not reached; it has not seen the request.
    Unreachable,
    /// The request was sent, but no answer came.
    NoAnswer,
    /// The daemon refused the secret.
    Unauthorized,
    /// The answer was not of the expected form or status.
    Invalid,
};

/// Calls the operator interface of one daemon. Each call runs the loop until it has its answer.
class OperatorClient {
public:
    /// @param loop must outlive the client.
    OperatorClient(EventLoop& loop, SocketAddress server, std::string secret, Duration timeout);
    ~OperatorClient();

    std::optional<OperatorStatus> status();
    std::optional<OperatorConfiguration> configuration();
    std::optional<OperatorSubmitAnswer> submit(const OperatorSubmitRequest& request);
    /// Runs the loop for a while.
    void wait(Duration duration);

    OperatorClientError lastErrorKind() const { return m_lastErrorKind; }
    const std::string& lastError() const { return m_lastError; }

private:
    struct Answer {
        int status = 0;
        std::string body;
    };

    std::optional<Answer> call(const std::string& method, const std::string& path, const std::string& body);
    template <typename Value> std::optional<Value> take(std::optional<Value> value);
    void fail(OperatorClientError kind, std::string message);

    EventLoop& m_loop;
    std::unique_ptr<HttpClient> m_client;
    SocketAddress m_server;
    std::string m_secret;
    Duration m_timeout;
    OperatorApi m_api;
    OperatorClientError m_lastErrorKind = OperatorClientError::Invalid;
    std::string m_lastError;
};

} // namespace lacewing
