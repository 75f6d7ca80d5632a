#include "reach/reach_evidence.h"

#include <algorithm>
#include <set>

namespace lacewing::reach {

namespace {

/// Engines may take this long for the first event of a stream, or between two events.
constexpr Duration silenceTime = std::chrono::milliseconds(500);
/// Failures to connect count for this time.
constexpr Duration failureTime = std::chrono::milliseconds(1000);
/// A single upstream may be down or stand still.
constexpr size_t fewestServers = 2;

} // namespace

ExchangeNumber ReachEvidence::began(const SocketAddress& server, MonotonicTime now)
{
    m_exchanges.emplace(m_next, Exchange { server, now, false });
    return m_next++;
}

void ReachEvidence::heard(ExchangeNumber exchange, MonotonicTime now)
{
    m_lastHeard = now;
    const auto found = m_exchanges.find(exchange);
    if (found != m_exchanges.end())
        found->second.lastActivity = now;
}

void ReachEvidence::setPaused(ExchangeNumber exchange, bool isPaused, MonotonicTime now)
{
    const auto found = m_exchanges.find(exchange);
    if (found == m_exchanges.end())
        return;
    found->second.isPaused = isPaused;
    found->second.lastActivity = now;
}

void ReachEvidence::connectFailed(const SocketAddress& server, MonotonicTime now)
{
    for (auto failure = m_failures.begin(); failure != m_failures.end();)
        failure = now - failure->second < failureTime ? std::next(failure) : m_failures.erase(failure);
    m_failures[server] = now;
}

std::optional<Duration> ReachEvidence::heardAge(MonotonicTime now) const
{
    return m_lastHeard ? std::make_optional<Duration>(now - *m_lastHeard) : std::nullopt;
}

size_t ReachEvidence::silentServers(MonotonicTime now) const
{
    std::set<SocketAddress> silent;
    for (const auto& [number, exchange] : m_exchanges) {
        if (!exchange.isPaused && now - exchange.lastActivity > silenceTime)
            silent.insert(exchange.server);
    }
    return silent.size();
}

size_t ReachEvidence::failedServers(MonotonicTime now) const
{
    return static_cast<size_t>(std::count_if(m_failures.begin(), m_failures.end(),
        [now](const auto& failure) { return now - failure.second < failureTime; }));
}

bool ReachEvidence::isSuspicious(size_t upstreams, MonotonicTime now) const
{
    const size_t needed = std::min(fewestServers, upstreams);
    if (needed == 0)
        return false;
    // Connections that were made before may live on while new ones fail.
    if (failedServers(now) >= needed)
        return true;
    const bool isAllSilent = !m_lastHeard || now - *m_lastHeard > silenceTime;
    return isAllSilent && silentServers(now) >= needed;
}

} // namespace lacewing::reach
