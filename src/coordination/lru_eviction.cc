#include "coordination/lru_eviction.h"

#include <algorithm>

namespace lacewing {

size_t LruEviction::choose(const std::vector<EvictionCandidate>& candidates, MonotonicTime) const
{
    const auto oldest = std::min_element(candidates.begin(), candidates.end(),
        [](const EvictionCandidate& a, const EvictionCandidate& b) { return a.lastUse < b.lastUse; });
    return static_cast<size_t>(oldest - candidates.begin());
}

} // namespace lacewing
