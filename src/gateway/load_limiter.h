#pragma once

#include "base/clock.h"

#include <algorithm>

namespace lacewing::gateway {

/// Bounds how many adapters this host's engines fetch from the weight store at the same time.
///
/// Load pattern: after a cold start or a shift of popularity all engines want adapters at once. The store
/// serves only so many fetches at full speed and slows all of them down beyond that, so that more fetches at
/// a time bring none earlier and all late. The bound falls when fetches take longer than they did alone and
/// grows while they don't, so that the hosts together settle where the store is just busy.
class LoadLimiter {
public:
    bool mayStart() const { return m_inFlight < static_cast<int>(m_limit); }
    void started() { ++m_inFlight; }
    /// A fetch has ended without telling how long fetches take.
    void abandoned() { --m_inFlight; }
    void finished(Duration took)
    {
        --m_inFlight;
        // A fetch that took hardly any time came from a copy at the engine.
        if (took < shortestFetch)
            return;
        m_alone = std::min(m_alone + m_alone / ageing, took);
        if (took > slowFactor * m_alone)
            m_limit = std::max(lowest, m_limit * decrease);
        else
            m_limit = std::min(highest, m_limit + increase / m_limit);
    }

    /// @return how long one fetch takes while the store is not busy.
    Duration fetchTime() const { return m_alone; }
    double limit() const { return m_limit; }

private:
    static constexpr Duration shortestFetch = std::chrono::milliseconds(80);
    static constexpr double lowest = 1;
    static constexpr double highest = 64;
    static constexpr double initial = 2;
    static constexpr double increase = 0.25;
    static constexpr double decrease = 0.7;
    static constexpr double slowFactor = 1.35;
    /// The fastest fetch is forgotten slowly, by one part in so many with each fetch.
    static constexpr int ageing = 200;

    int m_inFlight = 0;
    double m_limit = initial;
    Duration m_alone = std::chrono::milliseconds(250);
};

} // namespace lacewing::gateway
