#pragma once

#include "base/clock.h"
#include "base/random.h"

#include <algorithm>

namespace lacewing {

/// Jittered exponential backoff: each failure doubles the wait up to a bound, a success resets it.
class Backoff {
public:
    Backoff(Duration shortest, Duration longest)
        : m_shortest(shortest)
        , m_longest(longest)
        , m_next(shortest)
    {
    }

    /// @return how long to wait after one more failure: between half and the whole of the current step.
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
