#pragma once

#include "transport/http_message.h"

#include <sys/socket.h>

namespace lacewing {

/// @param result receives the address.
/// @return the length of the result, or 0 if the address is not an IP number.
socklen_t toSystemAddress(const SocketAddress& address, sockaddr_storage& result);

/// @param address an IPv4 or IPv6 address.
SocketAddress fromSystemAddress(const sockaddr* address);

/// Sends small writes on a TCP socket at once.
void disableDelay(int socket);

} // namespace lacewing
