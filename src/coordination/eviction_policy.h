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

    /// @return how much is lost if the adapter is evicted, as an estimate of requests a second.
    virtual double value(const EvictionCandidate& candidate, MonotonicTime now) const = 0;

    /// @param candidates at least one.
    /// @return the index of the candidate with the lowest value; among equal ones the least recently used.
    size_t choose(const std::vector<EvictionCandidate>& candidates, MonotonicTime now) const;
};

} // namespace lacewing
