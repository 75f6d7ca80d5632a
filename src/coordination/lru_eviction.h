#pragma once

#include "coordination/eviction_policy.h"

namespace lacewing {

/// The baseline: evicts the adapter that was used least recently.
class LruEviction : public EvictionPolicy {
public:
    void recordUse(const AdapterKey&, MonotonicTime) override { }
    double value(const EvictionCandidate& candidate, MonotonicTime now) const override;
};

} // namespace lacewing
