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

/// @param result receives the address.
/// @return the length of the result, or 0 if the address is not an IP number.
socklen_t toSystemAddress(const SocketAddress& address, sockaddr_storage& result);

/// @param address an IPv4 or IPv6 address.
SocketAddress fromSystemAddress(const sockaddr* address);

/// @return the address that a socket is bound to.
SocketAddress boundAddress(int socket);

/// Sends small writes on a TCP socket at once.
void disableDelay(int socket);

/// @return number of bytes that were written to a connection and that its peer has not acknowledged; 0 if the
/// system can't tell.
size_t unacknowledgedBytes(int socket);

/// @return whether bytes wait to be read from a connection.
bool hasUnreadInput(int socket);

} // namespace lacewing
