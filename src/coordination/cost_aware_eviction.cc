#include "coordination/cost_aware_eviction.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

CostAwareEviction::CostAwareEviction(Options options)
    : m_options(options)
    , m_popularity(options.timeConstant)
{
}

void CostAwareEviction::recordUse(const AdapterKey& adapter, MonotonicTime now)
{
    m_popularity.record(adapter, now);
}

double CostAwareEviction::value(const EvictionCandidate& candidate, MonotonicTime now) const
{
    const double idle = toSeconds(std::max(now - candidate.lastUse, Duration::zero()));
    // Uses the rate at the time of the last use, so that the idle time is not counted twice, by the decay and
    // by the excess.
    const double rate = m_popularity.rate(candidate.adapter, std::min(now, candidate.lastUse));
    const double excess = std::max(0.0, rate * idle - m_options.idleGaps);
    return m_popularity.rate(candidate.adapter, now) * std::exp(-excess);
}

} // namespace lacewing
