#pragma once

#include "coordination/eviction_policy.h"
#include "coordination/popularity_tracker.h"

namespace lacewing {

/// Evicts the adapter whose absence is expected to cost the fewest stalled requests: the one with the lowest
/// rate of requests. The rate is the sum of a fast and a slow estimate, so that a sudden shift in popularity
/// takes effect within seconds while adapters with long gaps between requests are still told apart.
class CostAwareEviction : public EvictionPolicy {
public:
    struct Options {
        Duration fastTimeConstant = std::chrono::seconds(30);
        Duration slowTimeConstant = std::chrono::seconds(300);
    };

    explicit CostAwareEviction(Options options);

    void recordUse(const AdapterKey& adapter, MonotonicTime now) override;
    size_t choose(const std::vector<EvictionCandidate>& candidates, MonotonicTime now) const override;

private:
    PopularityTracker m_fast;
    PopularityTracker m_slow;
};

} // namespace lacewing
