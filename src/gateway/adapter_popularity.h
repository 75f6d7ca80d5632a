#pragma once

#include "gateway/run_request.h"

#include <map>

namespace lacewing::gateway {

/// Counts recent requests for each adapter with exponential decay.
///
/// Load pattern: few adapters get most requests, and which ones changes within seconds. The adapter with the
/// lowest recent demand is the cheapest to evict.
class AdapterPopularity {
public:
    void count(const AdapterRef& adapter, MonotonicTime now);
    /// @return the decayed count; 0 for adapters without a request.
    double decayedCount(const AdapterRef& adapter, MonotonicTime now) const;
    /// @return the sum of the counts of each model's adapters, each as of its last request.
    std::map<ModelId, double> byModel() const;

private:
    struct Count {
        double count = 0;
        MonotonicTime updated;
    };

    std::map<AdapterRef, Count> m_counts;
};

} // namespace lacewing::gateway
