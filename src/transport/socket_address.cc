#include "transport/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>

namespace lacewing {

std::optional<NativeAddress> toNative(const SocketAddress& address)
{
    NativeAddress native;
    auto* four = reinterpret_cast<sockaddr_in*>(&native.storage);
    if (inet_pton(AF_INET, address.ip.c_str(), &four->sin_addr) == 1) {
        four->sin_family = AF_INET;
        four->sin_port = htons(address.port);
        native.size = sizeof(sockaddr_in);
        return native;
    }
    auto* six = reinterpret_cast<sockaddr_in6*>(&native.storage);
    if (inet_pton(AF_INET6, address.ip.c_str(), &six->sin6_addr) != 1)
        return std::nullopt;
    six->sin6_family = AF_INET6;
    six->sin6_port = htons(address.port);
    native.size = sizeof(sockaddr_in6);
    return native;
}

SocketAddress boundAddress(int socket)
{
    NativeAddress native;
    native.size = sizeof(native.storage);
    if (getsockname(socket, native.pointer(), &native.size) != 0)
        return {};
    std::array<char, INET6_ADDRSTRLEN> text {};
    if (native.storage.ss_family == AF_INET) {
        const auto* four = reinterpret_cast<const sockaddr_in*>(&native.storage);
        inet_ntop(AF_INET, &four->sin_addr, text.data(), text.size());
        return { text.data(), ntohs(four->sin_port) };
    }
    const auto* six = reinterpret_cast<const sockaddr_in6*>(&native.storage);
    inet_ntop(AF_INET6, &six->sin6_addr, text.data(), text.size());
    return { text.data(), ntohs(six->sin6_port) };
}

} // namespace lacewing
