#pragma once

#include "coordination/allotment_limit.h"

#include <vector>

namespace lacewing {

/// Checks the rule that over any interval a workspace is charged at most rate x interval + burst.
///
/// It feeds the charges of all daemons, in time order, to one reference bucket that starts full. The rule is
/// broken exactly if that bucket ever falls below zero. For simulations only, where one clock exists.
class ChargeHistory {
public:
    /// Sets the limit from a time on. Times must not decrease.
    void setLimit(MonotonicTime from, AllotmentLimit limit);

    /// Adds a charge, not earlier than the last one.
    ///
    /// @return its index, for amend().
    size_t charge(MonotonicTime time, Tokens tokens);

    /// Sets what a charge comes to after the unused part was given back.
    void amend(size_t index, Tokens tokens);

    /// @return what may still be charged at a time not before the last charge, in units of 1/64 of 10^-9
    ///     tokens. May be negative if the rule was broken.
    int64_t spareUnits(MonotonicTime now);
    Tokens spare(MonotonicTime now);

    /// @return by how much the rule was broken at worst; 0 if it was kept.
    Tokens excess();

private:
    struct Limit {
        MonotonicTime from;
        AllotmentLimit limit;
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
