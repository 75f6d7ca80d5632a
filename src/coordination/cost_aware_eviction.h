#pragma once

#include "coordination/eviction_policy.h"
#include "coordination/popularity_tracker.h"

namespace lacewing {

/// Evicts the adapter whose absence is expected to delay the fewest requests.
///
/// Load pattern: a few popular adapters among many rarely used ones, with popularity that shifts over time.
/// The value is the decayed request rate, reduced once the adapter has been idle much longer than that rate
/// explains. The long history ranks rarely used adapters, while an adapter that is no longer used is evicted
/// soon, and sooner the more popular it was.
class CostAwareEviction : public EvictionPolicy {
public:
    struct Options {
        /// Time constant of the decayed request rate.
        Duration timeConstant = std::chrono::seconds(120);
        /// Idle time after which the value decreases, in mean intervals between requests.
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
