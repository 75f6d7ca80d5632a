#pragma once

#include "gateway/run_request.h"

#include <map>

namespace lacewing::gateway {

/// Requests for adapters in the recent past, as counts that decay exponentially.
///
/// Load pattern: few adapters get most requests, and which ones changes within seconds. What was asked for
/// least lately is the cheapest to drop.
class AdapterPopularity {
public:
    void count(const AdapterRef& adapter, MonotonicTime now);
    /// @return the decayed count; 0 for adapters that were not asked for.
    double decayedCount(const AdapterRef& adapter, MonotonicTime now) const;
    /// @return the sums of the counts of each model's adapters, as of their last requests.
    std::map<ModelId, double> byModel() const;

private:
    struct Count {
        double count = 0;
        MonotonicTime updated;
    };

    std::map<AdapterRef, Count> m_counts;
};

} // namespace lacewing::gateway
