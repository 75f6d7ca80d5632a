#pragma once

#include "base/clock.h"

#include <algorithm>
#include <unordered_map>

namespace lacewing::gateway {

/// Limits the concurrent adapter fetches from the weight store, over the engines of all hosts.
///
/// Load pattern: after a cold start or a shift of popularity all engines want adapters at once. The store
/// serves a limited number of fetches at full speed and slows all of them down beyond it, so more concurrent
/// fetches complete none earlier and all late. A store is sized for the engines that it serves, so the limit
/// starts in proportion to their number. It falls when fetches take longer than uncontended ones and grows
/// while they don't, so that the hosts converge on the point where the store is just saturated. Demand on
/// different hosts is correlated, so a host that has started fetches since its last heartbeat assumes that
/// its peers have done so, too.
class FetchLimiter {
public:
    bool mayStart() const { return m_inFlight == 0 || m_inFlight + expectedPeersInFlight() < m_limit; }
    int inFlight() const { return m_inFlight; }
    /// @param engines that fetch from the store, over all hosts; an increase raises the limit.
    void setEngines(size_t engines)
    {
        if (engines <= m_engines)
            return;
        m_engines = engines;
        m_limit = std::max(m_limit, static_cast<double>(engines) * initialLimitPerEngine);
    }
    /// @param fetches in progress at the engines of all other hosts, as of their last heartbeats.
    /// @param peers number of these hosts.
    void setPeersInFlight(int fetches, size_t peers)
    {
        m_peersInFlight = fetches;
        m_peers = peers;
    }
    /// Records that the number of fetches in progress here was published to the other hosts.
    void told() { m_publishedInFlight = m_inFlight; }
    void started() { ++m_inFlight; }
    /// Ends a fetch whose duration is not a valid sample.
    void abandoned() { --m_inFlight; }
    void finished(Duration took)
    {
        --m_inFlight;
        // A very short fetch was served from a cached copy at the engine.
        if (took < minimumFetchTime)
            return;
        m_uncontendedTime = std::min(m_uncontendedTime + m_uncontendedTime / baselineAgeing, took);
        if (took > slowFetchFactor * m_uncontendedTime)
            m_limit = std::max(minimumLimit, m_limit * decrease);
        else
            m_limit = std::min(maximumLimit, m_limit + increase / m_limit);
    }

    /// @return the duration of a fetch while the store is not saturated.
    Duration fetchTime() const { return m_uncontendedTime; }
    double limit() const { return m_limit; }

    /// Sets how many fetches a scheduler would like to start.
    void setDemand(const void* scheduler, int fetches)
    {
        int& wanted = m_demand[scheduler];
        m_totalDemand += fetches - wanted;
        wanted = fetches;
    }
    void forget(const void* scheduler)
    {
        setDemand(scheduler, 0);
        m_demand.erase(scheduler);
    }
    /// @return how long a further fetch is expected to wait before it starts.
    Duration expectedWait() const
    {
        const double own = std::max(1.0, m_limit - expectedPeersInFlight());
        const double ahead = std::max(0.0, m_totalDemand + m_inFlight + 1 - own);
        return std::chrono::duration_cast<Duration>(ahead / own * m_uncontendedTime);
    }

private:
    static constexpr Duration minimumFetchTime = std::chrono::milliseconds(80);
    static constexpr double minimumLimit = 4;
    static constexpr double maximumLimit = 512;
    static constexpr double initialLimit = 8;
    static constexpr double initialLimitPerEngine = 0.5;
    static constexpr double increase = 0.5;
    static constexpr double decrease = 0.95;
    static constexpr double slowFetchFactor = 1.35;
    /// The uncontended fetch time grows by one part in this many with each fetch, so that the fastest sample
    /// ages out slowly.
    static constexpr int baselineAgeing = 1000;

    /// Share of the peers that are assumed to have started a fetch at the same time and not published it yet.
    static constexpr double unpublishedShare = 0.2;

    double expectedPeersInFlight() const
    {
        const int unpublished = std::max(0, m_inFlight - m_publishedInFlight);
        return m_peersInFlight + unpublishedShare * unpublished * static_cast<double>(m_peers);
    }

    int m_inFlight = 0;
    int m_publishedInFlight = 0;
    int m_peersInFlight = 0;
    size_t m_peers = 0;
    int m_totalDemand = 0;
    std::unordered_map<const void*, int> m_demand;
    size_t m_engines = 0;
    double m_limit = initialLimit;
    Duration m_uncontendedTime = std::chrono::milliseconds(250);
};

} // namespace lacewing::gateway
