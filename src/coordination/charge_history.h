#pragma once

#include "coordination/quota_limit.h"

#include <vector>

namespace lacewing {

/// Checks the rule that over any interval a workspace is charged at most rate x interval + burst.
///
/// It feeds the charges of all daemons, in time order, to one reference bucket that starts full. The rule is
/// violated exactly if that bucket ever falls below zero. For simulations only, since it needs a single
/// clock.
class ChargeHistory {
public:
    /// Sets the limit from a time on. Times must not decrease.
    void setLimit(MonotonicTime from, QuotaLimit limit);

    /// Adds a charge, not earlier than the last one.
    ///
    /// @return its index, for amend().
    size_t charge(MonotonicTime time, Tokens tokens);

    /// Sets the final amount of a charge after its unused part was refunded.
    void amend(size_t index, Tokens tokens);

    /// @return the amount that may still be charged at a time not before the last charge, in units of 1/64 of
    /// 10^-9
    ///     tokens. Negative if the rule was violated.
    int64_t spareUnits(MonotonicTime now);
    Tokens spare(MonotonicTime now);

    /// @return the largest excess over the limit; 0 if the rule held.
    Tokens excess();

private:
    struct Limit {
        MonotonicTime from;
        QuotaLimit limit;
    };
    struct Charge {
        MonotonicTime time;
        Tokens tokens;
    };
    /// The reference bucket just after a charge.
    struct State {
        MonotonicTime time;
        int64_t level = 0;
        int64_t lowest = 0;
        size_t limit = 0;
    };

    void replay();
    void advance(State& state, MonotonicTime time) const;

    std::vector<Limit> m_limits;
    std::vector<Charge> m_charges;
    /// m_states[i] is the state before charge i; the states up to the last one are current.
    std::vector<State> m_states;
};

} // namespace lacewing
