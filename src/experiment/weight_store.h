#pragma once

#include "experiment/fleet_shape.h"

namespace lacewing::experiment {

/// The store that engines fetch adapters from. Fetches beyond a number slow all of them down in proportion.
class WeightStore {
public:
    explicit WeightStore(const FleetShape& shape)
        : m_fetchTime(shape.coldLoadTime)
        , m_fullSpeedFetches(shape.fullSpeedLoads)
    {
    }

    /// @param factor by which fetches take longer from now on.
    void setSlowness(int factor) { m_slowness = factor; }

    /// @return how long the fetch that begins now takes.
    Duration begin()
    {
        ++m_inFlight;
        ++m_fetches;
        const Duration alone = m_fetchTime * m_slowness;
        return m_inFlight <= m_fullSpeedFetches ? alone : alone * m_inFlight / m_fullSpeedFetches;
    }
    void ended() { --m_inFlight; }

    /// @return how many fetches have begun.
    int fetches() const { return m_fetches; }

private:
    Duration m_fetchTime;
    int m_fullSpeedFetches;
    int m_slowness = 1;
    int m_inFlight = 0;
    int m_fetches = 0;
};

} // namespace lacewing::experiment
