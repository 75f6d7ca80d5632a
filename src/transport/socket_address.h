#pragma once

#include "transport/http_message.h"

#include <sys/socket.h>

#include <optional>

namespace lacewing {

/// An address in the form that system calls take.
struct NativeAddress {
    sockaddr_storage storage {};
    socklen_t size = 0;

    sockaddr* pointer() { return reinterpret_cast<sockaddr*>(&storage); }
    const sockaddr* pointer() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

/// @return nothing if the address does not hold an IP number.
std::optional<NativeAddress> toNative(const SocketAddress& address);
/// @return the address that a socket is bound to.
SocketAddress boundAddress(int socket);

} // namespace lacewing
