#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <vector>

namespace lacewing {

/// An adapter that may be evicted. It has no reference and no request waits for it.
struct EvictionCandidate {
    AdapterKey adapter;
    MonotonicTime lastUse;
};

/// Chooses the adapter to evict from an engine when another adapter needs a slot.
class EvictionPolicy {
public:
    virtual ~EvictionPolicy() = default;

    /// Records one request for an adapter, whether it is resident or not.
    virtual void recordUse(const AdapterKey& adapter, MonotonicTime now) = 0;

    /// @return the estimated cost of evicting the adapter, in requests per second.
    virtual double value(const EvictionCandidate& candidate, MonotonicTime now) const = 0;

    /// @param candidates must not be empty.
    /// @return the index of the candidate with the lowest value; ties go to the least recently used one.
    size_t choose(const std::vector<EvictionCandidate>& candidates, MonotonicTime now) const;
};

} // namespace lacewing
