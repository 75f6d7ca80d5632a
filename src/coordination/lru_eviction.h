#pragma once

#include "coordination/eviction_policy.h"

namespace lacewing {

/// The baseline: evicts the adapter that was used least recently.
class LruEviction : public EvictionPolicy {
public:
    void recordUse(const AdapterKey&, MonotonicTime) override { }
    size_t choose(const std::vector<EvictionCandidate>& candidates, MonotonicTime now) const override;
};

} // namespace lacewing
