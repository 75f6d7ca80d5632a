#include "coordination/eviction_policy.h"

namespace lacewing {

size_t EvictionPolicy::choose(const std::vector<EvictionCandidate>& candidates, MonotonicTime now) const
{
    size_t best = 0;
    double least = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const double value = this->value(candidates[i], now);
        const bool older = candidates[i].lastUse < candidates[best].lastUse;
        if (i > 0 && (value > least || (value == least && !older)))
            continue;
        best = i;
        least = value;
    }
    return best;
}

} // namespace lacewing
