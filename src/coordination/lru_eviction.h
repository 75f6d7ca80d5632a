#pragma once

#include "coordination/eviction_policy.h"

namespace lacewing {

/// Baseline for comparison: evicts the least recently used adapter.
///
/// Load pattern: recent use predicts the next one; rarely used adapters evict popular ones.
class LruEviction : public EvictionPolicy {
public:
    void recordUse(const AdapterKey&, MonotonicTime) override { }
    double value(const EvictionCandidate& candidate, MonotonicTime now) const override;
};

} // namespace lacewing
