#include "coordination/cost_aware_eviction.h"

namespace lacewing {

CostAwareEviction::CostAwareEviction(Options options)
    : m_fast(options.fastTimeConstant)
    , m_slow(options.slowTimeConstant)
{
}

void CostAwareEviction::recordUse(const AdapterKey& adapter, MonotonicTime now)
{
    m_fast.record(adapter, now);
    m_slow.record(adapter, now);
}

size_t CostAwareEviction::choose(const std::vector<EvictionCandidate>& candidates, MonotonicTime now) const
{
    size_t best = 0;
    double least = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const AdapterKey& adapter = candidates[i].adapter;
        const double rate = m_fast.rate(adapter, now) + m_slow.rate(adapter, now);
        const bool older = candidates[i].lastUse < candidates[best].lastUse;
        if (i > 0 && (rate > least || (rate == least && !older)))
            continue;
        best = i;
        least = rate;
    }
    return best;
}

} // namespace lacewing
