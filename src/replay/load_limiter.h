#pragma once

#include "base/clock.h"

#include <algorithm>

namespace lacewing {

/// The fleet-wide limits on adapter loads: a token bucket, and a number in flight.
class LoadLimiter {
public:
    LoadLimiter(double loadsPerSecond, double burst, int maximumInFlight)
        : m_rate(loadsPerSecond)
        , m_burst(burst)
        , m_level(burst)
        , m_maximumInFlight(maximumInFlight)
    {
    }

    /// @return the number of loads that may start now.
    double available(MonotonicTime now)
    {
        refill(now);
        return std::min(m_level, static_cast<double>(m_maximumInFlight - m_inFlight));
    }

    /// Takes one load from the bucket.
    void take(MonotonicTime now)
    {
        refill(now);
        m_level -= 1;
    }

    /// @return how long the load takes: longer if more than the maximum are in flight.
    Duration begin(Duration loadTime)
    {
        ++m_inFlight;
        const double crowding = std::max(1.0, static_cast<double>(m_inFlight) / m_maximumInFlight);
        return Duration(static_cast<Duration::rep>(static_cast<double>(loadTime.count()) * crowding));
    }

    void end() { --m_inFlight; }

private:
    void refill(MonotonicTime now)
    {
        m_level = std::min(m_burst, m_level + m_rate * toSeconds(now - m_refilledAt));
        m_refilledAt = now;
    }

    double m_rate;
    double m_burst;
    double m_level;
    int m_maximumInFlight;
    int m_inFlight = 0;
    MonotonicTime m_refilledAt;
};

} // namespace lacewing
