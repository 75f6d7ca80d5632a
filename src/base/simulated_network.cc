#include "base/simulated_network.h"

#include <algorithm>
#include <utility>

namespace lacewing {

SimulatedNetwork::SimulatedNetwork(Scheduler& scheduler, uint64_t seed)
    : m_scheduler(scheduler)
    , m_random(seed)
{
}

void SimulatedNetwork::send(const HostId& from, const HostId& to, std::function<void()> deliver)
{
    ++m_sentCount;
    if (m_random.chance(m_duplicationProbability))
        deliverLater(from, to, deliver);
    if (m_random.chance(m_lossProbability))
        return;
    deliverLater(from, to, deliver);
}

void SimulatedNetwork::setDelay(Duration shortest, Duration longest)
{
    m_shortestDelay = shortest;
    m_longestDelay = longest;
}

void SimulatedNetwork::setConnected(const HostId& a, const HostId& b, bool connected)
{
    const auto pair = std::minmax(a, b);
    if (connected)
        m_disconnectedPairs.erase({ pair.first, pair.second });
    else
        m_disconnectedPairs.insert({ pair.first, pair.second });
}

void SimulatedNetwork::setPaused(const HostId& host, bool paused)
{
    if (paused) {
        m_paused.insert(host);
        return;
    }
    m_paused.erase(host);
    for (std::function<void()>& deliver : std::exchange(m_deferredDeliveries[host], {}))
        m_scheduler.runAfter(Duration::zero(), std::move(deliver));
}

void SimulatedNetwork::crash(const HostId& host)
{
    ++m_epochs[host];
    m_deferredDeliveries.erase(host);
    m_paused.erase(host);
}

void SimulatedNetwork::deliverLater(
    const HostId& from, const HostId& to, const std::function<void()>& deliver)
{
    const auto spread = static_cast<uint64_t>((m_longestDelay - m_shortestDelay).count());
    const Duration delay = m_shortestDelay + Duration(static_cast<int64_t>(m_random.below(spread + 1)));
    m_scheduler.runAfter(delay, [this, from, to, epoch = m_epochs[to], deliver] {
        if (isConnected(from, to))
            arrive(to, epoch, deliver);
    });
}

void SimulatedNetwork::arrive(const HostId& to, uint64_t epoch, const std::function<void()>& deliver)
{
    if (m_epochs[to] != epoch)
        return;
    if (isPaused(to)) {
        m_deferredDeliveries[to].push_back(deliver);
        return;
    }
    deliver();
}

bool SimulatedNetwork::isConnected(const HostId& a, const HostId& b) const
{
    const auto pair = std::minmax(a, b);
    return m_disconnectedPairs.count({ pair.first, pair.second }) == 0;
}

} // namespace lacewing
