#pragma once

#include "protocol/operator_api.h"
#include "transport/http_server.h"

#include <memory>
#include <string>

namespace lacewing {

class Daemon;

/// Routes HTTP requests by path: health, metrics, host discovery and the operator API are handled here, all
/// others are callers' requests.
class DaemonHttp {
public:
    /// @param daemon must outlive the object.
    explicit DaemonHttp(Daemon& daemon)
        : m_daemon(daemon)
    {
    }

    void handle(const std::shared_ptr<HttpExchange>& exchange);

private:
    void sendHosts(HttpExchange& exchange);
    void handleOperator(const std::shared_ptr<HttpExchange>& exchange);
    bool isOperator(const HttpExchange& exchange) const;
    void sendStatus(HttpExchange& exchange);
    void sendConfiguration(HttpExchange& exchange);
    void submit(const std::shared_ptr<HttpExchange>& exchange);
    std::optional<int64_t> headAgeMs() const;
    std::vector<OperatorHostStatus> hostStatus() const;
    std::vector<OperatorUpstreamStatus> upstreamStatus() const;

    Daemon& m_daemon;
};

} // namespace lacewing
