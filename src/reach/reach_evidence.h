#pragma once

#include "base/clock.h"
#include "transport/http_message.h"

#include <cstdint>
#include <map>
#include <optional>

namespace lacewing::reach {

/// Identifies an exchange with an upstream within the process.
using ExchangeNumber = uint64_t;

/// Collects what a host's exchanges with upstreams show about its links to them.
///
/// Load pattern: all links of a host to the upstreams are cut, while callers, the store and other hosts still
/// reach it. Connections hang, are reset, or live on while new ones are refused. One upstream that fails or
/// falls silent is no sign of that.
///
/// Has no clock and does no I/O.
class ReachEvidence {
public:
    ExchangeNumber began(const SocketAddress& server, MonotonicTime now);
    /// Bytes of the response have arrived.
    void heard(ExchangeNumber exchange, MonotonicTime now);
    /// The host has stopped or resumed reading the response, whose silence says nothing meanwhile.
    void setPaused(ExchangeNumber exchange, bool isPaused, MonotonicTime now);
    void ended(ExchangeNumber exchange) { m_exchanges.erase(exchange); }
    void connectFailed(const SocketAddress& server, MonotonicTime now);
    /// Some upstream has accepted a connection.
    void connected(MonotonicTime now) { m_lastHeard = now; }
    /// Forgets failures, once the links are known to be whole.
    void forgetFailures() { m_failures.clear(); }

    /// @param upstreams number of upstreams that the host knows.
    /// @return whether the links to all upstreams may be cut, so that it is worth trying them.
    bool isSuspicious(size_t upstreams, MonotonicTime now) const;
    /// @return time since an upstream was last heard; nothing if none was.
    std::optional<Duration> heardAge(MonotonicTime now) const;
    /// @return the number of servers that owe bytes of a response for some time.
    size_t silentServers(MonotonicTime now) const;
    /// @return the number of servers to which a connection failed a short time ago.
    size_t failedServers(MonotonicTime now) const;

private:
    struct Exchange {
        SocketAddress server;
        MonotonicTime lastActivity;
        bool isPaused = false;
    };

    ExchangeNumber m_next = 1;
    std::map<ExchangeNumber, Exchange> m_exchanges;
    /// The last failure to connect to each server, of a short time.
    std::map<SocketAddress, MonotonicTime> m_failures;
    std::optional<MonotonicTime> m_lastHeard;
};

} // namespace lacewing::reach
