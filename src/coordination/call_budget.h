#pragma once

#include "base/scheduler.h"

#include <cstdint>

namespace lacewing {

/// Priority of a table call. Normal calls are throttled first when the budget is nearly used up. Session
/// writes are Urgent, so that lease polling can't starve the session on which the leases depend.
enum class CallPriority {
    Normal,
    Urgent,
};

/// Limits a daemon's table calls to its share of the platform's capacity: min(10, 1000 / daemons) calls a
/// second, with a burst of a few seconds' worth.
///
/// Load pattern: large fleets whose polling together would exceed the table's capacity.
class CallBudget {
public:
    /// @param clock must outlive the budget.
    explicit CallBudget(const Clock& clock);

    /// @param daemons daemons of the fleet, at least 1.
    void setFleetSize(size_t daemons);

    /// @return true if a call may be made now; it is counted then.
    bool take(CallPriority priority);

    /// Records whether the table answered a call, whatever the answer was.
    void recordAnswer(bool reached);

    /// @return whether the last call reached the table.
    bool tableUp() const { return m_tableUp; }
    int64_t callCount() const { return m_callCount; }
    int64_t throttledCount() const { return m_throttledCount; }
    double callsPerSecond() const { return m_rate; }

private:
    const Clock& m_clock;
    double m_rate;
    double m_level;
    MonotonicTime m_refilledAt;
    bool m_tableUp = false;
    int64_t m_callCount = 0;
    int64_t m_throttledCount = 0;
};

} // namespace lacewing
