#include "fuzz/http_request_target.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace lacewing::fuzz {

namespace {

constexpr int statusOk = 200;
/// Accepts both minor versions, since an HTTP/1.0 request gets an HTTP/1.0 response.
constexpr std::string_view statusLinePrefix = "HTTP/1.";
/// Longest time that the server waits for the rest of a request.
constexpr Duration headTimeout = std::chrono::milliseconds(5);
constexpr Duration maximumExchangeTime = std::chrono::milliseconds(200);
constexpr Duration readInterval = std::chrono::milliseconds(1);

int connectTo(const SocketAddress& address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
    if (socket >= 0 && ::connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0)
        return socket;
    ::close(socket);
    return -1;
}

} // namespace

std::unique_ptr<HttpRequestTarget> HttpRequestTarget::create(std::string& error)
{
    std::unique_ptr<HttpRequestTarget> target(new HttpRequestTarget());
    HttpServerOptions options;
    options.address = { "127.0.0.1", 0 };
    target->m_server = HttpServer::listen(
        target->m_loop, options,
        [](const std::shared_ptr<HttpExchange>& exchange) {
            exchange->reply(statusOk, {}, exchange->body());
        },
        [](const std::string&) {}, error);
    if (!target->m_server)
        return nullptr;
    HttpServerLimits limits;
    limits.headTimeout = headTimeout;
    limits.readTimeout = headTimeout;
    target->m_server->setLimits(limits);
    return target;
}

std::optional<std::string> HttpRequestTarget::run(std::string_view input)
{
    const int socket = connectTo(m_server->address());
    if (socket < 0)
        return "could not connect to the server";
    const std::string answer = sendAndReceive(socket, input);
    ::close(socket);
    if (!answer.empty() && answer.compare(0, statusLinePrefix.size(), statusLinePrefix) != 0)
        return "the response is not valid HTTP: " + answer.substr(0, 60);
    return std::nullopt;
}

std::string HttpRequestTarget::sendAndReceive(int socket, std::string_view input)
{
    static_cast<void>(::send(socket, input.data(), input.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
    ::shutdown(socket, SHUT_WR);
    std::string answer;
    const MonotonicTime end = m_loop.now() + maximumExchangeTime;
    std::function<void()> read = [&] {
        std::array<char, 4096> buffer {};
        ssize_t count = 0;
        while ((count = ::recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0)
            answer.append(buffer.data(), static_cast<size_t>(count));
        const bool isOpen = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        if (isOpen && m_loop.now() < end)
            m_loop.runAfter(readInterval, read);
        else
            m_loop.stop();
    };
    m_loop.runAfter(Duration::zero(), read);
    m_loop.run();
    return answer;
}

} // namespace lacewing::fuzz
