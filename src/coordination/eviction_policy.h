#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <vector>

namespace lacewing {

/// An adapter that may be evicted: it has no reference and no request waits for it.
struct EvictionCandidate {
    AdapterKey adapter;
    MonotonicTime lastUse;
};

/// Chooses which adapter of an engine gives way when another one needs its slot.
class EvictionPolicy {
public:
    virtual ~EvictionPolicy() = default;

    /// Counts one request for an adapter, whether it is resident or not.
    virtual void recordUse(const AdapterKey& adapter, MonotonicTime now) = 0;

    /// @param candidates at least one.
    /// @return the index of the candidate to evict.
    virtual size_t choose(const std::vector<EvictionCandidate>& candidates, MonotonicTime now) const = 0;
};

} // namespace lacewing
