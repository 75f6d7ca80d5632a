#include "coordination/lru_eviction.h"

#include <algorithm>

namespace lacewing {

double LruEviction::value(const EvictionCandidate& candidate, MonotonicTime now) const
{
    return 1 / std::max(toSeconds(now - candidate.lastUse), 1e-9);
}

} // namespace lacewing
