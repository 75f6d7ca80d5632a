#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <map>

namespace lacewing {

/// Counts uses per adapter with exponential decay, so that old uses lose weight.
class PopularityTracker {
public:
    /// @param timeConstant time after which a use has decayed to 1/e.
    explicit PopularityTracker(Duration timeConstant);

    /// Records one use.
    void record(const AdapterKey& adapter, MonotonicTime now);

    /// @return the decayed number of uses.
    double count(const AdapterKey& adapter, MonotonicTime now) const;

    /// @return the estimated rate in uses per second. It is too low during the first time constant after the
    /// first use.
    double rate(const AdapterKey& adapter, MonotonicTime now) const;

    /// @return the adapter's fraction of all uses, in [0, 1]; 0 before the first use.
    double share(const AdapterKey& adapter, MonotonicTime now) const;

    /// @return the estimated rate of all adapters together, in uses per second.
    double totalRate(MonotonicTime now) const;

    /// @return the number of adapters with a stored count.
    size_t size() const { return m_counts.size(); }

private:
    struct DecayedCount {
        double value = 0;
        MonotonicTime at;
    };

    double decayed(const DecayedCount& count, MonotonicTime now) const;
    void add(DecayedCount& count, MonotonicTime now) const;
    void prune(MonotonicTime now);

    Duration m_timeConstant;
    std::map<AdapterKey, DecayedCount> m_counts;
    DecayedCount m_total;
    MonotonicTime m_nextPrune;
};

} // namespace lacewing
