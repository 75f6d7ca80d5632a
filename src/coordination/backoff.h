#pragma once

#include "base/clock.h"
#include "base/random.h"

#include <algorithm>

namespace lacewing {

/// Exponential backoff with jitter for retries of a failing call: each failure doubles the delay up to a
/// maximum, and reset() restores the shortest delay after a success.
class Backoff {
public:
    Backoff(Duration shortest, Duration longest)
        : m_shortest(shortest)
        , m_longest(longest)
        , m_next(shortest)
    {
    }

    /// @return the delay after another failure: uniformly distributed between 50 % and 100 % of the current
    /// step.
    Duration afterFailure(Random& random)
    {
        const Duration step = m_next;
        m_next = std::min(m_next * 2, m_longest);
        return step / 2
            + Duration(static_cast<int64_t>(random.uniform() * static_cast<double>(step.count()) / 2));
    }
    void reset() { m_next = m_shortest; }

private:
    Duration m_shortest;
    Duration m_longest;
    Duration m_next;
};

} // namespace lacewing
