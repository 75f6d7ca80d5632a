#pragma once

#include "coordination/eviction_policy.h"
#include "coordination/popularity_tracker.h"

namespace lacewing {

/// Evicts the adapter whose absence is expected to stall the fewest requests. That is the decayed rate of its
/// requests, lowered once it has been idle for much longer than this rate explains. So rarely used adapters
/// are told apart by a long history, and yet one that falls out of use gives way soon, the sooner the more
/// popular it was.
class CostAwareEviction : public EvictionPolicy {
public:
    struct Options {
        Duration timeConstant = std::chrono::seconds(120);
        /// Idle time, in mean gaps between requests, after which the value falls.
        double idleGaps = 1;
    };

    explicit CostAwareEviction(Options options);

    void recordUse(const AdapterKey& adapter, MonotonicTime now) override;
    double value(const EvictionCandidate& candidate, MonotonicTime now) const override;

private:
    Options m_options;
    PopularityTracker m_popularity;
};

} // namespace lacewing
