#pragma once

#include "base/clock.h"
#include "transport/http_message.h"

#include <functional>
#include <memory>

namespace lacewing {

class EventLoop;

/// Tries whether connections to servers can be made.
class ConnectionProber {
public:
    using Callback = std::function<void(bool isConnected)>;

    virtual ~ConnectionProber() = default;

    /// Makes a connection and closes it without sending anything.
    ///
    /// @param timeout time after which the attempt counts as failed.
    /// @param callback called once in a later round of the loop, unless the prober is destroyed before.
    virtual void probe(const SocketAddress& server, Duration timeout, Callback callback) = 0;
};

/// @param loop must outlive the prober.
std::unique_ptr<ConnectionProber> createTcpProber(EventLoop& loop);

} // namespace lacewing
