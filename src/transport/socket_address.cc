#include "transport/socket_address.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace lacewing {

socklen_t toSystemAddress(const SocketAddress& address, sockaddr_storage& result)
{
    result = {};
    auto* v4 = reinterpret_cast<sockaddr_in*>(&result);
    if (inet_pton(AF_INET, address.ip.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(address.port);
        return sizeof(*v4);
    }
    result = {};
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&result);
    if (inet_pton(AF_INET6, address.ip.c_str(), &v6->sin6_addr) != 1)
        return 0;
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(address.port);
    return sizeof(*v6);
}

std::optional<NativeAddress> toNative(const SocketAddress& address)
{
    NativeAddress native;
    native.size = toSystemAddress(address, native.storage);
    if (native.size == 0)
        return std::nullopt;
    return native;
}

SocketAddress fromSystemAddress(const sockaddr* address)
{
    char text[INET6_ADDRSTRLEN] = "";
    SocketAddress result;
    if (address->sa_family == AF_INET) {
        const auto* v4 = reinterpret_cast<const sockaddr_in*>(address);
        inet_ntop(AF_INET, &v4->sin_addr, text, sizeof(text));
        result.port = ntohs(v4->sin_port);
    } else {
        const auto* v6 = reinterpret_cast<const sockaddr_in6*>(address);
        inet_ntop(AF_INET6, &v6->sin6_addr, text, sizeof(text));
        result.port = ntohs(v6->sin6_port);
    }
    result.ip = text;
    return result;
}

SocketAddress boundAddress(int socket)
{
    NativeAddress native;
    native.size = sizeof(native.storage);
    if (getsockname(socket, native.pointer(), &native.size) != 0)
        return {};
    return fromSystemAddress(native.pointer());
}

void disableDelay(int socket)
{
    const int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

size_t unacknowledgedBytes(int socket)
{
    int bytes = 0;
    if (ioctl(socket, SIOCOUTQ, &bytes) != 0 || bytes < 0)
        return 0;
    return static_cast<size_t>(bytes);
}

bool hasUnreadInput(int socket)
{
    char byte = 0;
    return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

} // namespace lacewing
