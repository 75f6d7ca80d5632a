#pragma once

#include "fuzz/fuzz_target.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"

#include <memory>

namespace lacewing::fuzz {

/// Heads and bodies of callers' requests, as bytes on a connection. Whatever comes, the server answers in the
/// protocol or closes the connection.
class HttpRequestTarget : public FuzzTarget {
public:
    /// @param error why the server could not listen.
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
