#pragma once

#include "fuzz/fuzz_target.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"

#include <memory>

namespace lacewing::fuzz {

/// Sends raw bytes to an HTTP server over a loopback connection. For any input, the server must send an HTTP
/// response or close the connection.
class HttpRequestTarget : public FuzzTarget {
public:
    /// @param error receives the reason if the server can't listen.
    /// @return the target, or null on failure.
    static std::unique_ptr<HttpRequestTarget> create(std::string& error);

    std::string name() const override { return "http-request"; }
    std::optional<std::string> run(std::string_view input) override;

private:
    HttpRequestTarget() = default;

    std::string sendAndReceive(int socket, std::string_view input);

    EventLoop m_loop;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace lacewing::fuzz
